#include "QuotaOwner.h"

#include "QuotaOwnerRules.h"

#include <algorithm>
#include <utility>

namespace jayhold {

namespace {

/// A process that has stood still for longer does not know what other owners have granted meanwhile.
constexpr Duration longestPause = std::chrono::seconds(1);
/// The rest of the slack covers messages in flight, changes of owners and isolated instances.
constexpr double capacityPartOfSlack = 0.25;
constexpr double rateSharePartOfOver = 0.5;
/// Debt of one request, as a part of the slack.
constexpr double debtPartOfSlack = 0.25;
/// Questions are answered within milliseconds, and repeated for 140 ms.
constexpr Duration answerMemory = std::chrono::seconds(1);
/// A request that has not run by then is refused long before.
constexpr Duration returnMemory = std::chrono::seconds(10);

/// The slack is an amount of tokens.
auto slackOf(const QuotaOwner& state, const Quota& quota) -> double
{
    return quota.unit == QuotaUnit::Tokens ? state.limits.slack : 0;
}

auto capacityOf(const QuotaOwner& state, const Quota& quota) -> double
{
    return quota.burst + slackOf(state, quota) * capacityPartOfSlack;
}

/// Determines who owns each quota, and sets the buckets to this instance's shares.
auto refreshOwners(QuotaOwner& state, TimePoint now, QuotaOutput& output) -> void
{
    state.isViewChanged = false;
    state.refreshedAt = now;
    removeSilent(state.view, now);
    const auto counts = zoneCounts(state.view, now);
    const auto wasIsolated = std::exchange(state.isIsolated, isIsolated(counts));
    const auto zones = static_cast<double>(counts.zones);
    const auto known = static_cast<double>(counts.known);
    // Before the store's list has been read, the share is not known.
    const auto ownShare = state.view.known.empty() ? 0 : 1 / known / zones;
    const auto zoneShare = ownShare * static_cast<double>(counts.live);
    for (auto& [customer, account] : state.accounts) {
        const auto perSecond = account.quota.perSecond * (1 + state.limits.over * rateSharePartOfOver);
        const auto capacity = capacityOf(state, account.quota);
        setLimits(account.bucket, now, perSecond * zoneShare, capacity * zoneShare);
        setLimits(account.isolatedBucket, now, perSecond * ownShare, capacity * ownShare);
        if (state.isIsolated && !wasIsolated)
            empty(account.isolatedBucket, now);
        auto owner = ownerIn(state.view, now, state.view.zone, customer);
        const auto ownsNow = owner == state.view.instance && !state.isIsolated;
        const auto ownedBefore = account.owner == state.view.instance && !wasIsolated;
        if (ownsNow && !ownedBefore)
            empty(account.bucket, now);
        if (owner != account.owner) {
            output.ownerChanges.push_back({ customer, account.owner, owner });
            account.owner = std::move(owner);
        }
        if (!ownsNow)
            dismissWaiting(state, customer, account, output);
    }
}

}

auto beginQuotaEvent(QuotaOwner& state, TimePoint now, QuotaOutput& output) -> void
{
    if (now - state.lastEventAt > longestPause) {
        for (auto& [customer, account] : state.accounts) {
            for (auto* bucket : { &account.bucket, &account.isolatedBucket }) {
                refill(*bucket, now);
                empty(*bucket, now);
            }
        }
        state.isViewChanged = true;
    }
    state.lastEventAt = now;
    if (state.isViewChanged || now - state.refreshedAt >= quotaRefreshInterval)
        refreshOwners(state, now, output);
}

auto quotaMessage(const QuotaOwner& state, QuotaMessageType type, std::uint64_t id, std::string_view customer, std::int64_t amount) -> QuotaMessage
{
    QuotaMessage message;
    message.type = type;
    message.instance = state.view.instance;
    message.zone = state.view.zone;
    message.id = id;
    message.customer = customer;
    message.amount = amount;
    return message;
}

auto ownsQuota(const QuotaOwner& state, const QuotaAccount& account) -> bool
{
    return account.owner == state.view.instance && !state.isIsolated && !state.view.isDraining;
}

auto quotaWindow(const QuotaOwner& state) -> Duration
{
    return state.limits.window > Duration::zero() ? state.limits.window : defaultQuotaWindow;
}

auto greatestAmount(const QuotaOwner& state, const Quota& quota) -> double
{
    const auto slack = slackOf(state, quota);
    if (slack > 0)
        return capacityOf(state, quota) + slack * debtPartOfSlack;
    return std::max(1.0, quota.perSecond * std::chrono::duration<double>(quotaWindow(state)).count() + quota.burst);
}

auto updateQuotas(QuotaOwner& state, TimePoint now, std::span<const Customer> customers, QuotaOutput& output) -> void
{
    std::map<std::string, QuotaAccount, std::less<>> accounts;
    for (const auto& customer : customers) {
        if (!isLimited(customer.quota))
            continue;
        auto known = state.accounts.extract(customer.name);
        auto account = known ? std::move(known.mapped()) : QuotaAccount {};
        // An amount in another unit says nothing about this one.
        if (account.quota.unit != customer.quota.unit) {
            empty(account.bucket, now);
            empty(account.isolatedBucket, now);
        }
        account.quota = customer.quota;
        if (!known) {
            account.bucket.refilledAt = now;
            account.isolatedBucket.refilledAt = now;
        }
        accounts.emplace(customer.name, std::move(account));
    }
    for (auto& [customer, account] : state.accounts)
        dismissWaiting(state, customer, account, output);
    state.accounts = std::move(accounts);
    state.isViewChanged = true;
    beginQuotaEvent(state, now, output);
}

auto handlePresence(QuotaOwner& state, TimePoint now, const std::string& instance, const std::string& zone, bool isDraining) -> void
{
    if (recordPresence(state.view, now, instance, zone, isDraining))
        state.isViewChanged = true;
}

auto handleInstances(QuotaOwner& state, std::span<const PeerAddress> instances) -> void
{
    updateKnown(state.view, instances);
    state.isViewChanged = true;
}

auto handleQuotaMessage(QuotaOwner& state, TimePoint now, const QuotaMessage& message, QuotaOutput& output) -> void
{
    beginQuotaEvent(state, now, output);
    switch (message.type) {
    case QuotaMessageType::Ask:
        handleAsk(state, now, message, output);
        break;
    case QuotaMessageType::Granted:
    case QuotaMessageType::Refused:
    case QuotaMessageType::NotOwner:
        handleAskReply(state, now, message, output);
        break;
    case QuotaMessageType::LoanRequest:
        handleLoanRequest(state, now, message, output);
        break;
    case QuotaMessageType::Loan:
        handleLoan(state, now, message, output);
        break;
    case QuotaMessageType::Return:
        handleReturn(state, now, message);
        break;
    }
}

auto advance(QuotaOwner& state, TimePoint now, QuotaOutput& output) -> void
{
    beginQuotaEvent(state, now, output);
    advanceLoans(state, now, output);
    advanceAsks(state, now, output);
    std::erase_if(state.answeredAsks, [&](const auto& entry) { return now - entry.second.at > answerMemory; });
    std::erase_if(state.abandonedAsks, [&](const auto& entry) { return now - entry.second > answerMemory; });
    std::erase_if(state.returnedGrants, [&](const auto& entry) { return now - entry.second > returnMemory; });
    std::erase_if(state.openLoans, [&](const auto& entry) { return now >= entry.second.expiresAt; });
}

auto nextAdvance(const QuotaOwner& state) -> TimePoint
{
    if (state.accounts.empty() && state.openAsks.empty())
        return TimePoint::max();
    auto next = state.refreshedAt + quotaRefreshInterval;
    for (const auto& [id, ask] : state.openAsks)
        next = std::min(next, ask.resendAt);
    for (const auto& [customer, account] : state.accounts) {
        if (account.loanRound)
            next = std::min(next, account.loanRound->endsAt);
    }
    return next;
}

}
