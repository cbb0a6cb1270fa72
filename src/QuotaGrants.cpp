#include "QuotaOwnerRules.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jayhold {

namespace {

/// The demand of this time is kept by a lender and borrowed in advance by a borrower.
constexpr Duration loanHorizon = std::chrono::milliseconds(250);
/// Two lenders together take less than the time for which the question that waits for the loan is repeated.
constexpr Duration loanTimeout = std::chrono::milliseconds(40);
/// Loan requests without a reply after which a lender is not asked before its next message. One reply is often late.
constexpr unsigned maxMissedLoans = 3;
/// A loan that arrives later than its timeout still counts for this time.
constexpr Duration loanMemory = std::chrono::seconds(1);
/// After a round of loan requests without success, requests are refused without another one for this time.
constexpr Duration loanBackOff = std::chrono::milliseconds(20);
/// Questions that wait for the same loan.
constexpr std::size_t maxWaiting = 64;
/// A smaller delay would be lost in the time that the messages take.
constexpr Duration minRetryDelay = std::chrono::milliseconds(5);

auto recordUse(QuotaAccount& account, TimePoint now, std::int64_t amount) -> void
{
    account.recentUses.push_back({ now, amount });
}

/// @return what the own zone has used within the horizon.
auto recentUse(QuotaAccount& account, TimePoint now) -> double
{
    while (!account.recentUses.empty() && now - account.recentUses.front().at > loanHorizon)
        account.recentUses.pop_front();
    double sum = 0;
    for (const auto& use : account.recentUses)
        sum += static_cast<double>(use.amount);
    return sum;
}

/// Sends the reply to a question, or the decision on a request of this instance.
auto reply(QuotaOwner& state, TimePoint now, const QuotaAccount::Waiting& question, QuotaMessage message, QuotaOutput& output) -> void
{
    if (!question.instance.empty()) {
        state.answeredAsks[question.id] = { message, now };
        output.messages.push_back({ question.instance, std::move(message) });
        return;
    }
    QuotaDecision decision;
    decision.isGranted = message.type == QuotaMessageType::Granted;
    decision.grant = { message.customer, question.amount, state.view.instance, question.id, false };
    decision.retryAfter = message.retryAfter;
    decision.available = message.available;
    decision.promised = message.promised;
    output.outcomes.push_back({ question.id, std::move(decision) });
}

auto grant(QuotaOwner& state, TimePoint now, const std::string& customer, QuotaAccount& account, const QuotaAccount::Waiting& question, QuotaOutput& output) -> void
{
    account.counts.granted += static_cast<std::uint64_t>(question.amount);
    recordUse(account, now, question.amount);
    // Some caller who was refused earlier may have returned before its time.
    if (!account.promises.empty() && account.promises.front().amount <= question.amount)
        account.promises.erase(account.promises.begin());
    reply(state, now, question, quotaMessage(state, QuotaMessageType::Granted, question.id, customer, question.amount), output);
}

auto refuse(QuotaOwner& state, TimePoint now, const std::string& customer, QuotaAccount& account, const QuotaAccount::Waiting& question, QuotaOutput& output) -> void
{
    account.counts.refused += static_cast<std::uint64_t>(question.amount);
    std::erase_if(account.promises, [&](const auto& promise) { return promise.until <= now; });
    double promised = 0;
    for (const auto& promise : account.promises)
        promised += static_cast<double>(promise.amount);
    const auto window = quotaWindow(state);
    const auto delay = static_cast<double>(question.amount) > greatestAmount(state, account.quota) ? window : timeToGain(account.bucket, missingFor(account.bucket, question.amount) + promised, window);
    // Promises beyond the window would only add up the returns of callers that don't wait.
    if (delay < window)
        account.promises.push_back({ now + delay, question.amount });
    auto message = quotaMessage(state, QuotaMessageType::Refused, question.id, customer, question.amount);
    // Callers get the delay in milliseconds.
    message.retryAfter = std::max<Duration>(std::chrono::ceil<std::chrono::milliseconds>(delay), minRetryDelay);
    message.available = static_cast<std::int64_t>(std::floor(account.bucket.level));
    message.promised = static_cast<std::int64_t>(promised);
    reply(state, now, question, std::move(message), output);
}

auto grantWaiting(QuotaOwner& state, TimePoint now, const std::string& customer, QuotaAccount& account, QuotaOutput& output) -> void
{
    while (!account.waiting.empty() && tryTake(account.bucket, now, account.waiting.front().amount)) {
        const auto question = std::move(account.waiting.front());
        account.waiting.pop_front();
        grant(state, now, customer, account, question, output);
    }
}

/// Asks the next zone for what is missing, and for as much again for the next requests. After the last zone, the requests
/// that still wait are refused.
auto requestLoan(QuotaOwner& state, TimePoint now, const std::string& customer, QuotaAccount& account, QuotaOutput& output) -> void
{
    grantWaiting(state, now, customer, account, output);
    auto& round = *account.loanRound;
    if (account.waiting.empty()) {
        account.loanRound.reset();
        return;
    }
    while (!round.remainingZones.empty()) {
        const auto zone = std::move(round.remainingZones.back());
        round.remainingZones.pop_back();
        round.lender = reachableOwnerIn(state.view, now, zone, customer);
        if (round.lender.empty())
            continue;
        double wanted = -account.bucket.level;
        for (const auto& question : account.waiting)
            wanted += static_cast<double>(question.amount);
        const auto ahead = std::min(wanted, account.bucket.perSecond * std::chrono::duration<double>(loanHorizon).count());
        round.id = state.nextId++;
        round.endsAt = now + loanTimeout;
        state.openLoans[round.id] = { customer, now + loanMemory };
        output.messages.push_back({ round.lender, quotaMessage(state, QuotaMessageType::LoanRequest, round.id, customer, static_cast<std::int64_t>(std::ceil(wanted + ahead))) });
        return;
    }
    account.loanRound.reset();
    account.noLoansUntil = now + loanBackOff;
    for (const auto& question : std::exchange(account.waiting, {})) {
        if (tryTake(account.bucket, now, question.amount))
            grant(state, now, customer, account, question, output);
        else
            refuse(state, now, customer, account, question, output);
    }
}

/// @return the other zones, beginning with a different one each time.
auto lenderZones(const QuotaOwner& state, TimePoint now) -> std::vector<std::string>
{
    auto zones = otherZones(state.view, now);
    if (!zones.empty())
        std::rotate(zones.begin(), zones.begin() + static_cast<std::ptrdiff_t>(state.nextId % zones.size()), zones.end());
    return zones;
}

}

