#include "PromptReport.h"

#include "JsonFields.h"

namespace jayhold {

namespace json = boost::json;

auto toJson(const PromptReport& report) -> json::value
{
    return json::object {
        { "service", report.service },
        { "instance", report.instance },
        { "id", report.id },
        { "harmless", report.isHarmless },
        { "process", report.prompt.process },
        { "signature", report.prompt.signature },
        { "parts", json::array(report.prompt.parts.begin(), report.prompt.parts.end()) },
    };
}

auto promptReportFromJson(const json::value& value) -> std::optional<PromptReport>
{
    const auto* object = value.if_object();
    PromptReport report;
    auto& prompt = report.prompt;
    if (!object || !readText(*object, "service", report.service) || !readText(*object, "instance", report.instance) || !readNumber(*object, "id", report.id))
        return std::nullopt;
    if (!readBoolean(*object, "harmless", report.isHarmless) || !readNumber(*object, "process", prompt.process) || !readNumber(*object, "signature", prompt.signature))
        return std::nullopt;
    const auto* parts = arrayField(*object, "parts");
    if (!parts || parts->size() > maxComparedParts)
        return std::nullopt;
    for (const auto& element : *parts) {
        boost::system::error_code code;
        prompt.parts.push_back(element.to_number<std::uint64_t>(code));
        if (code)
            return std::nullopt;
    }
    return report;
}

}
