#include "CallLimitFormat.h"

#include "ParseNumber.h"

#include <cmath>

namespace jayhold {

auto parseCallLimit(std::optional<std::string_view> text) -> std::optional<double>
{
    const auto limit = text ? parseNumber<double>(*text) : std::nullopt;
    return limit && std::isfinite(*limit) && *limit >= 0 ? limit : std::nullopt;
}

}
