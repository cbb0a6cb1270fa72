#include "VersionFleet.h"

#include <rapidcheck/catch.h>

#include <array>
#include <map>

using namespace jayhold;
using namespace jayhold::test;

namespace {

constexpr std::uint32_t versions = 3;
constexpr std::uint32_t servers = 6;
constexpr std::uint32_t slots = 2;

struct Step {
    std::uint8_t what;
    std::uint8_t first;
    std::uint8_t second;
    std::uint8_t third;
};

/// A shard, servers that come, go, change their role, fall silent, crash and start again with another version, and a driver
/// that relays tokens and reports them late or not at all.
class VersionModel {
public:
    VersionModel()
        : m_harness(repeatableSettings())
    {
        m_harness.replica(prefillEngine, PoolRole::Prefill, 20);
        for (std::uint32_t server = 0; server < servers; ++server)
            restart(server, server % versions);
    }

    auto play(const Step& step) -> void
    {
        constexpr Duration smallStep = 3ms;
        constexpr Duration largeStep = 400ms;
        m_harness.now += step.first % 8 ? smallStep : largeStep * (step.third % 5);
        const auto what = step.what % 16;
        if (what < 3)
            arrive(step);
        else if (what < 6)
            endPrefill(step);
        else if (what < 12)
            playDecode(step);
        else
            changeServer(step);
    }

    auto finish() -> void
    {
        m_harness.now += 700s;
        deliver(Tick {});
        for (const auto& [id, request] : m_requests)
            RC_ASSERT(request.isAnswered);
    }

private:
    struct Server {
        std::uint32_t replica = 0;
        std::uint32_t version = 0;
        PoolRole role = PoolRole::Decode;
        ReplicaState state = ReplicaState::Gone;
    };
    struct Request {
        Attempt attempt = 0;
        /// The attempt whose tokens reach the caller, and its version.
        std::optional<StartDecode> decode;
        std::uint32_t tokens = 0;
        /// Version of the first token that has reached the caller, or with which the request has arrived.
        std::optional<std::uint32_t> bound;
        /// Whether the shard has been told of tokens of its current attempt, or of the version.
        bool isTold = false;
        bool isAnswered = false;
    };

    static constexpr std::uint32_t prefillEngine = 1;

    auto restart(std::uint32_t index, std::uint32_t version) -> void
    {
        auto& server = m_servers.at(index);
        if (server.state != ReplicaState::Gone)
            change(index, server.role, ReplicaState::Gone);
        server = { ++m_lastReplica, version, PoolRole::Decode, ReplicaState::Live };
        m_versions[ReplicaId { server.replica }] = version;
        change(index, server.role, ReplicaState::Live);
    }

    auto change(std::uint32_t index, PoolRole role, ReplicaState state) -> void
    {
        auto& server = m_servers.at(index);
        server.role = role;
        server.state = state;
        deliver(ReplicaChanged {
            .replica = ReplicaId { server.replica },
            .role = role,
            .zone = ZoneId { static_cast<std::uint16_t>(index % 2) },
            .state = state,
            .slots = slots,
            .memoryBlocks = 1'000,
            .memoryBlockTokens = 2'000,
            .linkBytesPerSecond = 100'000'000'000,
            .version = SoftwareVersionId { server.version },
        });
    }

    auto changeServer(const Step& step) -> void
    {
        const auto index = step.second % servers;
        const auto& server = m_servers.at(index);
        if (server.state == ReplicaState::Gone || step.third % 4 == 0)
            restart(index, step.first % versions);
        else if (step.third % 4 == 1)
            change(index, server.role == PoolRole::Decode ? PoolRole::Prefill : PoolRole::Decode, server.state);
        else
            change(index, server.role, step.third % 4 == 2 ? ReplicaState::Leaving : ReplicaState::Gone);
    }

    auto arrive(const Step& step) -> void
    {
        const RequestId id { m_requests.size() + 1 };
        auto& request = m_requests[id];
        RequestArrived arrival {};
        arrival.request = id;
        arrival.promptTokens = 100U + step.second;
        arrival.maxTokens = 200;
        arrival.deadline = m_harness.now + 60s;
        arrival.signature = step.third % 16;
        if (step.second % 4 == 0) {
            arrival.resumedTokens = request.tokens = 10;
            if (step.second % 8 == 0) {
                request.bound = step.third % versions;
                request.isTold = true;
                arrival.boundVersion = SoftwareVersionId { *request.bound };
            }
        }
        deliver(arrival);
    }

    auto endPrefill(const Step& step) -> void
    {
        if (m_prefills.empty())
            return;
        const auto start = m_prefills.at(m_prefills.size() - 1 - step.second % std::min<std::size_t>(m_prefills.size(), 4));
        if (step.third % 4 == 0)
            deliver(SlotRefused { start.request, start.attempt, FailureKind::Busy });
        else if (step.third % 8 == 1)
            deliver(PrefillFailed { start.request, start.attempt, FailureKind::ServerError });
        else
            deliver(PrefillDone { start.request, start.attempt, m_harness.now + 800ms, 0 });
    }

