#pragma once

/// A shard with prefill engines and decode engines of several software versions, for tests.

#include "ShardHarness.h"

#include <catch2/catch.hpp>

namespace jayhold::test {

inline constexpr std::uint32_t versionA = 1;
inline constexpr std::uint32_t versionB = 2;

inline auto repeatableSettings() -> ShardSettings
{
    auto settings = testSettings();
    settings.kinds[0].repeatable = true;
    settings.kinds[0].maxAttempts = 10;
    return settings;
}

/// Request 1 streams from engine 10 of version A. No other decode engine has been listed.
struct VersionFleet : ShardHarness {
    explicit VersionFleet(ShardSettings settings = repeatableSettings(), std::uint32_t slots = 4)
        : ShardHarness(std::move(settings))
    {
        for (std::uint32_t id = 1; id <= 4; ++id)
            replica(id, PoolRole::Prefill, 8);
        engine(10, versionA, slots);
        stream = startDecode(1);
    }

    auto engine(std::uint32_t id, std::uint32_t version, std::uint32_t slots = 4, ReplicaState state = ReplicaState::Live, std::uint16_t zone = 0) -> void
    {
        replica(id, PoolRole::Decode, slots, state, zone, version);
    }
    auto emit(const StartDecode& decode, std::uint32_t tokens) -> void { send(TokensEmitted { decode.request, decode.attempt, tokens }); }
    auto fail(const StartDecode& decode, FailureKind failure, std::uint32_t tokens) -> void { send(DecodeFailed { decode.request, decode.attempt, failure, tokens }); }
    /// Completes the prefill that the last event started.
    auto resume() -> StartDecode
    {
        REQUIRE(last<StartPrefill>());
        prefilled(*last<StartPrefill>());
        REQUIRE(last<StartDecode>());
        return *last<StartDecode>();
    }
    auto placed() const -> bool { return last<StartPrefill>() || last<StartDecode>(); }

    StartDecode stream {};
};

}
