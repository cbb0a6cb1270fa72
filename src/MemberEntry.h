#pragma once

/// The entry about one instance in a gossip message.

#include "Member.h"

#include <cstdint>

namespace jayhold {

struct MemberEntry {
    Member member;
    /// Counts the gossip rounds of the instance within its incarnation.
    std::uint64_t heartbeat = 0;

    auto operator==(const MemberEntry&) const -> bool = default;
};

/// Samples carry only the last three digits of a heartbeat, because the counter has six digits after a
/// day.
inline constexpr std::uint64_t heartbeatModulus = 1'000;

/// The heartbeat of an instance that the receiver already knows.
struct HeartbeatEntry {
    /// Hash of identifier and incarnation. Peers that know both compute the same number.
    std::uint32_t tag = 0;
    /// Modulo heartbeatModulus.
    std::uint64_t heartbeat = 0;

    auto operator==(const HeartbeatEntry&) const -> bool = default;
};

/// Tags have eight digits to keep messages short. The probability that two of a hundred instances have
/// the same tag is 0.01%. The heartbeats of such instances are only received from themselves.
/// @return the tag of an instance.
auto tagOf(const Member& member) -> std::uint32_t;

}
