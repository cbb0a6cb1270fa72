#pragma once

/// Rendezvous hashing: the owner of a replica is the instance with the highest hash of the pair, so that
/// the loss of an instance reassigns only the replicas that it owned.

#include <cstddef>
#include <cstdint>

namespace jayhold::bench {

inline auto rendezvousHash(std::uint64_t replica, std::uint64_t instance) -> std::uint64_t
{
    auto value = (replica + 1) * 0x9e3779b97f4a7c15U ^ (instance + 1) * 0xc2b2ae3d27d4eb4fU;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

inline auto rendezvousOwner(std::uint64_t replica, std::size_t instances) -> std::size_t
{
    std::size_t owner = 0;
    for (std::size_t instance = 1; instance < instances; ++instance) {
        if (rendezvousHash(replica, instance) > rendezvousHash(replica, owner))
            owner = instance;
    }
    return owner;
}

}
