#include "Membership.h"

#include <algorithm>
#include <unordered_map>

namespace jayhold {

namespace {

/// Messages that introduce a peer with its address after it appeared or changed.
constexpr unsigned introductionsPerChange = 8;
/// Heartbeats in a message of a small group.
constexpr std::size_t smallestSample = 3;
/// Full entries among the sample of one message.
constexpr std::size_t introductionsPerMessage = 2;
/// Pause between two requests for addresses. Heartbeats of instances that have died or restarted go
/// around for a while and are no reason to ask each time.
constexpr auto addressPause = std::chrono::seconds(2);
/// Entries in the reply to an instance that joins. Only a start costs this much.
constexpr std::size_t entriesForJoining = 64;

auto isNewer(const MemberEntry& entry, std::int64_t incarnation, std::uint64_t heartbeat) -> bool
{
    return entry.member.incarnation != incarnation ? entry.member.incarnation > incarnation : entry.heartbeat > heartbeat;
}

auto timeAllowed(const Membership& membership, const Member& member, Duration base) -> Duration
{
    return isInGroup(membership, member.availabilityZone) ? base : base * membership.settings.remoteTimeoutFactor;
}

auto renewSelf(Membership& membership, std::int64_t incarnation, std::vector<MembershipAction>& actions) -> void
{
    membership.self.incarnation = incarnation;
    actions.emplace_back(IncarnationRaised { incarnation });
}

auto mergeSelf(Membership& membership, const MemberEntry& entry, std::vector<MembershipAction>& actions) -> void
{
    // An entry from this instance's own past is never newer; one that is comes from an earlier
    // process whose clock was ahead, and would hide this process from its peers.
    if (isNewer(entry, membership.self.incarnation, membership.heartbeat))
        renewSelf(membership, entry.member.incarnation + 1, actions);
}

auto addPeer(Membership& membership, TimePoint now, const MemberEntry& entry, std::vector<MembershipAction>& actions) -> void
{
    const auto found = membership.dead.find(entry.member.id);
    if (found != membership.dead.end() && entry.member.incarnation <= found->second)
        return;
    if (found != membership.dead.end())
        membership.dead.erase(found);
    membership.peers[entry.member.id] = { .member = entry.member, .heartbeat = entry.heartbeat, .tag = tagOf(entry.member), .progressAt = now };
    actions.emplace_back(MemberFound { entry.member });
}

auto noteProgress(PeerState& peer, TimePoint now, std::uint64_t heartbeat) -> void
{
    peer.heartbeat = heartbeat;
    peer.progressAt = now;
    peer.sends = 0;
    peer.isSuspect = false;
}

auto updatePeer(PeerState& peer, TimePoint now, const MemberEntry& entry) -> void
{
    const auto hasRestarted = entry.member.incarnation > peer.member.incarnation;
    if (hasRestarted || entry.member.isDraining != peer.member.isDraining)
        peer.introductions = 0;
    peer.member = entry.member;
    peer.tag = tagOf(entry.member);
    noteProgress(peer, now, entry.heartbeat);
}

auto mergeEntry(Membership& membership, TimePoint now, const MemberEntry& entry, std::vector<MembershipAction>& actions) -> void
{
    if (entry.member.id == membership.self.id) {
        mergeSelf(membership, entry, actions);
        return;
    }
    const auto found = membership.peers.find(entry.member.id);
    if (found == membership.peers.end()) {
        addPeer(membership, now, entry, actions);
        return;
    }
    if (isNewer(entry, found->second.member.incarnation, found->second.heartbeat))
        updatePeer(found->second, now, entry);
}

auto selfEntry(const Membership& membership) -> MemberEntry
{
    return { membership.self, membership.heartbeat };
}

/// Adds full entries, from a random peer on, so that repeated requests see all peers.
auto addAddresses(Membership& membership, const std::string& receiver, GossipMessage& reply) -> void
{
    std::vector<const PeerState*> live;
    for (const auto& [id, peer] : membership.peers) {
        if (id != receiver && !peer.isSuspect && isInGroup(membership, peer.member.availabilityZone))
            live.push_back(&peer);
    }
    if (live.empty())
        return;
    const auto first = membership.random.below(live.size());
    for (std::size_t index = 0; index < std::min(live.size(), entriesForJoining); ++index) {
        const auto* peer = live[(first + index) % live.size()];
        reply.introductions.push_back({ peer->member, peer->heartbeat });
    }
}

/// Known peers that are not suspected, those first that were passed on least, in random order
/// where equal.
auto samplePeers(Membership& membership, std::size_t size) -> std::vector<PeerState*>
{
    struct Ranked {
        unsigned sends;
        std::uint64_t tie;
        PeerState* peer;
    };
    std::vector<Ranked> ranked;
    for (auto& [id, peer] : membership.peers) {
        if (!peer.isSuspect && isInGroup(membership, peer.member.availabilityZone))
            ranked.push_back({ peer.sends, membership.random.next(), &peer });
    }
    const auto count = std::min(size, ranked.size());
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count), [](const auto& left, const auto& right) {
        return left.sends != right.sends ? left.sends < right.sends : left.tie < right.tie;
    });
    std::vector<PeerState*> chosen;
    for (std::size_t index = 0; index < count; ++index)
        chosen.push_back(ranked[index].peer);
    return chosen;
}

