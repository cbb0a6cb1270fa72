#pragma once

/// A shard with a virtual clock and the actions of the last event, for tests.

#include <jayhold/Decision.h>

#include <optional>
#include <vector>

namespace jayhold::test {

using namespace std::chrono_literals;

inline auto requestKind(LatencyClass latencyClass, std::chrono::milliseconds firstToken, std::chrono::milliseconds deadline) -> RequestKind
{
    RequestKind kind;
    kind.latencyClass = latencyClass;
    kind.firstToken = firstToken;
    kind.deadline = deadline;
    return kind;
}

/// Kind 0 is interactive, kind 1 standard, kind 2 batch.
inline auto testSettings() -> ShardSettings
{
    ShardSettings settings;
    settings.kinds = {
        requestKind(LatencyClass::Interactive, 500ms, 60s),
        requestKind(LatencyClass::Standard, 2s, 60s),
        requestKind(LatencyClass::Batch, 60s, 600s),
    };
    settings.customerWeights = { 1, 1, 1 };
    settings.customerQueueLimits = { 1'000, 1'000, 1'000 };
    return settings;
}

struct ShardHarness {
    Shard shard;
    TimePoint now { 1'000s };
    std::vector<DecisionAction> actions;
    /// All actions since the start.
    std::vector<DecisionAction> all;

    explicit ShardHarness(ShardSettings settings = testSettings())
        : shard(makeShard(std::move(settings)))
    {
    }

    auto send(const DecisionEvent& event) -> void
    {
        actions.clear();
        decide(shard, now, event, actions);
        all.insert(all.end(), actions.begin(), actions.end());
    }

    auto advance(Duration time) -> void
    {
        now += time;
        send(Tick {});
    }

    template <typename Action>
    auto last() const -> std::optional<Action>
    {
        return lastOf<Action>(actions);
    }

    template <typename Action>
    auto lastEver() const -> std::optional<Action>
    {
        return lastOf<Action>(all);
    }

    template <typename Action>
    auto count() const -> std::size_t
    {
        std::size_t count = 0;
        for (const auto& action : actions)
            count += std::holds_alternative<Action>(action);
        return count;
    }

    auto replica(std::uint32_t id, PoolRole role, std::uint32_t slots, ReplicaState state = ReplicaState::Live, std::uint16_t zone = 0, std::uint32_t version = 0) -> void
    {
        send(ReplicaChanged {
            .replica = ReplicaId { id },
            .role = role,
            .zone = ZoneId { zone },
            .state = state,
            .slots = slots,
            .memoryBlocks = 1'000,
            .memoryBlockTokens = 2'000,
            .linkBytesPerSecond = 100'000'000'000,
            .version = SoftwareVersionId { version },
        });
    }

    auto arrive(std::uint64_t id, std::uint16_t kind = 0, std::uint32_t customer = 0, std::uint32_t promptTokens = 1'000, std::uint64_t signature = 0) -> void
    {
        send(RequestArrived {
            .request = RequestId { id },
            .kind = KindId { kind },
            .customer = CustomerId { customer },
            .promptTokens = promptTokens,
            .maxTokens = 200,
            .deadline = now + (kind == 2 ? 600s : 60s),
            .prefixBlocks = {},
            .signature = signature ? signature : id,
        });
    }

    auto prefilled(const StartPrefill& start) -> void { send(PrefillDone { start.request, start.attempt, now + 800ms, 0 }); }
    auto started(const StartDecode& start) -> void { send(DecodeStarted { start.request, start.attempt }); }

    /// Brings a request that finds room to the start of its decode.
    auto startDecode(std::uint64_t id) -> StartDecode
    {
        arrive(id);
        prefilled(*last<StartPrefill>());
        const auto decode = *last<StartDecode>();
        started(decode);
        return decode;
    }

private:
    template <typename Action>
    static auto lastOf(const std::vector<DecisionAction>& actions) -> std::optional<Action>
    {
        for (auto action = actions.rbegin(); action != actions.rend(); ++action) {
            if (const auto* found = std::get_if<Action>(&*action))
                return *found;
        }
        return std::nullopt;
    }
};

}
