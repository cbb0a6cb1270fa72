#include "CrashSuspect.h"

#include "JsonFields.h"

namespace jayhold {

namespace json = boost::json;

auto toJson(const CrashSuspect& suspect) -> json::value
{
    return json::array { suspect.signature, suspect.backend, suspect.incarnation, suspect.instance };
}

auto crashSuspectFromJson(const json::value& value) -> std::optional<CrashSuspect>
{
    constexpr std::size_t fieldCount = 4;
    const auto* fields = value.if_array();
    if (!fields || fields->size() != fieldCount)
        return std::nullopt;
    boost::system::error_code code;
    CrashSuspect suspect { .signature = (*fields)[0].to_number<std::uint64_t>(code) };
    if (code)
        return std::nullopt;
    std::string* const texts[] = { &suspect.backend, &suspect.incarnation, &suspect.instance };
    for (std::size_t index = 0; index < std::size(texts); ++index) {
        const auto* text = ifName((*fields)[index + 1]);
        if (!text)
            return std::nullopt;
        *texts[index] = *text;
    }
    return suspect;
}

}
