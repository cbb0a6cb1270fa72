#include "ClusterGossip.h"

#include "ClusterDocuments.h"
#include "HttpStatus.h"

#include <boost/asio/post.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <functional>
#include <utility>

namespace jayhold {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto gossipTimeout = std::chrono::seconds(1);
/// Limits on the rumors in one message, which bound its size.
constexpr std::size_t signaturesPerMessage = 8;
constexpr std::size_t suspectsPerMessage = 16;
constexpr std::size_t promptReportsPerMessage = 8;
constexpr std::size_t leavingPerMessage = 4;
/// Collects crash reports that arrive at nearly the same time into one message.
constexpr auto extraRoundDelay = std::chrono::milliseconds(2);
/// How long a report that a backend server is leaving stays valid. It has to last until the platform's
/// list, which lags behind, shows the same.
constexpr auto leavingReportTtl = std::chrono::seconds(60);

auto logMemberEvent(ClusterCore& core, std::string_view event, const Member& member) -> void
{
    core.log.record(LogLevel::Info, event, { { "peer", member.id }, { "peer_zone", member.availabilityZone }, { "incarnation", member.incarnation } });
}

auto handleAction(ClusterCore& core, const MembershipAction& action) -> void
{
    if (const auto* found = std::get_if<MemberFound>(&action))
        logMemberEvent(core, "member_found", found->member);
    if (const auto* suspected = std::get_if<MemberSuspected>(&action))
        logMemberEvent(core, "member_suspected", suspected->member);
    if (const auto* raised = std::get_if<IncarnationRaised>(&action))
        core.log.record(LogLevel::Warning, "incarnation_raised", { { "incarnation", raised->incarnation } });
    if (const auto* lost = std::get_if<MemberLost>(&action)) {
        logMemberEvent(core, "member_lost", lost->member);
        if (core.callbacks.memberLost)
            core.callbacks.memberLost(lost->member);
    }
}

auto handleActionsOnFirstThread(const ClusterPointer& core, std::vector<MembershipAction> actions) -> void
{
    if (actions.empty())
        return;
    asio::post(core->threads.context(0), [core, actions = std::move(actions)] {
        for (const auto& action : actions) {
            if (!core->isStopped)
                handleAction(*core, action);
        }
    });
}

/// The caller must hold the core's lock.
auto addVersionsAndRumors(ClusterCore& core, GossipMessage& message) -> void
{
    message.listVersion = core.listCopy.version;
    message.signatures = takeRumors(core.signatures, signaturesPerMessage);
    message.suspects = takeRumors(core.suspects, suspectsPerMessage);
    message.promptReports = takeRumors(core.promptReports, promptReportsPerMessage);
    message.leaving = takeRumors(core.leaving, leavingPerMessage);
}

auto receive(const ClusterPointer& core, const GossipMessage& message) -> void
{
    std::vector<MembershipAction> actions;
    {
        const std::lock_guard guard(core->lock);
        mergeMessage(core->membership, monotonicNow(), message, actions);
    }
    handleActionsOnFirstThread(core, std::move(actions));
    const auto& sender = message.sender.member;
    fetchNewerVersions(core, sender.peerEndpoint, sender.configurationVersion, message.listVersion);
    for (const auto signature : message.signatures)
        spreadSignature(core, signature);
    for (const auto& suspect : message.suspects)
        spreadSuspect(core, suspect);
    for (const auto& report : message.promptReports)
        spreadPromptReport(core, report);
    for (const auto& backend : message.leaving)
        spreadLeaving(core, backend);
}

auto parseMessage(const std::string& body) -> std::optional<GossipMessage>
{
    boost::system::error_code code;
    const auto document = json::parse(body, code);
    return code ? std::nullopt : gossipMessageFromJson(document);
}

auto gossipRequest(const ClusterCore& core, std::string body) -> HttpRequest
{
    // Gossip requests carry no hybrid time, to keep six messages per second within the byte budget.
    HttpRequest request { "POST", "/internal/v1/gossip", {}, std::move(body), true };
    request.headers.push_back({ std::string(peerKeyHeader), core.settings.peerKey });
    return request;
}

auto sendGossip(ClusterPointer core, HttpEndpoint peer, std::string body) -> asio::awaitable<void>
{
    auto request = gossipRequest(*core, std::move(body));
    const auto response = co_await core->threads.client(0).request(std::move(peer), std::move(request), gossipTimeout);
    if (core->isStopped || response.has_error() || response->status != statusOk)
        co_return;
    if (const auto reply = parseMessage(response->body))
        receive(core, *reply);
}

struct OutgoingMessage {
    HttpEndpoint peer;
    std::string body;
};

/// The caller must hold the core's lock.
auto composeMessages(ClusterCore& core, TimePoint now, bool isExtraRound) -> std::vector<OutgoingMessage>
{
    std::vector<OutgoingMessage> round;
    for (auto& target : chooseTargets(core.membership, now, isExtraRound)) {
        auto message = composeMessage(core.membership, now, target.isRemote);
        addVersionsAndRumors(core, message);
        round.push_back({ std::move(target.endpoint), json::serialize(toJson(message)) });
    }
    return round;
}

auto composeRound(const ClusterPointer& core) -> std::vector<OutgoingMessage>
{
    std::vector<OutgoingMessage> round;
    std::vector<MembershipAction> actions;
    {
        const std::lock_guard guard(core->lock);
        const auto now = monotonicNow();
        startRound(core->membership, now, actions);
        round = composeMessages(*core, now, false);
    }
    handleActionsOnFirstThread(core, std::move(actions));
    return round;
}

auto sendRound(const ClusterPointer& core, std::vector<OutgoingMessage> round) -> void
{
    for (auto& outgoing : round)
        spawnOnFirstThread(core, sendGossip(core, std::move(outgoing.peer), std::move(outgoing.body)));
}

auto sendExtraRound(ClusterPointer core) -> asio::awaitable<void>
{
    co_await pause(extraRoundDelay);
    if (core->isStopped)
        co_return;
    std::vector<OutgoingMessage> round;
    {
        const std::lock_guard guard(core->lock);
        core->extraRoundDue = false;
        round = composeMessages(*core, monotonicNow(), true);
    }
    sendRound(core, std::move(round));
}

/// Sends crash reports without waiting for the next regular round, because by then other instances
/// would have run the crashing request again.
auto startExtraRound(const ClusterPointer& core) -> void
{
    {
        const std::lock_guard guard(core->lock);
        if (std::exchange(core->extraRoundDue, true))
            return;
    }
    spawnOnFirstThread(core, sendExtraRound(core));
}

/// Records a report of an instance and spreads it.
/// @param notify called on the first I/O thread if the report is new.
template <typename Report>
auto spreadReport(const ClusterPointer& core, RumorBuffer<Report>& reports, const Report& report, std::function<void()> notify) -> void
{
    {
        const std::lock_guard guard(core->lock);
        if (!addRumor(reports, report))
            return;
    }
    // This instance's own services already know what it has reported itself.
    if (report.instance != core->settings.instance) {
        asio::post(core->threads.context(0), [core, notify = std::move(notify)] {
            if (!core->isStopped)
                notify();
        });
    }
    startExtraRound(core);
}

}