auto addSample(Membership& membership, std::size_t size, GossipMessage& message) -> void
{
    for (auto* peer : samplePeers(membership, size)) {
        ++peer->sends;
        message.heartbeats.push_back({ peer->tag, peer->heartbeat % heartbeatModulus });
    }
}

auto addIntroductions(Membership& membership, GossipMessage& message) -> void
{
    for (auto& [id, peer] : membership.peers) {
        if (message.introductions.size() >= introductionsPerMessage)
            return;
        if (peer.isSuspect || peer.introductions >= introductionsPerChange || !isInGroup(membership, peer.member.availabilityZone))
            continue;
        ++peer.introductions;
        message.introductions.push_back({ peer.member, peer.heartbeat });
    }
}

/// Heartbeats go around for seconds only, so that one from the upper half of the range is an old one.
auto mergeHeartbeat(PeerState& peer, TimePoint now, std::uint64_t received) -> void
{
    const auto ahead = (received + heartbeatModulus - peer.heartbeat % heartbeatModulus) % heartbeatModulus;
    if (ahead != 0 && ahead < heartbeatModulus / 2)
        noteProgress(peer, now, peer.heartbeat + ahead);
}

/// A tag that no peer has, or two have, tells nothing; the former is a reason to ask for addresses.
auto mergeHeartbeats(Membership& membership, TimePoint now, const std::vector<HeartbeatEntry>& heartbeats) -> void
{
    std::unordered_map<std::uint32_t, PeerState*> byTag;
    for (auto& [id, peer] : membership.peers) {
        if (const auto [item, isNew] = byTag.emplace(peer.tag, &peer); !isNew)
            item->second = nullptr;
    }
    const auto ownTag = tagOf(membership.self);
    for (const auto& entry : heartbeats) {
        const auto found = byTag.find(entry.tag);
        if (found == byTag.end())
            membership.wantsAddresses = membership.wantsAddresses || entry.tag != ownTag;
        else if (found->second)
            mergeHeartbeat(*found->second, now, entry.heartbeat);
    }
}

}

auto makeMembership(const MembershipSettings& settings, TimePoint now) -> Membership
{
    Membership membership { .settings = settings, .self = settings.self, .lastRound = now };
    membership.random.state = settings.seed;
    return membership;
}

auto setContacts(Membership& membership, std::vector<Contact> contacts) -> void
{
    std::map<HttpEndpoint, TimePoint> earlier;
    for (const auto& contact : membership.contacts)
        earlier[contact.endpoint] = contact.contactedAt;
    std::erase_if(contacts, [&](const Contact& contact) {
        return contact.id == membership.self.id || contact.endpoint == membership.self.peerEndpoint;
    });
    for (auto& contact : contacts) {
        if (const auto found = earlier.find(contact.endpoint); found != earlier.end())
            contact.contactedAt = found->second;
    }
    membership.contacts = std::move(contacts);
}

