#include "ConfigError.h"

namespace jayhold {

auto name(ConfigErrorCode code) -> std::string_view
{
    switch (code) {
    case ConfigErrorCode::MalformedJson:
        return "malformed_json";
    case ConfigErrorCode::MissingKey:
        return "missing_key";
    case ConfigErrorCode::UnknownKey:
        return "unknown_key";
    case ConfigErrorCode::WrongType:
        return "wrong_type";
    case ConfigErrorCode::WrongUnit:
        return "wrong_unit";
    case ConfigErrorCode::OutOfRange:
        return "out_of_range";
    case ConfigErrorCode::DuplicateName:
        return "duplicate_name";
    case ConfigErrorCode::UnknownReference:
        return "unknown_reference";
    case ConfigErrorCode::MissingZone:
        return "missing_zone";
    case ConfigErrorCode::StaleVersion:
        return "stale_version";
    }
    return "invalid";
}

auto describe(const ConfigError& error) -> std::string
{
    return std::string(name(error.code)) + " at " + error.path + ": " + error.detail;
}

}
