#include "SlotSharing.h"

#include "RendezvousOwner.h"

#include <algorithm>
#include <numeric>

namespace jayhold::bench {

namespace {

/// Slots move between instances in batches of this size to limit the number of messages.
constexpr std::uint32_t leaseBatchSlots = 2;
/// A request is forwarded to an owner in another zone only if that owner is less loaded by this factor.
constexpr double crossZoneLoadFactor = 1.02;

}

auto SlotSharing::initialize(std::span<const Engine> engines, std::vector<ZoneId> instanceZones) -> void
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
        m_ownedSlots[m_owners.back()] += m_parameters.decodeSlots;
        // Splits the slots evenly at first. The remainder goes to consecutive instances, starting at an
        // index that depends on the engine.
        for (std::uint32_t slot = 0; slot < m_parameters.decodeSlots; ++slot)
            ++m_leases.back()[(engine + slot) % m_zones.size()];
    }
}

auto SlotSharing::slots(std::size_t instance, std::size_t engine) const -> std::uint32_t
{
    if (m_roles[engine] == PoolRole::Prefill)
        return m_parameters.prefillSlots;
    if (m_sharing == Sharing::Independent)
        return m_parameters.decodeSlots;
    if (m_sharing == Sharing::Owner)
        return m_owners[engine] == instance ? m_parameters.decodeSlots : 0;
    return m_leases[engine][instance];
}

auto SlotSharing::chooseInstance(std::size_t receiver) -> std::size_t
{
    if (m_sharing != Sharing::Owner)
        return receiver;
    std::size_t best = receiver;
    auto least = std::numeric_limits<double>::infinity();
    for (std::size_t instance = 0; instance < m_zones.size(); ++instance) {
        if (m_ownedSlots[instance] == 0)
            continue;
        const auto loadFactor = m_zones[instance] == m_zones[receiver] ? 1.0 : crossZoneLoadFactor;
        const auto load = loadFactor * static_cast<double>(m_load[instance] + 1) / m_ownedSlots[instance];
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
    const auto remainingSlots = m_leases[engine][instance] - leaseBatchSlots;
    return user.memoryBlocksUsed(engine) <= m_parameters.memoryBlocks * remainingSlots / m_parameters.decodeSlots;
}

auto SlotSharing::moveLeases(std::size_t engine, const std::vector<std::unique_ptr<EntryInstance>>& instances) -> bool
{
    auto& leases = m_leases[engine];
    bool moved = false;
    for (std::size_t borrower = 0; borrower < instances.size(); ++borrower) {
        const auto used = instances[borrower]->slotsUsed(engine);
        if (used + leaseBatchSlots <= leases[borrower] || (instances[borrower]->queued() == 0 && used < leases[borrower]))
            continue;
        // Moves a batch from the instance with the most idle slots.
        std::size_t donor = borrower;
        std::uint32_t maxIdle = leaseBatchSlots - 1;
        for (std::size_t other = 0; other < instances.size(); ++other) {
            const auto otherUsed = instances[other]->slotsUsed(engine);
            const auto idle = leases[other] > otherUsed ? leases[other] - otherUsed : 0;
            if (other != borrower && idle > maxIdle && instances[other]->queued() == 0 && memoryFits(engine, other, *instances[other])) {
                maxIdle = idle;
                donor = other;
            }
        }
        if (donor == borrower)
            continue;
        leases[donor] -= leaseBatchSlots;
        leases[borrower] += leaseBatchSlots;
        moved = true;
    }
    return moved;
}

}
