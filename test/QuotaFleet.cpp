#include "QuotaFleet.h"

namespace jayhold::test {

using namespace std::chrono_literals;

namespace {

constexpr Duration tickInterval = 5ms;
constexpr Duration presenceInterval = 300ms;
constexpr std::uint64_t remotePeerDivisor = 3;

auto customerWith(const Quota& quota) -> Customer
{
    Customer customer;
    customer.name = "customer";
    customer.quota = quota;
    return customer;
}

}

QuotaFleet::QuotaFleet(QuotaFleetSettings settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_cutZones(settings.zones)
    , m_splitZones(settings.zones)
{
    for (std::size_t index = 0; index < settings.zones * settings.instancesPerZone; ++index) {
        Instance instance;
        instance.name = "edge-" + std::to_string(index);
        instance.zone = index % settings.zones;
        m_addresses.push_back({ { "127.0.0.1", 1 }, "zone-" + std::to_string(instance.zone), instance.name });
        m_instances.push_back(std::move(instance));
    }
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        startInstance(index);
        m_events.emplace(m_now + Duration(m_random() % presenceInterval.count()), [this, index] { sendPresence(index); });
    }
}

auto QuotaFleet::startInstance(std::size_t index) -> void
{
    auto& instance = m_instances[index];
    ++instance.run;
    instance.owner = {};
    instance.owner.limits = m_settings.limits;
    instance.owner.nextId = m_random() << 32U;
    instance.owner.view.instance = instance.name;
    instance.owner.view.zone = m_addresses[index].availabilityZone;
    handleInstances(instance.owner, m_addresses);
    if (!m_quota)
        return;
    QuotaOutput output;
    const std::vector<Customer> customers { customerWith(*m_quota) };
    updateQuotas(instance.owner, m_now, customers, output);
}

auto QuotaFleet::restart(std::size_t index) -> void
{
    startInstance(index);
    m_instances[index].pausedUntil = {};
}

auto QuotaFleet::pause(std::size_t index, Duration time) -> void
{
    m_instances[index].pausedUntil = m_now + time;
}

auto QuotaFleet::setQuota(const Quota& quota, Duration maxDelay) -> void
{
    m_quota = quota;
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        const auto delay = maxDelay > Duration::zero() ? Duration(static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(maxDelay.count()))) : Duration::zero();
        m_events.emplace(m_now + delay, [this, index, quota] {
            deliver(index, m_instances[index].run, [this, index, quota](Instance& instance) {
                QuotaOutput output;
                const std::vector<Customer> customers { customerWith(quota) };
                updateQuotas(instance.owner, m_now, customers, output);
                process(index, output);
            });
        });
    }
}

auto QuotaFleet::at(Duration time, std::function<void()> action) -> void
{
    m_events.emplace(m_start + time, std::move(action));
}

auto QuotaFleet::returnGrants(Duration after, double probability) -> void
{
    m_returnAfter = after;
    m_returnProbability = probability;
}

auto QuotaFleet::runUntil(Duration end) -> void
{
    auto nextTick = m_now;
    while (m_now < m_start + end) {
        while (!m_events.empty() && m_events.begin()->first <= nextTick) {
            auto event = m_events.extract(m_events.begin());
            m_now = std::max(m_now, event.key());
            event.mapped()();
        }
        m_now = nextTick;
        for (std::size_t index = 0; index < m_instances.size(); ++index) {
            auto& instance = m_instances[index];
            if (m_now < instance.pausedUntil || nextAdvance(instance.owner) > m_now)
                continue;
            QuotaOutput output;
            advance(instance.owner, m_now, output);
            process(index, output);
        }
        nextTick += tickInterval;
    }
}

auto QuotaFleet::request(std::size_t index, std::int64_t amount) -> void
{
    auto& instance = m_instances[index];
    // Callers of an instance that stands still get no response.
    if (m_now < instance.pausedUntil)
        return;
    QuotaOutput output;
    const auto request = askQuota(instance.owner, m_now, "customer", amount, output);
    m_open[request] = amount;
    process(index, output);
}

