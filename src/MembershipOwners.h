#pragma once

/// Which instances may own names, computed alike by every instance from what it knows.

#include "Membership.h"

#include <string>
#include <vector>

namespace jayhold {

/// @return the identifiers among which rendezvous hashing chooses owners: in a single gossip group
/// all live members that are not draining, otherwise the gateways of all zones, which everyone
/// knows from the instance list.
auto ownerCandidates(const Membership& membership) -> std::vector<std::string>;

/// @return whether this instance is among the first `count` of its zone for a task that few
/// instances of a zone do for the others.
auto isChosenInZone(const Membership& membership, std::string_view task, std::size_t count) -> bool;

/// @return the endpoint of an instance by id, from the peers or the instance list; without an
/// address where it is not known.
auto endpointOf(const Membership& membership, const std::string& id) -> HttpEndpoint;

/// @return whether the holder, given as `id/incarnation`, may still be running. An instance that is
/// not known may be.
auto mayBeRunning(const Membership& membership, std::string_view holder) -> bool;

/// @return `id/incarnation` of this instance.
auto holderName(const Membership& membership) -> std::string;

}
