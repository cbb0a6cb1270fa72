#pragma once

/// What one gossip message says about one instance.

#include "Member.h"

#include <cstdint>

namespace jayhold {

struct MemberEntry {
    Member member;
    /// Counts the gossip rounds of the instance within its incarnation.
    std::uint64_t heartbeat = 0;

    auto operator==(const MemberEntry&) const -> bool = default;
};

/// Samples carry heartbeats with three digits, because the whole number has six after a day.
inline constexpr std::uint64_t heartbeatModulus = 1'000;

/// The heartbeat of an instance that the receiver knows already.
struct HeartbeatEntry {
    /// Stands for identifier and incarnation; peers that know both compute the same number.
    std::uint32_t tag = 0;
    /// Modulo heartbeatModulus.
    std::uint64_t heartbeat = 0;

    auto operator==(const HeartbeatEntry&) const -> bool = default;
};

/// @return the tag of an instance. Eight digits keep messages short; two of a hundred instances have
/// the same one with a probability of 0.01%, and are then only heard directly.
auto tagOf(const Member& member) -> std::uint32_t;

}
