#pragma once

/// Chooses backend servers for the calls of a plain service: the least busy one, preferably in the
/// instance's own availability zone. Servers that fail repeatedly are left out for a while and
/// readmitted by a single probe. It has no clock, socket or lock.

#include "PlainBackend.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace jayhold {

class PlainBalancer {
public:
    static constexpr std::uint32_t ejectionThreshold = 3;
    static constexpr Duration baseEjectionTime = std::chrono::seconds(1);
    static constexpr Duration maxEjectionTime = std::chrono::seconds(30);

    /// Replaces the list; calls in flight and health of those that stay are kept.
    auto update(std::vector<PlainBackend> backends) -> void;

    /// Takes a seat.
    /// @param excluded ids of servers that this call has tried.
    auto acquire(TimePoint now, std::span<const std::string> excluded) -> std::optional<BackendServer>;

    /// Gives the seat back.
    /// @param isHealthy whether the server answered.
    auto release(TimePoint now, std::string_view id, bool isHealthy) -> void;

    /// Gives the seat back of a call that its caller gave up, which says nothing about the server.
    auto abandon(std::string_view id) -> void;

    /// @return whether the list has a server that is not leaving.
    auto hasLive() const -> bool;
    auto backends() const -> const std::vector<PlainBackend>& { return m_backends; }

private:
    auto find(std::string_view id) -> PlainBackend*;

    std::vector<PlainBackend> m_backends;
    std::size_t m_searchStart = 0;
};

}
