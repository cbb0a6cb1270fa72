#pragma once

/// Key of an operator, a person or program that may use the administration API.

#include <string>

namespace jayhold {

struct OperatorKey {
    std::string name;
    /// SHA-256 of the bearer key, 64 lower-case hexadecimal digits.
    std::string keySha256;

    auto operator==(const OperatorKey&) const -> bool = default;
};

}
