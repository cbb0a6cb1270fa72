#pragma once

/// The load balancer of a plain service. It chooses the backend server that is expected to complete a call first: at equal
/// speeds the one with the fewest calls in flight, preferably in the instance's own availability zone. Servers that fail repeatedly are ejected for a
/// limited time and readmitted after a single successful probe. It uses no clock, socket or lock.

#include "BackendPauses.h"
#include "CallRates.h"
#include "PlacementObstacle.h"
#include "PlainBackend.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace jayhold {

/// A backend server as it compares with the others for the next call.
struct PlainCandidate {
    PlainBackend backend;
    /// Speed with which servers are compared: the expected one relative to the mean of the service, at most 1.
    double speed = 1;
    /// Time until one more call would be completed, in calls at the mean speed.
    double cost = 0;
    /// What keeps the server from being chosen.
    std::optional<PlacementObstacle> obstacle;
    /// Remaining time of the pause that the server has asked for; zero if it is not paused.
    Duration pauseLeft {};
    /// Age of the last observation or report of the speed; absent without one.
    std::optional<Duration> speedAge {};
};

class PlainBalancer {
public:
    /// A call in another zone must be this much shorter, because traffic between zones has a cost.
    static constexpr Duration otherZoneCallCost = std::chrono::milliseconds(10);
    static constexpr std::uint32_t ejectionThreshold = 3;
    static constexpr Duration baseEjectionTime = std::chrono::seconds(1);
    static constexpr Duration maxEjectionTime = std::chrono::seconds(30);

    /// Replaces the list of backend servers. Servers that stay keep their count of calls in flight, and
    /// their health if the address is the same.
    auto update(std::vector<PlainBackend> backends) -> void;

    /// Limits the calls to the servers. Those without a rate are not limited.
    auto updateRates(TimePoint now, const CallRates& rates) -> void;

    /// Sends no calls to a server before the end of its pause; ignored if the server's process is another one.
    auto applyPause(std::string_view id, std::string_view incarnation, const BackendPause& pause) -> void;

    /// @return the earliest end of the pauses if all servers that are not leaving are paused, or the current time.
    auto pausesEndAt(TimePoint now) const -> TimePoint;

    /// Takes a call to a server that is sent again, which acquire() has chosen before.
    /// @return whether the server takes a further call now.
    auto tryTakeCall(TimePoint now, std::string_view id) -> bool;

    /// @return when a server that only its limit keeps from being chosen can be chosen again, or
    /// TimePoint::max() if there is none.
    auto nextCallAt(TimePoint now) const -> TimePoint;

    /// @param excluded ids of the servers that the call has tried.
    /// @return slots of the servers that take calls or would if they had a free slot.
    auto slots(TimePoint now, std::span<const std::string> excluded) const -> std::uint32_t;
    /// @return those of the slots that are free.
    auto freeSlots(TimePoint now, std::span<const std::string> excluded) const -> std::uint32_t;

    /// Chooses a backend server and takes one of its slots.
    /// @param excluded ids of the servers that this call has tried.
    /// @param callTime duration of such a call at the mean speed of the service; zero if it is not known. A call goes to a
    /// faster server of another zone only if that saves enough of it.
    /// @return the server, or std::nullopt if none is available.
    auto acquire(TimePoint now, std::span<const std::string> excluded, Duration callTime = Duration::zero()) -> std::optional<BackendServer>;

    /// @return the server that acquire() would choose, or null if none is available.
    auto choose(TimePoint now, std::span<const std::string> excluded, Duration callTime = Duration::zero()) const -> const PlainBackend*;

    /// @return all servers in the order of the list.
    auto candidates(TimePoint now) const -> std::vector<PlainCandidate>;

    /// Adds the duration of a call to the estimated speed of the server; ignored if its process is another one.
    /// @param expectedSeconds duration at the mean speed of the service.
    auto recordSpeed(TimePoint now, const BackendServer& server, double expectedSeconds, double seconds) -> void;
    /// Adds another instance's estimate of the speed of a server; ignored if its process is another one.
    auto addReportedSpeed(TimePoint now, std::string_view id, std::string_view incarnation, const HeardSpeed& heard) -> void;

    /// Chooses a backend server for a call that may crash it. No server gets a second such call at the same time, and all
    /// instances choose the same server for a signature, so that copies of a call crash one server and not several.
    /// releaseSuspect() must follow before the slot is released.
    /// @param signature crash signature of the call.
    auto acquireForSuspect(TimePoint now, std::span<const std::string> excluded, std::uint64_t signature) -> std::optional<BackendServer>;
    auto releaseSuspect(std::string_view id) -> void;

    /// @return whether a server would be available if it had no call in flight that may crash it.
    auto awaitsSuspect(TimePoint now, std::span<const std::string> excluded) const -> bool;

    /// Releases the slot.
    /// @param isHealthy whether the result of the call shows that the server is healthy.
    /// @return whether the server gets calls again as before its pause.
    auto release(TimePoint now, std::string_view id, bool isHealthy) -> bool;

    /// Releases the slot of a call that a healthy server has rejected for lack of capacity.
    auto releaseRejected(TimePoint now, std::string_view id) -> void;

    /// Releases the slot of a call that its caller cancelled, which says nothing about the server's health.
    auto releaseCancelled(TimePoint now, std::string_view id) -> void;

    /// Records that a process of a server has answered a call, or that the connection of one has broken without an answer.
    auto recordContact(const BackendServer& server, bool hasAnswered) -> void;
    /// @return whether the last contact with the process was an answer; false if there was none.
    auto isAnswering(const BackendServer& server) const -> bool;

    /// @return whether the list has a server that is not leaving.
    auto hasLiveBackend() const -> bool;
    auto backends() const -> const std::vector<PlainBackend>& { return m_backends; }

private:
    auto find(std::string_view id) -> PlainBackend*;
    /// Takes a slot of an available server.
    static auto take(PlainBackend& backend, TimePoint now) -> BackendServer;

    std::vector<PlainBackend> m_backends;
    std::size_t m_searchStart = 0;
};

}
