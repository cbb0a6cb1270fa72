#include "QuotaOwnerRules.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Times without a reply after which a question is repeated, or given up after the last one.
constexpr Duration ownerTimeouts[] = { std::chrono::milliseconds(20), std::chrono::milliseconds(40), std::chrono::milliseconds(80) };
/// The instances that are asked after that; the caller has waited long enough.
constexpr Duration nextTimeouts[] = { std::chrono::milliseconds(20) };
constexpr Duration otherZoneTimeouts[] = { std::chrono::milliseconds(20), std::chrono::milliseconds(40) };
/// Least delay named in a refusal that waits for another owner.
constexpr Duration minOwnerDelay = std::chrono::milliseconds(100);

using Ask = QuotaOwner::OpenAsk;
using Stage = QuotaOwner::AskStage;

auto timeoutsOf(Stage stage) -> std::span<const Duration>
{
    switch (stage) {
    case Stage::Owner:
        return ownerTimeouts;
    case Stage::NextOwner:
        return nextTimeouts;
    case Stage::OtherZone:
        return otherZoneTimeouts;
    }
    return nextTimeouts;
}

auto decide(const QuotaOwner& state, const Ask& ask, bool isGranted, std::string grantor, std::uint64_t id, TimePoint now) -> QuotaDecision
{
    QuotaDecision decision;
    decision.isGranted = isGranted;
    decision.viewAge = presenceAge(state.view, now, grantor);
    decision.grant = { ask.customer, ask.amount, std::move(grantor), id, false };
    return decision;
}

auto send(QuotaOwner& state, TimePoint now, std::uint64_t id, Ask& ask, QuotaOutput& output) -> void
{
    ask.resendAt = now + timeoutsOf(ask.stage)[ask.sends];
    ++ask.sends;
    output.messages.push_back({ ask.target, quotaMessage(state, QuotaMessageType::Ask, id, ask.customer, ask.amount) });
}

/// Asks an instance with a new number, so that a late reply of an earlier one is recognised.
auto sendTo(QuotaOwner& state, TimePoint now, Ask ask, Stage stage, std::string target, QuotaOutput& output) -> void
{
    ask.stage = stage;
    ask.target = std::move(target);
    ask.sends = 0;
    const auto id = state.nextId++;
    send(state, now, id, state.openAsks[id] = std::move(ask), output);
}

/// Decides from this instance's own share. An instance that is not isolated has none, because the zone's owner uses it.
auto decideAlone(QuotaOwner& state, TimePoint now, QuotaAccount& account, const Ask& ask, QuotaOutput& output) -> void
{
    auto decision = decide(state, ask, false, state.view.instance, ask.request, now);
    if (state.isIsolated) {
        auto& bucket = account.isolatedBucket;
        refill(bucket, now);
        decision.available = static_cast<std::int64_t>(bucket.level);
        decision.retryAfter = std::max(minOwnerDelay, timeToGain(bucket, missingFor(bucket, ask.amount), quotaWindow(state)));
    } else {
        decision.grant.grantor = account.owner;
        decision.viewAge = presenceAge(state.view, now, account.owner);
        decision.retryAfter = std::clamp<Duration>(state.view.silentAfter - decision.viewAge, minOwnerDelay, state.view.silentAfter);
    }
    account.counts.refused += static_cast<std::uint64_t>(ask.amount);
    output.outcomes.push_back({ ask.request, std::move(decision) });
}

/// Asks the owner of another zone, which can grant a part of that zone's share.
auto askOtherZone(QuotaOwner& state, TimePoint now, QuotaAccount& account, Ask ask, QuotaOutput& output) -> void
{
    const auto zones = otherZones(state.view, now);
    for (std::size_t index = 0; index < zones.size(); ++index) {
        auto owner = reachableOwnerIn(state.view, now, zones[(ask.request + index) % zones.size()], ask.customer);
        if (owner.empty())
            continue;
        sendTo(state, now, std::move(ask), Stage::OtherZone, std::move(owner), output);
        return;
    }
    decideAlone(state, now, account, ask, output);
}

/// Goes on after an instance that did not reply, or is not the owner.
auto askNext(QuotaOwner& state, TimePoint now, QuotaAccount& account, Ask ask, const std::string& next, QuotaOutput& output) -> void
{
    if (ownsQuota(state, account))
        decideAsOwner(state, now, ask.customer, account, { ask.request, {}, ask.amount }, output);
    else if (ask.stage == Stage::OtherZone)
        decideAlone(state, now, account, ask, output);
    else if (ask.stage == Stage::NextOwner || next.empty() || next == ask.target || next == state.view.instance)
        askOtherZone(state, now, account, std::move(ask), output);
    else
        sendTo(state, now, std::move(ask), Stage::NextOwner, next, output);
}

/// Decides on a request whose customer has lost its quota meanwhile.
auto grantUnlimited(const Ask& ask, QuotaOutput& output) -> void
{
    QuotaDecision decision;
    decision.isGranted = true;
    decision.grant.customer = ask.customer;
    output.outcomes.push_back({ ask.request, std::move(decision) });
}

}

