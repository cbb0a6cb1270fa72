#include "Membership.h"
#include "Rendezvous.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Minimum interval between probes of a peer. It is shorter than a round, so that a silent peer is probed
/// in every round. Probing in every other round declared live peers dead when a tenth of the
/// messages was lost.
constexpr auto minProbeInterval = std::chrono::milliseconds(400);
/// Minimum interval between messages to an address that is not a known peer.
constexpr auto unknownContactInterval = std::chrono::seconds(4);
/// Instances of a zone that exchange messages with other zones.
constexpr std::size_t gatewaysPerZone = 2;

struct TargetChoice {
    std::vector<GossipTarget> targets;

    auto add(const HttpEndpoint& endpoint, bool isRemote = false) -> bool
    {
        if (std::ranges::find(targets, endpoint, &GossipTarget::endpoint) != targets.end())
            return false;
        targets.push_back({ endpoint, isRemote });
        return true;
    }
};

auto isKnownEndpoint(const Membership& membership, const Contact& contact) -> bool
{
    if (!contact.id.empty())
        return membership.peers.contains(contact.id);
    return std::ranges::any_of(membership.peers, [&](const auto& item) { return item.second.member.peerEndpoint == contact.endpoint; });
}

/// Adds at most one contact that is not a known peer: a new instance, or one that was declared dead and
/// may be reachable again.
auto addUnknownContact(Membership& membership, TimePoint now, TargetChoice& choice) -> void
{
    Contact* oldest = nullptr;
    for (auto& contact : membership.contacts) {
        const auto isEligible = contact.id.empty() || isInGroup(membership, contact.availabilityZone);
        const auto isDue = contact.contactedAt == TimePoint() || now - contact.contactedAt >= unknownContactInterval;
        if (!isEligible || !isDue || isKnownEndpoint(membership, contact))
            continue;
        if (!oldest || contact.contactedAt < oldest->contactedAt)
            oldest = &contact;
    }
    if (oldest && choice.add(oldest->endpoint))
        oldest->contactedAt = now;
}

auto isGateway(const Membership& membership) -> bool
{
    std::vector<std::string> zoneMembers { membership.self.id };
    for (const auto& [id, peer] : membership.peers) {
        if (!peer.isSuspect && peer.member.availabilityZone == membership.self.availabilityZone)
            zoneMembers.push_back(id);
    }
    const auto gateways = rendezvousOrder("gateway/" + membership.self.availabilityZone, zoneMembers, gatewaysPerZone);
    return std::ranges::find(gateways, membership.self.id) != gateways.end();
}

/// Adds a gateway of a random other zone according to the instance list. The next instance in rendezvous
/// order replaces a gateway that was declared dead.
auto addRemoteGateway(Membership& membership, TargetChoice& choice) -> void
{
    std::map<std::string, std::vector<std::string>> zones;
    std::map<std::string, HttpEndpoint> endpoints;
    for (const auto& contact : membership.contacts) {
        if (contact.id.empty() || isInGroup(membership, contact.availabilityZone) || membership.dead.contains(contact.id))
            continue;
        zones[contact.availabilityZone].push_back(contact.id);
        endpoints[contact.id] = contact.endpoint;
    }
    if (zones.empty())
        return;
    auto zone = zones.begin();
    std::advance(zone, membership.random.below(zones.size()));
    const auto gateways = rendezvousOrder("gateway/" + zone->first, zone->second, gatewaysPerZone);
    choice.add(endpoints[gateways[membership.random.below(gateways.size())]], true);
}

auto groupPeers(Membership& membership) -> std::vector<PeerState*>
{
    std::vector<PeerState*> peers;
    for (auto& [id, peer] : membership.peers) {
        if (isInGroup(membership, peer.member.availabilityZone))
            peers.push_back(&peer);
    }
    return peers;
}

auto addPeerTarget(PeerState& peer, TimePoint now, TargetChoice& choice) -> void
{
    if (choice.add(peer.member.peerEndpoint))
        peer.contactedAt = now;
}

}

auto chooseTargets(Membership& membership, TimePoint now, bool isExtraRound) -> std::vector<GossipTarget>
{
    TargetChoice choice;
    const auto fanout = membership.settings.fanout;
    addUnknownContact(membership, now, choice);
    const auto knownInstances = std::max(membership.peers.size(), membership.contacts.size()) + 1;
    if (knownInstances > membership.settings.largestSingleGroup && isGateway(membership))
        addRemoteGateway(membership, choice);
    auto peers = groupPeers(membership);
    if (peers.empty())
        return choice.targets;
    // One peer is chosen at random to spread information evenly. The others are those without progress
    // for the longest time, so that no live peer is suspected because it got no messages.
    addPeerTarget(*peers[membership.random.below(peers.size())], now, choice);
    std::ranges::sort(peers, {}, &PeerState::progressAt);
    for (auto* peer : peers) {
        if (choice.targets.size() >= fanout)
            break;
        if (isExtraRound || peer->contactedAt == TimePoint() || now - peer->contactedAt >= minProbeInterval)
            addPeerTarget(*peer, now, choice);
    }
    return choice.targets;
}

}