auto decideAsOwner(QuotaOwner& state, TimePoint now, const std::string& customer, QuotaAccount& account, QuotaAccount::Waiting question, QuotaOutput& output) -> void
{
    if (static_cast<double>(question.amount) > greatestAmount(state, account.quota)) {
        refuse(state, now, customer, account, question, output);
        return;
    }
    if (account.waiting.empty() && tryTake(account.bucket, now, question.amount)) {
        grant(state, now, customer, account, question, output);
        return;
    }
    if (!account.loanRound) {
        auto zones = now < account.noLoansUntil ? std::vector<std::string>() : lenderZones(state, now);
        if (zones.empty()) {
            refuse(state, now, customer, account, question, output);
            return;
        }
        account.waiting.push_back(std::move(question));
        account.loanRound = QuotaAccount::LoanRound { .remainingZones = std::move(zones) };
        requestLoan(state, now, customer, account, output);
        return;
    }
    if (account.waiting.size() < maxWaiting)
        account.waiting.push_back(std::move(question));
    else
        refuse(state, now, customer, account, question, output);
}

auto handleAsk(QuotaOwner& state, TimePoint now, const QuotaMessage& message, QuotaOutput& output) -> void
{
    if (const auto answered = state.answeredAsks.find(message.id); answered != state.answeredAsks.end()) {
        output.messages.push_back({ message.instance, answered->second.reply });
        return;
    }
    const auto found = state.accounts.find(message.customer);
    if (found == state.accounts.end() || !ownsQuota(state, found->second)) {
        auto notOwner = quotaMessage(state, QuotaMessageType::NotOwner, message.id, message.customer, message.amount);
        notOwner.owner = found == state.accounts.end() || state.isIsolated ? std::string() : found->second.owner;
        notOwner.isDraining = state.view.isDraining;
        output.messages.push_back({ message.instance, std::move(notOwner) });
        return;
    }
    auto& account = found->second;
    if (std::ranges::find(account.waiting, message.id, &QuotaAccount::Waiting::id) != account.waiting.end())
        return;
    const QuotaAccount::Waiting question { message.id, message.instance, message.amount };
    if (message.zone == state.view.zone) {
        decideAsOwner(state, now, message.customer, account, question, output);
        return;
    }
    // A request of another zone, whose owner does not reply, is treated like a loan.
    refill(account.bucket, now);
    const auto isSpare = account.waiting.empty() && account.bucket.level - recentUse(account, now) >= static_cast<double>(message.amount);
    if (isSpare && tryTake(account.bucket, now, message.amount)) {
        account.counts.granted += static_cast<std::uint64_t>(message.amount);
        reply(state, now, question, quotaMessage(state, QuotaMessageType::Granted, message.id, message.customer, message.amount), output);
    } else {
        refuse(state, now, message.customer, account, question, output);
    }
}

