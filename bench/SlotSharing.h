#pragma once

/// What each entry instance is told about the seats of the decode engines, and which instance a
/// request is given to, under one of the schemes of sharing.

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

    /// Takes the engines and the number of instances; all owners and first leases follow from them.
    auto initialize(std::span<const Engine> engines, std::vector<ZoneId> instanceZones) -> void;
    /// @return seats of the engine that the instance may use.
    auto slots(std::size_t instance, std::size_t engine) const -> std::uint32_t;
    /// @return whether the seats of the engine are divided among the instances, so that no instance
    /// has to leave room for the others.
    auto isPartitioned(std::size_t engine) const -> bool { return m_sharing != Sharing::Independent && m_roles[engine] == PoolRole::Decode; }
    /// @return the instance that the request is handed to, which may be the one that received it.
    auto chooseInstance(std::size_t receiver) -> std::size_t;
    /// Takes a new view of what the instances use; it is as old as the interval between two calls.
    /// @return the engines whose leases have moved.
    auto update(const std::vector<std::unique_ptr<EntryInstance>>& instances) -> std::vector<std::size_t>;

private:
    /// @return whether the instance still has memory for what it runs when it gives up a batch of seats.
    auto memoryFits(std::size_t engine, std::size_t instance, const EntryInstance& user) const -> bool;
    auto moveLeases(std::size_t engine, const std::vector<std::unique_ptr<EntryInstance>>& instances) -> bool;

    Sharing m_sharing;
    const EngineParameters& m_parameters;
    std::vector<ZoneId> m_zones;
    std::vector<PoolRole> m_roles;
    std::vector<std::size_t> m_owners;
    /// Seats by engine and instance.
    std::vector<std::vector<std::uint32_t>> m_leases;
    /// Seats owned by each instance, and the requests it had at the last update plus those that have
    /// been handed to it since.
    std::vector<std::uint32_t> m_ownedSlots;
    std::vector<std::size_t> m_load;
};

}
