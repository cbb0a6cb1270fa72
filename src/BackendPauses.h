#pragma once

/// The pauses that backend servers ask for: with its response 503 a server can name a time for which it wants no
/// requests from the instance. A pause belongs to one process of a server.

#include "RandomSource.h"
#include "Time.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace jayhold {

/// A server gets one request after this time even if it has asked for longer, because a faulty value must not take a
/// service out for days.
inline constexpr Duration maxPause = std::chrono::hours(1);

struct BackendPause {
    /// The server gets nothing before this time.
    TimePoint until = TimePoint::min();
    /// End of the time that the server has asked for. If it is after `until`, a single request may go to the server
    /// between the two; more only if that one succeeds.
    TimePoint askedUntil = TimePoint::min();

    auto operator==(const BackendPause&) const -> bool = default;
};

struct BackendPauses {
    struct Entry {
        BackendPause pause;
        /// Added to the end of the pause, so that the instances don't return at the same moment.
        Duration returnDelay {};
    };

    /// By id and incarnation of the server.
    std::map<std::pair<std::string, std::string>, Entry> entries;
    RandomSource random;
};

/// Handles a response 503 that names a time. The latest end of all such responses counts, because each response
/// asks for its own time.
/// @param delay the time for which the server wants no requests, from now on.
/// @return the pause, or std::nullopt if the response has not changed it.
auto recordPause(BackendPauses& pauses, TimePoint now, std::string_view backend, std::string_view incarnation, Duration delay) -> std::optional<BackendPause>;

/// Handles a success of the first request after a pause: the server takes requests, whatever time it had asked for.
auto endPause(BackendPauses& pauses, TimePoint now, std::string_view backend, std::string_view incarnation) -> void;

/// Handles that a server is not in the list of servers. If it comes back, it is not known any more whether the single
/// request has been sent that a server gets before the end of a longer time, so it gets none.
/// @param isListed whether the list has the process of a server.
auto handleMissing(BackendPauses& pauses, TimePoint now, const std::function<bool(const std::string& backend, const std::string& incarnation)>& isListed) -> void;

/// @return the pause of a process of a server, which may have ended; std::nullopt if it has never asked for one or
/// the time that it has asked for is over.
auto pauseOf(const BackendPauses& pauses, TimePoint now, const std::string& backend, const std::string& incarnation) -> std::optional<BackendPause>;

/// Forgets the pauses whose time is over.
auto forgetEndedPauses(BackendPauses& pauses, TimePoint now) -> void;

}
