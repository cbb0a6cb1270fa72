#include "MembershipOwners.h"

#include "Rendezvous.h"

#include <algorithm>
#include <charconv>

namespace jayhold {

namespace {

constexpr std::size_t gatewaysPerZone = 2;

auto isSingleGroup(const Membership& membership) -> bool
{
    return std::max(membership.peers.size(), membership.contacts.size()) + 1 <= membership.settings.largestSingleGroup;
}

auto liveIds(const Membership& membership) -> std::vector<std::string>
{
    std::vector<std::string> ids;
    for (const auto& member : liveMembers(membership)) {
        if (!member.isDraining)
            ids.push_back(member.id);
    }
    if (ids.empty())
        ids.push_back(membership.self.id);
    return ids;
}

auto gatewayIds(const Membership& membership) -> std::vector<std::string>
{
    std::map<std::string, std::vector<std::string>> zones;
    zones[membership.self.availabilityZone].push_back(membership.self.id);
    for (const auto& contact : membership.contacts) {
        if (!contact.id.empty() && !membership.dead.contains(contact.id))
            zones[contact.availabilityZone].push_back(contact.id);
    }
    std::vector<std::string> ids;
    for (const auto& [zone, members] : zones) {
        const auto gateways = rendezvousOrder("gateway/" + zone, members, gatewaysPerZone);
        ids.insert(ids.end(), gateways.begin(), gateways.end());
    }
    return ids;
}

}

auto ownerCandidates(const Membership& membership) -> std::vector<std::string>
{
    return isSingleGroup(membership) ? liveIds(membership) : gatewayIds(membership);
}

auto isChosenInZone(const Membership& membership, std::string_view task, std::size_t count) -> bool
{
    const auto& self = membership.self;
    std::vector<std::string> ids;
    for (const auto& member : liveMembers(membership)) {
        if (member.availabilityZone == self.availabilityZone)
            ids.push_back(member.id);
    }
    const auto chosen = rendezvousOrder(std::string(task) + "/" + self.availabilityZone, ids, count);
    return std::ranges::find(chosen, self.id) != chosen.end();
}

auto endpointOf(const Membership& membership, const std::string& id) -> HttpEndpoint
{
    if (id == membership.self.id)
        return membership.self.peerEndpoint;
    if (const auto peer = membership.peers.find(id); peer != membership.peers.end())
        return peer->second.member.peerEndpoint;
    const auto contact = std::ranges::find(membership.contacts, id, &Contact::id);
    return contact == membership.contacts.end() ? HttpEndpoint {} : contact->endpoint;
}

auto mayBeRunning(const Membership& membership, std::string_view holder) -> bool
{
    const auto slash = holder.rfind('/');
    if (slash == std::string_view::npos)
        return true;
    const std::string id(holder.substr(0, slash));
    const auto digits = holder.substr(slash + 1);
    std::int64_t incarnation = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), incarnation);
    if (id == membership.self.id)
        return incarnation >= membership.self.incarnation;
    if (const auto dead = membership.dead.find(id); dead != membership.dead.end())
        return incarnation > dead->second;
    const auto peer = membership.peers.find(id);
    return peer == membership.peers.end() || incarnation >= peer->second.member.incarnation;
}

auto holderName(const Membership& membership) -> std::string
{
    return membership.self.id + "/" + std::to_string(membership.self.incarnation);
}

}
