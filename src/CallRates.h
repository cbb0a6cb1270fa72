#pragma once

/// The shares of the limits of backend servers that an instance may use, by id of the server.

#include "CallRate.h"

#include <map>
#include <optional>
#include <string>

namespace jayhold {

struct LimitedBackend {
    std::string incarnation;
    CallRate rate;
};

using CallRates = std::map<std::string, LimitedBackend>;

/// @return the rate for a process of a backend server, or nothing if it is not limited.
inline auto rateOf(const CallRates& rates, const std::string& backend, const std::string& incarnation) -> std::optional<CallRate>
{
    const auto found = rates.find(backend);
    return found == rates.end() || found->second.incarnation != incarnation ? std::nullopt : std::optional(found->second.rate);
}

}