auto startRound(Membership& membership, TimePoint now, std::vector<MembershipAction>& actions) -> void
{
    const auto slept = now - membership.lastRound;
    membership.lastRound = now;
    ++membership.heartbeat;
    if (slept >= membership.settings.suspectAfter) {
        // Peers may have declared this instance dead, and it can't judge them by the time that it
        // slept itself.
        renewSelf(membership, membership.self.incarnation + 1, actions);
        for (auto& [id, peer] : membership.peers)
            peer.progressAt = std::min(now, peer.progressAt + slept);
        return;
    }
    for (auto item = membership.peers.begin(); item != membership.peers.end();) {
        auto& peer = item->second;
        const auto silent = now - peer.progressAt;
        if (silent >= timeAllowed(membership, peer.member, membership.settings.deadAfter)) {
            membership.dead[item->first] = peer.member.incarnation;
            actions.emplace_back(MemberLost { peer.member });
            item = membership.peers.erase(item);
            continue;
        }
        if (!peer.isSuspect && silent >= timeAllowed(membership, peer.member, membership.settings.suspectAfter)) {
            peer.isSuspect = true;
            actions.emplace_back(MemberSuspected { peer.member });
        }
        ++item;
    }
}

auto composeMessage(Membership& membership, TimePoint now, bool isRemote) -> GossipMessage
{
    GossipMessage message { .sender = selfEntry(membership) };
    if (isRemote)
        return message;
    addSample(membership, std::clamp(membership.peers.size() / 2, smallestSample, membership.settings.messageSample), message);
    addIntroductions(membership, message);
    const auto mayAsk = membership.addressesRequestedAt == TimePoint() || now - membership.addressesRequestedAt >= addressPause;
    if (membership.peers.empty() || (membership.wantsAddresses && mayAsk)) {
        message.requestsFullEntries = true;
        membership.wantsAddresses = false;
        membership.addressesRequestedAt = now;
    }
    return message;
}

auto composeReply(Membership& membership, const GossipMessage& received) -> GossipMessage
{
    GossipMessage reply { .sender = selfEntry(membership) };
    const auto& sender = received.sender.member;
    const auto tombstone = membership.dead.find(sender.id);
    const auto peer = membership.peers.find(sender.id);
    if (tombstone != membership.dead.end())
        reply.deadIncarnation = tombstone->second;
    // Messages on different connections overtake each other, so an older counter alone proves
    // nothing. The sender compares: it never reached a newer entry only if it has restarted.
    else if (peer != membership.peers.end() && isNewer({ peer->second.member, peer->second.heartbeat }, sender.incarnation, received.sender.heartbeat))
        reply.introductions.push_back({ peer->second.member, peer->second.heartbeat });
    if (!isInGroup(membership, sender.availabilityZone))
        return reply;
    addSample(membership, std::clamp(membership.peers.size() / 4, smallestSample, membership.settings.replySample), reply);
    if (received.requestsFullEntries)
        addAddresses(membership, sender.id, reply);
    return reply;
}

auto mergeMessage(Membership& membership, TimePoint now, const GossipMessage& message, std::vector<MembershipAction>& actions) -> void
{
    if (message.deadIncarnation && *message.deadIncarnation >= membership.self.incarnation)
        renewSelf(membership, *message.deadIncarnation + 1, actions);
    mergeEntry(membership, now, message.sender, actions);
    for (const auto& entry : message.introductions)
        mergeEntry(membership, now, entry, actions);
    mergeHeartbeats(membership, now, message.heartbeats);
}

auto setSelf(Membership& membership, std::int64_t configurationVersion, bool isDraining) -> void
{
    membership.self.configurationVersion = configurationVersion;
    membership.self.isDraining = isDraining;
}

auto liveMembers(const Membership& membership) -> std::vector<Member>
{
    std::vector<Member> members { membership.self };
    for (const auto& [id, peer] : membership.peers) {
        if (!peer.isSuspect)
            members.push_back(peer.member);
    }
    std::ranges::sort(members, {}, &Member::id);
    return members;
}

auto isInGroup(const Membership& membership, std::string_view zone) -> bool
{
    const auto known = std::max(membership.peers.size(), membership.contacts.size()) + 1;
    return known <= membership.settings.largestSingleGroup || zone == membership.self.availabilityZone;
}

}
