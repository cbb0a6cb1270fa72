#pragma once

/// One key=value pair of a log line.

#include <concepts>
#include <string>
#include <string_view>

namespace jayhold {

struct LogField {
    LogField(std::string_view fieldKey, std::string_view fieldValue)
        : key(fieldKey)
        , value(fieldValue)
    {
    }

    LogField(std::string_view fieldKey, const char* fieldValue)
        : LogField(fieldKey, std::string_view(fieldValue))
    {
    }

    LogField(std::string_view fieldKey, bool fieldValue)
        : LogField(fieldKey, std::string_view(fieldValue ? "true" : "false"))
    {
    }

    template <typename Number>
    requires((std::integral<Number> || std::floating_point<Number>)&&!std::same_as<Number, bool>)
        LogField(std::string_view fieldKey, Number number)
        : key(fieldKey)
        , value(std::to_string(number))
    {
    }

    std::string key;
    std::string value;
};

}
