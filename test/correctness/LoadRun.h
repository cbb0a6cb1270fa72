#pragma once

/// Plays a list of requests against one shard whose engines work at constant rates, and records how each request ended.

#include "ShardHarness.h"

#include <functional>
#include <map>
#include <set>

namespace jayhold::test {

struct OfferedRequest {
    Duration at {};
    std::uint16_t kind = 0;
    std::uint32_t customer = 0;
    std::uint32_t promptTokens = 3'200;
    std::uint32_t tokens = 73;
};

struct LoadRun {
    ShardHarness harness;
    std::vector<OfferedRequest> requests;
    /// Whether refused callers come back after 50 ms until their deadline.
    bool retriesAtOnce = false;
    std::multimap<TimePoint, DecisionEvent> events {};
    /// Indices of the requests that were answered, and those whose first token was also on time.
    std::set<std::size_t> served {};
    std::set<std::size_t> onTime {};
    std::map<RequestId, std::size_t> indices {};
    std::uint64_t lastId = 0;
    /// Order in which the requests are sent. Their ids are the same in each order.
    std::function<std::size_t(std::size_t)> order = [](std::size_t index) { return index; };
    TimePoint start = harness.now;

    /// @return settings as on deployment T: kind 0 is the more urgent one.
    static auto settings() -> ShardSettings
    {
        auto settings = testSettings();
        settings.kinds = { requestKind(LatencyClass::Interactive, 800ms, 10s), requestKind(LatencyClass::Standard, 2s, 16s) };
        settings.kinds[0].priority = 0;
        settings.kinds[0].repeatable = false;
        settings.kinds[1].priority = 2;
        settings.refuseOverdue = true;
        settings.kvBytesPerToken = 1'000;
        settings.customerWeights.assign(16, 1);
        settings.customerQueueLimits.assign(16, 1'000);
        return settings;
    }

    auto arrive(std::size_t index, TimePoint at) -> void
    {
        const auto& request = requests[index];
        // The first ids are those of the requests in their list.
        const RequestId id { at == start + request.at ? index + 1 : requests.size() + ++lastId };
        indices[id] = index;
        const auto deadline = start + request.at + (request.kind == 0 ? 10s : 16s);
        events.emplace(at, RequestArrived { .request = id, .kind = KindId { request.kind }, .customer = CustomerId { request.customer }, .promptTokens = request.promptTokens, .maxTokens = 200, .expectedTokens = request.tokens, .deadline = deadline, .prefixBlocks = {}, .signature = static_cast<std::uint64_t>(id) });
    }

    auto follow(const DecisionAction& action) -> void
    {
        const auto now = harness.now;
        if (const auto* prefill = std::get_if<StartPrefill>(&action)) {
            const auto time = Duration(requests[indices[prefill->request]].promptTokens * 20);
            events.emplace(now + time, PrefillDone { prefill->request, prefill->attempt, now + time + 800ms, 0 });
        } else if (const auto* decode = std::get_if<StartDecode>(&action)) {
            const auto index = indices[decode->request];
            const auto& request = requests[index];
            const auto limit = request.kind == 0 ? Duration(800ms) : Duration(2s);
            if (now <= start + request.at + limit)
                onTime.insert(index);
            events.emplace(now + 1ms, DecodeStarted { decode->request, decode->attempt });
            events.emplace(now + request.tokens * 25ms, DecodeFinished { decode->request, decode->attempt, request.tokens });
            served.insert(index);
        } else if (const auto* refusal = std::get_if<Refuse>(&action)) {
            const auto index = indices[refusal->request];
            served.erase(index);
            if (retriesAtOnce && now + 1s < start + requests[index].at + 10s)
                arrive(index, now + 50ms);
        } else if (const auto* wake = std::get_if<WakeAt>(&action)) {
            events.emplace(wake->time, Tick {});
        }
    }

    /// @param engines decode replicas of 12 slots and 28 blocks of 1,012 tokens.
    auto run(std::uint32_t engines) -> void
    {
        for (std::uint32_t id = 1; id <= engines; ++id) {
            harness.replica(100 + id, PoolRole::Prefill, 4);
            harness.send(ReplicaChanged { .replica = ReplicaId { id }, .role = PoolRole::Decode, .zone = ZoneId { 0 }, .state = ReplicaState::Live, .slots = 12, .memoryBlocks = 28, .memoryBlockTokens = 1'012, .linkBytesPerSecond = 100'000'000'000 });
        }
        for (std::size_t index = 0; index < requests.size(); ++index)
            arrive(order(index), start + requests[order(index)].at);
        while (!events.empty()) {
            auto event = events.extract(events.begin());
            harness.now = std::max(harness.now, event.key());
            harness.send(event.mapped());
            for (const auto& action : harness.actions)
                follow(action);
        }
    }

    /// @return the fraction of the requests that match which was served.
    template <typename Matches>
    auto share(const std::set<std::size_t>& ended, Matches matches) const -> double
    {
        double all = 0;
        double found = 0;
        for (std::size_t index = 0; index < requests.size(); ++index) {
            all += matches(requests[index]);
            found += matches(requests[index]) && ended.contains(index);
        }
        return all > 0 ? found / all : 1;
    }
};

/// @return requests at a constant rate from `from` to `to`.
inline auto steadily(std::vector<OfferedRequest> requests, OfferedRequest request, Duration from, Duration to, Duration gap) -> std::vector<OfferedRequest>
{
    for (request.at = from; request.at < to; request.at += gap)
        requests.push_back(request);
    return requests;
}

}
