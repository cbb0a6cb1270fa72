#include "QuotaExchange.h"

#include "AwaitToken.h"
#include "Rendezvous.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <optional>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Bounds the series of the metrics.
constexpr std::size_t maxCustomerSeries = 64;
constexpr std::string_view otherCustomers = "other";

/// A request that waits for its decision.
struct Waiter {
    explicit Waiter(asio::io_context& context)
        : timer(context, asio::steady_timer::time_point::max())
    {
    }

    asio::steady_timer timer;
    std::optional<QuotaDecision> decision;
};

/// @return a number from which the questions of a process count, so that those of other processes differ.
auto firstId(const QuotaExchangeSettings& settings) -> std::uint64_t
{
    // The lower 32 bits are enough for the questions of a process.
    return stableHash(settings.instance + "/" + settings.incarnation) << 32U;
}

}

struct QuotaExchange::State {
    State(IoThreads& ioThreads, QuotaExchangeSettings settings, EventLog& eventLog, Send sendDatagram)
        : context(ioThreads.context(0))
        , log(eventLog)
        , send(std::move(sendDatagram))
        , timer(context)
    {
        owner.limits = settings.limits;
        owner.nextId = firstId(settings) + 1;
        owner.view.maxUnlisted = settings.maxUnlistedPeers;
        owner.view.instance = std::move(settings.instance);
        owner.view.zone = std::move(settings.availabilityZone);
    }

    asio::io_context& context;
    EventLog& log;
    const Send send;
    asio::steady_timer timer;
    /// When the timer expires, on the boot clock.
    TimePoint timerAt = TimePoint::max();
    QuotaOwner owner;
    bool wasIsolated = false;
    std::map<std::string, Endpoint, std::less<>> endpoints;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
};

QuotaExchange::QuotaExchange(IoThreads& threads, QuotaExchangeSettings settings, EventLog& log, Send send)
    : m_state(std::make_unique<State>(threads, std::move(settings), log, std::move(send)))
{
}

QuotaExchange::~QuotaExchange() = default;

auto QuotaExchange::take(std::string customer, std::int64_t amount) -> asio::awaitable<QuotaDecision>
{
    const auto self = shared_from_this();
    if (m_state->context.get_executor().running_in_this_thread()) {
        auto decision = co_await takeHere(std::move(customer), amount);
        co_return decision;
    }
    auto decision = co_await asio::co_spawn(m_state->context, takeHere(std::move(customer), amount), asio::use_awaitable);
    co_return decision;
}

auto QuotaExchange::takeHere(std::string customer, std::int64_t amount) -> asio::awaitable<QuotaDecision>
{
    const auto self = shared_from_this();
    auto& state = *m_state;
    QuotaOutput output;
    const auto request = askQuota(state.owner, bootTimeNow(), customer, amount, output);
    QuotaDecision decision;
    // Most decisions of an owner on its own requests need no message.
    const auto known = std::ranges::find(output.outcomes, request, &QuotaOutput::Outcome::request);
    if (known != output.outcomes.end()) {
        decision = std::move(known->decision);
        output.outcomes.erase(known);
        process(std::move(output));
    } else {
        const auto waiter = std::make_shared<Waiter>(state.context);
        state.waiters[request] = waiter;
        process(std::move(output));
        boost::system::error_code code;
        if (!waiter->decision)
            co_await waiter->timer.async_wait(awaitInto(code));
        state.waiters.erase(request);
        // Only the end of the process ends the wait without a decision.
        decision = waiter->decision.value_or(QuotaDecision {});
    }
    if (!decision.isGranted)
        logRefusal(decision);
    co_return decision;
}

auto QuotaExchange::giveBack(QuotaGrant grant) -> void
{
    asio::dispatch(m_state->context, [self = shared_from_this(), grant = std::move(grant)] {
        QuotaOutput output;
        jayhold::giveBack(self->m_state->owner, bootTimeNow(), grant, output);
        self->process(std::move(output));
    });
}

auto QuotaExchange::updateCustomers(std::span<const Customer> customers) -> void
{
    QuotaOutput output;
    updateQuotas(m_state->owner, bootTimeNow(), customers, output);
    process(std::move(output));
}

auto QuotaExchange::updateInstances(std::span<const PeerAddress> instances) -> void
{
    handleInstances(m_state->owner, instances);
    const auto& view = m_state->owner.view;
    std::erase_if(m_state->endpoints, [&](const auto& entry) { return !view.peers.contains(entry.first) && !view.known.contains(entry.first); });
}