auto askQuota(QuotaOwner& state, TimePoint now, const std::string& customer, std::int64_t amount, QuotaOutput& output) -> std::uint64_t
{
    beginQuotaEvent(state, now, output);
    Ask ask;
    ask.request = state.nextId++;
    ask.customer = customer;
    ask.amount = amount;
    const auto request = ask.request;
    const auto found = state.accounts.find(customer);
    if (found == state.accounts.end()) {
        grantUnlimited(ask, output);
        return request;
    }
    auto& account = found->second;
    if (state.isIsolated) {
        const auto isAllowed = static_cast<double>(amount) <= greatestAmount(state, account.quota);
        if (isAllowed && tryTake(account.isolatedBucket, now, amount)) {
            account.counts.granted += static_cast<std::uint64_t>(amount);
            auto decision = decide(state, ask, true, state.view.instance, request, now);
            decision.grant.isIsolated = true;
            output.outcomes.push_back({ request, std::move(decision) });
        } else {
            askOtherZone(state, now, account, std::move(ask), output);
        }
        return request;
    }
    if (ownsQuota(state, account)) {
        decideAsOwner(state, now, customer, account, { request, {}, amount }, output);
        return request;
    }
    auto owner = reachableOwnerIn(state.view, now, state.view.zone, customer);
    if (owner.empty() || owner == state.view.instance)
        askOtherZone(state, now, account, std::move(ask), output);
    else
        sendTo(state, now, std::move(ask), Stage::Owner, std::move(owner), output);
    return request;
}

auto handleAskReply(QuotaOwner& state, TimePoint now, const QuotaMessage& message, QuotaOutput& output) -> void
{
    auto node = state.openAsks.extract(message.id);
    if (!node) {
        // The request has been decided otherwise, so the grant is not used.
        if (message.type == QuotaMessageType::Granted && state.abandonedAsks.erase(message.id) > 0)
            output.messages.push_back({ message.instance, quotaMessage(state, QuotaMessageType::Return, message.id, message.customer, message.amount) });
        return;
    }
    auto& ask = node.mapped();
    if (message.type == QuotaMessageType::NotOwner) {
        if (message.isDraining) {
            const auto peer = state.view.peers.find(message.instance);
            if (peer != state.view.peers.end())
                peer->second.isDraining = true;
            state.isViewChanged = true;
            beginQuotaEvent(state, now, output);
        }
        const auto account = state.accounts.find(ask.customer);
        if (account == state.accounts.end()) {
            grantUnlimited(ask, output);
            return;
        }
        const auto named = state.view.peers.find(message.owner);
        const auto isReachable = named != state.view.peers.end() && !named->second.isUnreachable;
        askNext(state, now, account->second, std::move(ask), isReachable ? message.owner : std::string(), output);
        return;
    }
    auto decision = decide(state, ask, message.type == QuotaMessageType::Granted, message.instance, message.id, now);
    decision.retryAfter = message.retryAfter;
    decision.available = message.available;
    decision.promised = message.promised;
    output.outcomes.push_back({ ask.request, std::move(decision) });
}

auto advanceAsks(QuotaOwner& state, TimePoint now, QuotaOutput& output) -> void
{
    std::vector<std::uint64_t> due;
    for (const auto& [id, ask] : state.openAsks) {
        if (ask.resendAt <= now)
            due.push_back(id);
    }
    for (const auto id : due) {
        auto& open = state.openAsks[id];
        if (open.sends < timeoutsOf(open.stage).size()) {
            send(state, now, id, open, output);
            continue;
        }
        auto ask = std::move(open);
        state.openAsks.erase(id);
        state.abandonedAsks[id] = now;
        ++state.unansweredAsks;
        recordUnreachable(state.view, ask.target);
        const auto account = state.accounts.find(ask.customer);
        if (account == state.accounts.end()) {
            grantUnlimited(ask, output);
            continue;
        }
        const auto next = reachableOwnerIn(state.view, now, state.view.zone, ask.customer);
        askNext(state, now, account->second, std::move(ask), next, output);
    }
}

auto giveBack(QuotaOwner& state, TimePoint now, const QuotaGrant& grant, QuotaOutput& output) -> void
{
    if (grant.amount <= 0)
        return;
    beginQuotaEvent(state, now, output);
    auto message = quotaMessage(state, QuotaMessageType::Return, grant.id, grant.customer, grant.amount);
    if (grant.grantor != state.view.instance) {
        output.messages.push_back({ grant.grantor, std::move(message) });
        return;
    }
    if (!grant.isIsolated) {
        handleReturn(state, now, message);
        return;
    }
    const auto account = state.accounts.find(grant.customer);
    if (account == state.accounts.end() || !state.isIsolated || !state.returnedGrants.emplace(grant.id, now).second)
        return;
    account->second.counts.returned += static_cast<std::uint64_t>(grant.amount);
    deposit(account->second.isolatedBucket, now, grant.amount);
}

}
