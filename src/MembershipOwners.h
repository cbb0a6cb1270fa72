#pragma once

/// Chooses the instances that own names or perform tasks. All instances with the same membership state
/// get the same result.

#include "Membership.h"

#include <string>
#include <vector>

namespace jayhold {

/// @return the identifiers from which rendezvous hashing chooses owners. In a single gossip group these
/// are all live members that are not draining, otherwise the gateways of all zones, which all instances
/// know from the instance list.
auto ownerCandidates(const Membership& membership) -> std::vector<std::string>;

/// @return whether this instance is one of the first `count` instances of its zone for a task that a few
/// instances perform for the whole zone.
auto isChosenInZone(const Membership& membership, std::string_view task, std::size_t count) -> bool;

/// @return the endpoint of an instance from the peers or the instance list, or an empty endpoint if the
/// id is unknown.
auto endpointOf(const Membership& membership, const std::string& id) -> HttpEndpoint;

/// @return whether the holder, given as `id/incarnation`, may still be running, which includes holders
/// that are unknown.
auto mayBeRunning(const Membership& membership, std::string_view holder) -> bool;

/// @return `id/incarnation` of this instance.
auto holderName(const Membership& membership) -> std::string;

}
