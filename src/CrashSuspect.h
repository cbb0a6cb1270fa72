#pragma once

/// What instances tell each other of a request that was in flight on a backend server that crashed.

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace jayhold {

struct CrashSuspect {
    std::uint64_t signature = 0;
    std::string backend;
    /// Tells two runs of the backend server apart; empty where its identifiers are not used again.
    std::string incarnation;
    /// The instance that ran the request.
    std::string instance;

    auto operator<=>(const CrashSuspect&) const = default;
};

auto toJson(const CrashSuspect& suspect) -> boost::json::value;

/// @return nothing where the value has another form.
auto crashSuspectFromJson(const boost::json::value& value) -> std::optional<CrashSuspect>;

}
