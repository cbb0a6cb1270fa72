#pragma once

/// Looks up fields of logged events.

#include "EventLog.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold::test {

/// @return the value of the field; nothing if there is none.
inline auto fieldValue(const std::vector<LogField>& fields, std::string_view key) -> std::optional<std::string>
{
    const auto found = std::ranges::find(fields, key, &LogField::key);
    return found == fields.end() ? std::nullopt : std::optional(found->value);
}

/// @return the value of a field in the first event with a name that has it; nothing if there is none.
inline auto firstLogged(const EventLog& log, std::string_view event, std::string_view key) -> std::optional<std::string>
{
    for (const auto& logged : log.after(0, EventLog::defaultCapacity)) {
        auto value = logged.event == event ? fieldValue(logged.fields, key) : std::nullopt;
        if (value)
            return value;
    }
    return std::nullopt;
}

}
