#pragma once

/// The kinds of errors in settings and configurations.

#include <string_view>

namespace jayhold {

enum class ConfigErrorCode {
    MalformedJson,
    MissingKey,
    UnknownKey,
    WrongType,
    WrongUnit,
    OutOfRange,
    DuplicateName,
    UnknownReference,
    MissingZone,
    StaleVersion,
};

/// @return the stable name of a code, as shown to operators.
auto name(ConfigErrorCode code) -> std::string_view;

}