auto handleLoanRequest(QuotaOwner& state, TimePoint now, const QuotaMessage& message, QuotaOutput& output) -> void
{
    const auto found = state.accounts.find(message.customer);
    std::int64_t lent = 0;
    if (found != state.accounts.end() && ownsQuota(state, found->second) && found->second.waiting.empty()) {
        auto& account = found->second;
        lent = takeUpTo(account.bucket, now, message.amount, recentUse(account, now));
        account.counts.lent += static_cast<std::uint64_t>(lent);
    }
    output.messages.push_back({ message.instance, quotaMessage(state, QuotaMessageType::Loan, message.id, message.customer, lent) });
}

auto handleLoan(QuotaOwner& state, TimePoint now, const QuotaMessage& message, QuotaOutput& output) -> void
{
    const auto loan = state.openLoans.extract(message.id);
    if (!loan)
        return;
    if (const auto lender = state.view.peers.find(message.instance); lender != state.view.peers.end())
        lender->second.missedLoans = 0;
    const auto found = state.accounts.find(loan.mapped().customer);
    if (found == state.accounts.end())
        return;
    auto& [customer, account] = *found;
    // A loan to an instance that is not the owner any more is lost.
    if (ownsQuota(state, account)) {
        account.counts.borrowed += static_cast<std::uint64_t>(message.amount);
        // The waiting requests may need more than the capacity, which the level exceeds for a moment only.
        refill(account.bucket, now);
        account.bucket.level += static_cast<double>(message.amount);
    }
    if (account.loanRound && account.loanRound->id == message.id)
        requestLoan(state, now, customer, account, output);
    else
        grantWaiting(state, now, customer, account, output);
    account.bucket.level = std::min(account.bucket.level, account.bucket.capacity);
}

auto handleReturn(QuotaOwner& state, TimePoint now, const QuotaMessage& message) -> void
{
    const auto found = state.accounts.find(message.customer);
    if (found == state.accounts.end() || !ownsQuota(state, found->second) || !state.returnedGrants.emplace(message.id, now).second)
        return;
    found->second.counts.returned += static_cast<std::uint64_t>(message.amount);
    deposit(found->second.bucket, now, message.amount);
}

auto dismissWaiting(QuotaOwner& state, const std::string& customer, QuotaAccount& account, QuotaOutput& output) -> void
{
    account.loanRound.reset();
    for (const auto& question : std::exchange(account.waiting, {})) {
        auto message = quotaMessage(state, QuotaMessageType::NotOwner, question.id, customer, question.amount);
        message.owner = account.owner == state.view.instance ? std::string() : account.owner;
        message.isDraining = state.view.isDraining;
        if (question.instance.empty()) {
            QuotaDecision decision;
            decision.grant = { customer, question.amount, state.view.instance, question.id, false };
            decision.retryAfter = quotaRefreshInterval;
            output.outcomes.push_back({ question.id, std::move(decision) });
        } else {
            output.messages.push_back({ question.instance, std::move(message) });
        }
    }
}

auto advanceLoans(QuotaOwner& state, TimePoint now, QuotaOutput& output) -> void
{
    for (auto& [customer, account] : state.accounts) {
        if (!account.loanRound || now < account.loanRound->endsAt)
            continue;
        const auto lender = state.view.peers.find(account.loanRound->lender);
        if (lender != state.view.peers.end() && ++lender->second.missedLoans >= maxMissedLoans)
            recordUnreachable(state.view, lender->first);
        requestLoan(state, now, customer, account, output);
    }
}

}
