#include "PromptReport.h"

#include "JsonFields.h"

#include <algorithm>

namespace jayhold {

namespace json = boost::json;

namespace {

/// Older crashes are not reported.
constexpr std::chrono::milliseconds maxReportAge = std::chrono::minutes(1);

}

auto toJson(const PromptReport& report) -> json::value
{
    json::object object {
        { "service", report.service },
        { "instance", report.instance },
        { "id", report.id },
        { "harmless", report.isHarmless },
        { "process", report.prompt.process },
        { "signature", report.prompt.signature },
        { "age_ms", report.age.count() },
        { "parts", json::array(report.prompt.parts.begin(), report.prompt.parts.end()) },
    };
    if (report.prompt.firstPosition > 0)
        object["first_position"] = report.prompt.firstPosition;
    return object;
}

auto promptReportFromJson(const json::value& value) -> std::optional<PromptReport>
{
    const auto* object = value.if_object();
    PromptReport report;
    auto& prompt = report.prompt;
    if (!object || !readName(*object, "service", report.service) || !readName(*object, "instance", report.instance) || !readNumber(*object, "id", report.id))
        return std::nullopt;
    if (!readBoolean(*object, "harmless", report.isHarmless) || !readNumber(*object, "process", prompt.process) || !readNumber(*object, "signature", prompt.signature))
        return std::nullopt;
    // Earlier versions name no position and no age.
    readNumber(*object, "first_position", prompt.firstPosition);
    std::int64_t ageMs = 0;
    if (readNumber(*object, "age_ms", ageMs))
        report.age = std::clamp(std::chrono::milliseconds(ageMs), std::chrono::milliseconds(0), maxReportAge);
    const auto* parts = arrayField(*object, "parts");
    if (!parts || parts->size() > maxReportedParts)
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