auto QuotaExchange::rememberEndpoint(const std::string& instance, const Endpoint& sender) -> void
{
    auto& endpoints = m_state->endpoints;
    if (endpoints.contains(instance) || mayRemember(m_state->owner.view, instance, endpoints.size()))
        endpoints[instance] = sender;
}

auto QuotaExchange::handlePresence(const PeerPresence& presence, const Endpoint& sender) -> void
{
    rememberEndpoint(presence.instance, sender);
    jayhold::handlePresence(m_state->owner, bootTimeNow(), presence.instance, presence.availabilityZone, presence.isDraining);
}

auto QuotaExchange::handleDatagram(std::string_view text, const Endpoint& sender) -> void
{
    const auto message = parseQuotaMessage(text);
    if (!message) {
        m_state->log.record(LogLevel::Info, "quota_message_unreadable", { { "bytes", text.size() } });
        return;
    }
    rememberEndpoint(message->instance, sender);
    QuotaOutput output;
    handleQuotaMessage(m_state->owner, bootTimeNow(), *message, output);
    process(std::move(output));
}

auto QuotaExchange::startDraining() -> void
{
    m_state->owner.view.isDraining = true;
    m_state->owner.isViewChanged = true;
    QuotaOutput output;
    advance(m_state->owner, bootTimeNow(), output);
    process(std::move(output));
}

auto QuotaExchange::process(QuotaOutput output) -> void
{
    auto& state = *m_state;
    for (const auto& outgoing : output.messages) {
        const auto target = state.endpoints.find(outgoing.instance);
        if (target != state.endpoints.end())
            state.send(target->second, serializeQuotaMessage(outgoing.message));
    }
    for (auto& outcome : output.outcomes) {
        const auto waiter = state.waiters.find(outcome.request);
        if (waiter == state.waiters.end())
            continue;
        waiter->second->decision = std::move(outcome.decision);
        waiter->second->timer.cancel();
    }
    for (const auto& change : output.ownerChanges)
        state.log.record(LogLevel::Info, "quota_owner_changed", { { "customer", change.customer }, { "previous", change.previous }, { "owner", change.owner }, { "live_peers", zoneCounts(state.owner.view, bootTimeNow()).live - 1 } });
    if (state.owner.isIsolated != state.wasIsolated && !state.owner.accounts.empty()) {
        state.wasIsolated = state.owner.isIsolated;
        const auto counts = zoneCounts(state.owner.view, bootTimeNow());
        state.log.record(LogLevel::Info, "quota_isolated", { { "isolated", state.wasIsolated }, { "known", counts.known }, { "live", counts.live }, { "zones", counts.zones } });
    }
    schedule();
}

auto QuotaExchange::schedule() -> void
{
    auto& state = *m_state;
    const auto next = nextAdvance(state.owner);
    if (next >= state.timerAt)
        return;
    state.timerAt = next;
    state.timer.expires_after(std::max(Duration::zero(), std::chrono::duration_cast<Duration>(next - bootTimeNow())));
    state.timer.async_wait([weak = weak_from_this()](const boost::system::error_code& code) {
        const auto self = weak.lock();
        // A timer that was set anew has another handler.
        if (code || !self)
            return;
        self->m_state->timerAt = TimePoint::max();
        QuotaOutput output;
        advance(self->m_state->owner, bootTimeNow(), output);
        self->process(std::move(output));
    });
}

auto QuotaExchange::logRefusal(const QuotaDecision& decision) -> void
{
    const auto milliseconds = [](Duration time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time).count(); };
    m_state->log.record(LogLevel::Info, "quota_refused", { { "customer", decision.grant.customer }, { "amount", decision.grant.amount }, { "available", decision.available }, { "promised", decision.promised }, { "retry_after_ms", milliseconds(decision.retryAfter) }, { "owner", decision.grant.grantor }, { "view_age_ms", milliseconds(decision.viewAge) } });
}

auto QuotaExchange::counts() const -> Counts
{
    Counts counts { {}, m_state->owner.unansweredAsks, m_state->owner.isIsolated };
    QuotaCounts others;
    for (const auto& [customer, account] : m_state->owner.accounts) {
        if (counts.customers.size() < maxCustomerSeries)
            counts.customers.emplace_back(customer, account.counts);
        else
            others += account.counts;
    }
    if (m_state->owner.accounts.size() > maxCustomerSeries)
        counts.customers.emplace_back(otherCustomers, others);
    return counts;
}

}
