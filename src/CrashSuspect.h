#pragma once

/// A crash suspect: a request that was in flight on a backend server that crashed, as instances report
/// it to each other.

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace jayhold {

struct CrashSuspect {
    std::uint64_t signature = 0;
    std::string backend;
    /// Distinguishes successive processes of the backend server; empty if its ids are not reused.
    std::string incarnation;
    /// The instance that ran the request.
    std::string instance;

    auto operator<=>(const CrashSuspect&) const = default;
};

auto toJson(const CrashSuspect& suspect) -> boost::json::value;

/// @return the suspect, or nothing if the value is not a valid suspect.
auto crashSuspectFromJson(const boost::json::value& value) -> std::optional<CrashSuspect>;

}