auto QuotaFleet::process(std::size_t index, const QuotaOutput& output) -> void
{
    const auto& sender = m_instances[index];
    for (const auto& outgoing : output.messages) {
        const auto to = std::stoul(outgoing.instance.substr(outgoing.instance.find('-') + 1));
        if (!isConnected(sender, m_instances[to]) || isLost())
            continue;
        const auto text = serializeQuotaMessage(outgoing.message);
        m_events.emplace(m_now + delayBetween(sender, m_instances[to]), [this, to, run = m_instances[to].run, text] {
            deliver(to, run, [this, to, text](Instance& receiver) {
                QuotaOutput reply;
                handleQuotaMessage(receiver.owner, m_now, parseQuotaMessage(text).value(), reply);
                process(to, reply);
            });
        });
    }
    for (const auto& outcome : output.outcomes) {
        const auto open = m_open.extract(outcome.request);
        if (!open)
            continue;
        const auto number = m_requests.size();
        m_requests.push_back({ m_now, open.mapped(), outcome.decision.isGranted });
        const auto isReturned = outcome.decision.isGranted && std::uniform_real_distribution<>(0, 1)(m_random) < m_returnProbability;
        if (!isReturned)
            continue;
        m_events.emplace(m_now + m_returnAfter, [this, index, number, run = sender.run, grant = outcome.decision.grant] {
            deliver(index, run, [this, index, number, grant](Instance& instance) {
                QuotaOutput returned;
                m_requests[number].isGranted = false;
                giveBack(instance.owner, m_now, grant, returned);
                process(index, returned);
            });
        });
    }
}

auto QuotaFleet::deliver(std::size_t index, std::uint64_t run, std::function<void(Instance&)> handle) -> void
{
    auto& instance = m_instances[index];
    if (instance.run != run)
        return;
    if (m_now >= instance.pausedUntil) {
        handle(instance);
        return;
    }
    // Datagrams wait in the socket of a process that stands still.
    m_events.emplace(instance.pausedUntil, [this, index, run, handle = std::move(handle)] { deliver(index, run, handle); });
}

auto QuotaFleet::sendPresence(std::size_t index) -> void
{
    m_events.emplace(m_now + presenceInterval, [this, index] { sendPresence(index); });
    const auto& sender = m_instances[index];
    if (m_now < sender.pausedUntil)
        return;
    for (std::size_t to = 0; to < m_instances.size(); ++to) {
        const auto isRemote = m_instances[to].zone != sender.zone;
        if (to == index || !isConnected(sender, m_instances[to]) || isLost() || (isRemote && m_random() % remotePeerDivisor != 0))
            continue;
        deliver(to, m_instances[to].run, [this, index](Instance& receiver) { handlePresence(receiver.owner, m_now, m_instances[index].name, m_addresses[index].availabilityZone, m_instances[index].owner.view.isDraining); });
    }
}

auto QuotaFleet::isConnected(const Instance& left, const Instance& right) const -> bool
{
    if (left.isCut || right.isCut)
        return false;
    if (left.zone != right.zone)
        return !m_cutZones[left.zone] && !m_cutZones[right.zone];
    const auto isSameHalf = (&left - m_instances.data()) / static_cast<std::ptrdiff_t>(m_settings.zones) % 2 == (&right - m_instances.data()) / static_cast<std::ptrdiff_t>(m_settings.zones) % 2;
    return !m_splitZones[left.zone] || isSameHalf;
}

auto QuotaFleet::isLost() -> bool
{
    return std::uniform_real_distribution<>(0, 1)(m_random) < m_settings.loss;
}

auto QuotaFleet::delayBetween(const Instance& left, const Instance& right) -> Duration
{
    const auto delay = left.zone == right.zone ? 200 : 500;
    // One datagram in 32 is late.
    return Duration(delay + (m_random() % 32 == 0 ? static_cast<Duration::rep>(m_random() % 60'000) : 0));
}

}