    auto playDecode(const Step& step) -> void
    {
        std::vector<RequestId> open;
        for (const auto& [id, request] : m_requests) {
            if (request.decode && !request.isAnswered)
                open.push_back(id);
        }
        if (open.empty())
            return;
        const auto id = open.at(step.second % open.size());
        auto& request = m_requests.at(id);
        const auto attempt = request.decode->attempt;
        const auto hasNew = step.first % 4 != 0;
        if (hasNew)
            relayToken(request);
        switch (step.third % 8) {
        case 0:
        case 1: {
            constexpr std::array failures { FailureKind::ConnectionLost, FailureKind::TimedOut, FailureKind::ServerError, FailureKind::Busy };
            request.decode.reset();
            tell(request, attempt);
            deliver(DecodeFailed { id, attempt, failures.at(step.first % failures.size()), request.tokens });
            break;
        }
        case 2:
            tell(request, attempt);
            deliver(AttemptSilent { id, attempt, request.tokens });
            break;
        case 3:
            request.isAnswered = true;
            deliver(step.first % 2 ? DecisionEvent(DecodeFinished { id, attempt, request.tokens }) : DecisionEvent(RequestCancelled { id }));
            // The shard has ended the attempt, and the driver cancels the request.
            deliver(RequestCancelled { id });
            break;
        case 4:
        case 5:
            if (hasNew) {
                tell(request, attempt);
                deliver(TokensEmitted { id, attempt, request.tokens });
            }
            break;
        default:
            // The report of the token is still on its way, or lost.
            break;
        }
    }

    auto relayToken(Request& request) -> void
    {
        ++request.tokens;
        const auto version = m_versions.at(request.decode->decode);
        if (!request.bound)
            request.bound = version;
        // No stream ever has tokens of two versions.
        RC_ASSERT(*request.bound == version);
    }

    static auto tell(Request& request, Attempt attempt) -> void
    {
        request.isTold = request.isTold || (request.bound && attempt == request.attempt);
    }

    auto deliver(const DecisionEvent& event) -> void
    {
        m_harness.send(event);
        // The driver answers some decisions, which leads to others.
        const auto actions = m_harness.actions;
        for (const auto& action : actions) {
            if (const auto* prefill = std::get_if<StartPrefill>(&action))
                handle(*prefill);
            else if (const auto* decode = std::get_if<StartDecode>(&action))
                handle(*decode);
            else if (const auto* refusal = std::get_if<Refuse>(&action))
                handle(*refusal);
        }
    }

    auto handle(const StartPrefill& start) -> void
    {
        auto& request = m_requests.at(start.request);
        begin(request, start.request, start.attempt);
        if (!isAllowed(request, start.decode)) {
            deliver(SlotRefused { start.request, start.attempt, FailureKind::OtherVersion });
            return;
        }
        m_prefills.push_back(start);
    }

    auto handle(const StartDecode& start) -> void
    {
        auto& request = m_requests.at(start.request);
        begin(request, start.request, start.attempt);
        if (isAllowed(request, start.decode))
            request.decode = start;
        else if (start.prefill)
            deliver(DecodeFailed { start.request, start.attempt, FailureKind::OtherVersion, request.tokens });
        else
            deliver(SlotRefused { start.request, start.attempt, FailureKind::OtherVersion });
    }

    /// Ends the former attempt and tells the shard of tokens that it does not know of, as the driver does.
    auto begin(Request& request, RequestId id, Attempt attempt) -> void
    {
        RC_ASSERT_FALSE(request.isAnswered);
        request.attempt = attempt;
        request.decode.reset();
        m_wasTold = request.isTold;
        if (!request.bound)
            return;
        request.isTold = true;
        deliver(StreamBound { id, SoftwareVersionId { *request.bound }, request.tokens });
    }

    /// @return whether the driver sends the attempt. The shard decides otherwise only if it was not told.
    auto isAllowed(const Request& request, ReplicaId decode) const -> bool
    {
        const auto fits = !request.bound || m_versions.at(decode) == *request.bound;
        RC_ASSERT((fits || !m_wasTold));
        return fits;
    }

    auto handle(const Refuse& refusal) -> void
    {
        auto& request = m_requests.at(refusal.request);
        RC_ASSERT_FALSE(request.isAnswered);
        request.isAnswered = true;
        if (refusal.reason != RefusalReason::VersionGone)
            return;
        RC_ASSERT(request.bound.has_value());
        for (const auto& server : m_servers)
            RC_ASSERT_FALSE((server.version == *request.bound && server.state == ReplicaState::Live && server.role == PoolRole::Decode));
    }

    ShardHarness m_harness;
    std::array<Server, servers> m_servers {};
    std::uint32_t m_lastReplica = 10;
    std::map<ReplicaId, std::uint32_t> m_versions;
    std::map<RequestId, Request> m_requests;
    std::vector<StartPrefill> m_prefills;
    bool m_wasTold = false;
};

}

namespace rc {

template <>
struct Arbitrary<Step> {
    static auto arbitrary() -> Gen<Step>
    {
        return gen::build<Step>(gen::set(&Step::what), gen::set(&Step::first), gen::set(&Step::second), gen::set(&Step::third));
    }
};

}

// Guards against a stream with tokens of two versions, a decision of the shard against what it was told, a stream that ends
// as if its version had no engine left although it has one, and a request without a final result.
TEST_CASE("no stream has tokens of two versions")
{
    rc::prop("tokens of one version, one final result", [] {
        constexpr std::size_t maxSteps = 400;
        const auto length = *rc::gen::inRange<std::size_t>(1, maxSteps);
        const auto steps = *rc::gen::container<std::vector<Step>>(length, rc::gen::resize(100, rc::gen::arbitrary<Step>()));
        VersionModel model;
        for (const auto& step : steps)
            model.play(step);
        model.finish();
    });
}
