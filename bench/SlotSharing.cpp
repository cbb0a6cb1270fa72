#include "SlotSharing.h"

#include "RendezvousOwner.h"

#include <algorithm>
#include <numeric>

namespace jayhold::bench {

namespace {

/// Seats move between instances in batches of this size, so that an owner sends few messages.
constexpr std::uint32_t leaseBatch = 2;
/// A request is handed to an owner in another zone only where that one is less loaded by this factor.
constexpr double otherZoneCost = 1.02;

}

auto SlotSharing::begin(std::span<const Engine> engines, std::vector<ZoneId> instanceZones) -> void
{
    m_zones = std::move(instanceZones);
    m_ownedSlots.assign(m_zones.size(), 0);
    m_load.assign(m_zones.size(), 0);
    for (std::size_t engine = 0; engine < engines.size(); ++engine) {
        m_roles.push_back(engines[engine].role);
        m_owners.push_back(rendezvousOwner(engine, m_zones.size()));
        m_leases.emplace_back(m_zones.size(), 0);
        if (m_roles.back() != PoolRole::Decode)
            continue;
        m_ownedSlots[m_owners.back()] += m_shape.decodeSlots;
        // Begins with an even split; what is left goes to the first instances.
        for (std::uint32_t slot = 0; slot < m_shape.decodeSlots; ++slot)
            ++m_leases.back()[(engine + slot) % m_zones.size()];
    }
}

auto SlotSharing::slots(std::size_t instance, std::size_t engine) const -> std::uint32_t
{
    if (m_roles[engine] == PoolRole::Prefill)
        return m_shape.prefillSlots;
    if (m_sharing == Sharing::Independent)
        return m_shape.decodeSlots;
    if (m_sharing == Sharing::Owner)
        return m_owners[engine] == instance ? m_shape.decodeSlots : 0;
    return m_leases[engine][instance];
}

auto SlotSharing::place(std::size_t receiver) -> std::size_t
{
    if (m_sharing != Sharing::Owner)
        return receiver;
    std::size_t best = receiver;
    auto least = std::numeric_limits<double>::infinity();
    for (std::size_t instance = 0; instance < m_zones.size(); ++instance) {
        if (m_ownedSlots[instance] == 0)
            continue;
        const auto cost = m_zones[instance] == m_zones[receiver] ? 1.0 : otherZoneCost;
        const auto load = cost * static_cast<double>(m_load[instance] + 1) / m_ownedSlots[instance];
        if (load < least) {
            least = load;
            best = instance;
        }
    }
    ++m_load[best];
    return best;
}

auto SlotSharing::update(const std::vector<std::unique_ptr<EntryInstance>>& instances) -> std::vector<std::size_t>
{
    for (std::size_t instance = 0; instance < instances.size(); ++instance)
        m_load[instance] = instances[instance]->active();
    std::vector<std::size_t> moved;
    for (std::size_t engine = 0; engine < m_roles.size() && m_sharing == Sharing::Credits; ++engine) {
        if (m_roles[engine] == PoolRole::Decode && moveLeases(engine, instances))
            moved.push_back(engine);
    }
    return moved;
}

auto SlotSharing::memoryFits(std::size_t engine, std::size_t instance, const EntryInstance& user) const -> bool
{
    const auto leftSlots = m_leases[engine][instance] - leaseBatch;
    return user.memoryBlocksUsed(engine) <= m_shape.memoryBlocks * leftSlots / m_shape.decodeSlots;
}

auto SlotSharing::moveLeases(std::size_t engine, const std::vector<std::unique_ptr<EntryInstance>>& instances) -> bool
{
    auto& leases = m_leases[engine];
    bool moved = false;
    for (std::size_t needy = 0; needy < instances.size(); ++needy) {
        const auto used = instances[needy]->slotsUsed(engine);
        if (used + leaseBatch <= leases[needy] || (instances[needy]->queued() == 0 && used < leases[needy]))
            continue;
        // Takes a batch from the instance with the most idle seats.
        std::size_t donor = needy;
        std::uint32_t mostIdle = leaseBatch - 1;
        for (std::size_t other = 0; other < instances.size(); ++other) {
            const auto otherUsed = instances[other]->slotsUsed(engine);
            const auto idle = leases[other] > otherUsed ? leases[other] - otherUsed : 0;
            if (other != needy && idle > mostIdle && instances[other]->queued() == 0 && memoryFits(engine, other, *instances[other])) {
                mostIdle = idle;
                donor = other;
            }
        }
        if (donor == needy)
            continue;
        leases[donor] -= leaseBatch;
        leases[needy] += leaseBatch;
        moved = true;
    }
    return moved;
}

}