auto runGossip(ClusterPointer core) -> asio::awaitable<void>
{
    while (!core->isStopped) {
        sendRound(core, composeRound(core));
        co_await pause(core->settings.gossipInterval);
    }
}

auto handleGossip(const ClusterPointer& core, const std::string& body) -> HttpResponse
{
    const auto message = parseMessage(body);
    if (!message)
        return { statusBadRequest, {}, {} };
    receive(core, *message);
    const std::lock_guard guard(core->lock);
    auto reply = composeReply(core->membership, monotonicNow(), *message);
    reply.listVersion = core->listCopy.version;
    return { statusOk, {}, json::serialize(toJson(reply)) };
}

auto spreadSignature(const ClusterPointer& core, std::uint64_t signature) -> void
{
    {
        const std::lock_guard guard(core->lock);
        if (!addRumor(core->signatures, signature))
            return;
    }
    asio::post(core->threads.context(0), [core, signature] {
        if (!core->isStopped && core->callbacks.signature)
            core->callbacks.signature(signature);
    });
    startExtraRound(core);
}

auto spreadSuspect(const ClusterPointer& core, const CrashSuspect& suspect) -> void
{
    spreadReport(core, core->suspects, suspect, [core, suspect] {
        if (core->callbacks.suspect)
            core->callbacks.suspect(suspect);
    });
}

auto spreadPromptReport(const ClusterPointer& core, const PromptReport& report) -> void
{
    spreadReport(core, core->promptReports, report, [core, report] {
        if (core->callbacks.promptReport)
            core->callbacks.promptReport(report);
    });
}

auto spreadLeaving(const ClusterPointer& core, const std::string& backendId) -> void
{
    {
        const std::lock_guard guard(core->lock);
        const auto now = monotonicNow();
        const auto known = core->leavingUntil.find(backendId);
        if (known != core->leavingUntil.end() && now >= known->second) {
            removeRumor(core->leaving, backendId);
            core->leavingUntil.erase(known);
        }
        if (!addRumor(core->leaving, backendId))
            return;
        core->leavingUntil[backendId] = now + leavingReportTtl;
    }
    asio::post(core->threads.context(0), [core] {
        if (!core->isStopped)
            publishBackends(*core);
    });
}

}
