#pragma once

/// Applies a sharing scheme: determines how many slots of each engine an entry instance can use, and
/// which instance handles a request.

#include "Engines.h"
#include "EntryInstance.h"
#include "Sharing.h"

#include <memory>
#include <span>
#include <vector>

namespace jayhold::bench {

class SlotSharing {
public:
    SlotSharing(Sharing sharing, const EngineParameters& parameters)
        : m_sharing(sharing)
        , m_parameters(parameters)
    {
    }

    /// Determines the owners and the initial leases from the engines and the zones of the instances.
    auto initialize(std::span<const Engine> engines, std::vector<ZoneId> instanceZones) -> void;
    /// @return the number of slots of the engine that the instance can use.
    auto slots(std::size_t instance, std::size_t engine) const -> std::uint32_t;
    /// @return whether the slots of the engine are partitioned among the instances, so that no instance
    /// needs headroom for its peers.
    auto isPartitioned(std::size_t engine) const -> bool { return m_sharing != Sharing::Independent && m_roles[engine] == PoolRole::Decode; }
    /// @return the instance that handles the request, which can be the receiver itself.
    auto chooseInstance(std::size_t receiver) -> std::size_t;
    /// Refreshes the view of the usage of all instances, which is therefore at most as old as the
    /// interval between two calls, and moves leases.
    /// @return the engines whose leases have changed.
    auto update(const std::vector<std::unique_ptr<EntryInstance>>& instances) -> std::vector<std::size_t>;

private:
    /// @return whether the memory share of the instance suffices for its requests after it returns a
    /// batch of slots.
    auto memoryFits(std::size_t engine, std::size_t instance, const EntryInstance& user) const -> bool;
    auto moveLeases(std::size_t engine, const std::vector<std::unique_ptr<EntryInstance>>& instances) -> bool;

    Sharing m_sharing;
    const EngineParameters& m_parameters;
    std::vector<ZoneId> m_zones;
    std::vector<PoolRole> m_roles;
    std::vector<std::size_t> m_owners;
    /// Leased slots by engine and instance.
    std::vector<std::vector<std::uint32_t>> m_leases;
    /// Slots owned by each instance, and the requests that it had at the last update plus those that have
    /// been forwarded to it since.
    std::vector<std::uint32_t> m_ownedSlots;
    std::vector<std::size_t> m_load;
};

}
