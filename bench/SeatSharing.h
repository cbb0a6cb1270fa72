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

class SeatSharing {
public:
    SeatSharing(Sharing sharing, const EngineShape& shape)
        : m_sharing(sharing)
        , m_shape(shape)
    {
    }

    /// Takes the engines and the number of instances; all owners and first leases follow from them.
    auto begin(std::span<const Engine> engines, std::vector<ZoneId> instanceZones) -> void;
    /// @return seats of the engine that the instance may use.
    auto seats(std::size_t instance, std::size_t engine) const -> std::uint32_t;
    /// @return entry instances among which a seat may be contended.
    auto contenders() const -> std::uint32_t;
    /// @return the instance that the request is handed to, which may be the one that received it.
    auto place(std::size_t receiver) -> std::size_t;
    /// Takes a new view of what the instances use; it is as old as the interval between two calls.
    /// @return whether leases have moved.
    auto update(const std::vector<std::unique_ptr<EntryInstance>>& instances) -> bool;

private:
    auto moveLeases(std::size_t engine, const std::vector<std::unique_ptr<EntryInstance>>& instances) -> bool;

    Sharing m_sharing;
    const EngineShape& m_shape;
    std::vector<ZoneId> m_zones;
    std::vector<PoolRole> m_roles;
    std::vector<std::size_t> m_owners;
    /// Seats by engine and instance.
    std::vector<std::vector<std::uint32_t>> m_leases;
    /// Seats owned by each instance, and the requests it had at the last update plus those that have
    /// been handed to it since.
    std::vector<std::uint32_t> m_ownedSeats;
    std::vector<std::size_t> m_load;
};

}
