#include "../PauseModel.h"
#include "ShardHarness.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <memory>
#include <set>

using namespace jayhold;
using namespace jayhold::test;

namespace {

auto modelSettings(bool decodeMayPrefill) -> ShardSettings
{
    auto settings = testSettings();
    settings.decodeMayPrefill = decodeMayPrefill;
    return settings;
}

/// A shard with its driver. The first server prefills, the others decode.
class ShardPauseModel final : public PauseModel {
public:
    explicit ShardPauseModel(bool decodeMayPrefill)
        : m_decodeMayPrefill(decodeMayPrefill)
        , m_harness(std::make_unique<ShardHarness>(modelSettings(decodeMayPrefill)))
    {
        updateList();
    }

    /// Lets all deadlines pass and checks that each request has got its one result.
    auto finish() -> void
    {
        deliverResponses();
        advance(1'000s);
        RC_ASSERT(m_open.empty());
        RC_ASSERT(summarize(m_harness->shard).reservedSlots == 0U);
    }

private:
    struct Call {
        ReplicaId replica;
        std::size_t server;
        std::string incarnation;
        std::shared_ptr<PausingServer> process;
        RequestId request;
        Attempt attempt;
        bool isPrefill;
        std::optional<std::uint8_t> response;
    };

    struct Listed {
        std::size_t server;
        std::string incarnation;
    };

    static auto roleOf(std::size_t server) -> PoolRole { return server == 0 ? PoolRole::Prefill : PoolRole::Decode; }
    static auto isPause(std::uint8_t response) -> bool { return response % 4 < 2; }

    auto send(const DecisionEvent& event) -> void
    {
        m_harness->now = m_now;
        m_harness->send(event);
        const auto actions = m_harness->actions;
        for (const auto& action : actions)
            carryOut(action);
    }

    auto carryOut(const DecisionAction& action) -> void
    {
        if (const auto* prefill = std::get_if<StartPrefill>(&action))
            call(prefill->prefill, prefill->request, prefill->attempt, true);
        else if (const auto* decode = std::get_if<StartDecode>(&action))
            call(decode->decode, decode->request, decode->attempt, false);
        else if (const auto* refusal = std::get_if<Refuse>(&action))
            RC_ASSERT(m_open.erase(refusal->request) == 1U);
    }

    auto call(ReplicaId replica, RequestId request, Attempt attempt, bool isPrefill) -> void
    {
        const auto& listed = m_listed.at(replica);
        RC_ASSERT_FALSE(isPaused(m_harness->shard, m_now, replica));
        auto process = m_servers.at(listed.server).process;
        process->receive(m_now);
        m_calls.push_back({ replica, listed.server, listed.incarnation, std::move(process), request, attempt, isPrefill, std::nullopt });
    }

    auto tick() -> void override { send(Tick {}); }

    auto arrive() -> void override
    {
        const RequestId id { ++m_lastRequest };
        m_open.insert(id);
        const auto kind = static_cast<std::uint16_t>(m_lastRequest % 3);
        send(RequestArrived { .request = id, .kind = KindId { kind }, .customer = CustomerId { 0 }, .promptTokens = 1'000, .maxTokens = 200, .deadline = m_now + (kind == 2 ? 600s : 60s), .prefixBlocks = {}, .signature = m_lastRequest });
    }

    auto answer(const PauseStep& step) -> void override
    {
        if (m_calls.empty())
            return;
        const auto position = step.first % m_calls.size();
        auto& chosen = m_calls.at(position);
        if (chosen.response) {
            const auto answered = chosen;
            m_calls.erase(m_calls.begin() + static_cast<std::ptrdiff_t>(position));
            deliver(answered);
            return;
        }
        chosen.response = step.second;
        if (isPause(step.second))
            chosen.process->askForPause(m_now, askedTime(step.second / 4));
        else if (step.second % 4 == 2)
            chosen.process->serve();
    }

    auto deliver(const Call& call) -> void
    {
        const auto response = *call.response;
        if (isPause(response) && recordPause(m_pauses, m_now, idOf(call.server), call.incarnation, askedTime(response / 4)))
            applyToProcess(call);
        if (response % 4 == 2)
            succeed(call);
        else
            fail(call, isPause(response) ? FailureKind::Busy : FailureKind::ServerError);
    }

    auto succeed(const Call& call) -> void
    {
        if (call.isPrefill) {
            send(PrefillDone { call.request, call.attempt, m_now + 800ms, 0 });
        } else {
            const auto before = summarize(m_harness->shard).finished;
            send(DecodeFinished { call.request, call.attempt, 10 });
            if (summarize(m_harness->shard).finished > before)
                RC_ASSERT(m_open.erase(call.request) == 1U);
        }
        if (m_harness->last<ReplicaReturned>())
            endPause(m_pauses, m_now, idOf(call.server), call.incarnation);
    }

    auto fail(const Call& call, FailureKind failure) -> void
    {
        if (call.isPrefill)
            send(PrefillFailed { call.request, call.attempt, failure });
        else
            send(DecodeFailed { call.request, call.attempt, failure, 0 });
    }

    auto deliverResponses() -> void override
    {
        const auto calls = m_calls;
        std::erase_if(m_calls, [](const Call& call) { return call.response.has_value(); });
        for (const auto& call : calls) {
            if (call.response)
                deliver(call);
        }
    }

    /// A process has the same replica until it is removed from the list.
    auto updateList() -> void override
    {
        const auto previous = std::exchange(m_listed, {});
        for (std::size_t server = 0; server < m_servers.size(); ++server) {
            if (!isListed(server))
                continue;
            const auto known = std::ranges::find_if(previous, [&](const auto& entry) { return entry.second.server == server && entry.second.incarnation == incarnationOf(server); });
            m_listed[known == previous.end() ? ReplicaId { ++m_lastReplica } : known->first] = { server, incarnationOf(server) };
        }
        forgetEndedPauses(m_pauses, m_now);
        handleMissing(m_pauses, m_now, [this](const std::string& id, const std::string& incarnation) { return isListed(indexOf(id)) && incarnation == incarnationOf(indexOf(id)); });
        const auto current = m_listed;
        // Removed replicas are still known, because the shard may choose them until it is told.
        m_listed.insert(previous.begin(), previous.end());
        for (const auto& [id, listed] : previous) {
            if (!current.contains(id))
                changeReplica(id, listed.server, ReplicaState::Gone);
        }
        for (const auto& [id, listed] : current) {
            // The pause of a process that was removed applies to its new replica before it gets work.
            const auto isNew = !previous.contains(id);
            changeReplica(id, listed.server, isNew ? ReplicaState::Leaving : ReplicaState::Live);
            applyPause(id);
            if (isNew)
                changeReplica(id, listed.server, ReplicaState::Live);
        }
        m_listed = current;
    }

    auto changeReplica(ReplicaId id, std::size_t server, ReplicaState state) -> void
    {
        send(ReplicaChanged { .replica = id, .role = roleOf(server), .zone = ZoneId { 0 }, .state = state, .slots = 3, .memoryBlocks = 1'000, .memoryBlockTokens = 2'000, .linkBytesPerSecond = 100'000'000'000 });
    }

    /// The replica of the process may be another one than the called one, if it was missing from the list.
    auto applyToProcess(const Call& call) -> void
    {
        const auto listed = std::ranges::find_if(m_listed, [&](const auto& entry) { return entry.second.server == call.server && entry.second.incarnation == call.incarnation; });
        if (listed != m_listed.end())
            applyPause(listed->first);
    }

    auto applyPause(ReplicaId id) -> void
    {
        const auto listed = m_listed.find(id);
        if (listed == m_listed.end())
            return;
        if (const auto pause = pauseOf(m_pauses, m_now, idOf(listed->second.server), listed->second.incarnation))
            send(ReplicaPaused { id, pause->until, pause->askedUntil });
    }

    auto resetInstance() -> void override
    {
        m_harness = std::make_unique<ShardHarness>(modelSettings(m_decodeMayPrefill));
        m_calls.clear();
        m_open.clear();
        m_listed.clear();
    }

    bool m_decodeMayPrefill;
    std::unique_ptr<ShardHarness> m_harness;
    std::map<ReplicaId, Listed> m_listed;
    std::vector<Call> m_calls;
    std::set<RequestId> m_open;
    std::uint64_t m_lastRequest = 0;
    std::uint32_t m_lastReplica = 0;
};

}

// Guards against more requests than an engine allows within the time for which it wants none, and against requests that
// get no result or two, whatever engines answer and whenever engines, lists and instances change.
TEST_CASE("engines get at most two calls within the time for which they want none, and no request is lost")
{
    rc::prop("pauses of engines hold for random answers and changes", [](bool decodeMayPrefill) {
        ShardPauseModel model(decodeMayPrefill);
        for (const auto& step : *pauseSteps())
            model.play(step);
        model.finish();
    });
}
