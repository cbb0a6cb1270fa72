#include "Membership.h"

#include <algorithm>
#include <unordered_map>

namespace jayhold {

namespace {

/// Messages that contain the full entry of a peer after it appeared or changed.
constexpr unsigned introductionsPerChange = 8;
/// Heartbeats in a message of a small group.
constexpr std::size_t minSampleSize = 3;
/// Full entries that accompany the sample in one message.
constexpr std::size_t introductionsPerMessage = 2;
/// Minimum interval between requests for full entries. Heartbeats of instances that have died or
/// restarted circulate for a while, and must not cause a request each time.
constexpr auto addressRequestInterval = std::chrono::seconds(2);
/// A heartbeat is forwarded only for this fraction of the suspicion timeout after it was received, and a newer one
/// normally arrives within that time. The last heartbeat of a stopped instance counts as progress at every instance
/// that it reaches, however late.
constexpr int forwardingDivisor = 3;
/// Maximum number of full entries in a reply to a request for them, which is mainly sent by an instance
/// that starts.
constexpr std::size_t maxRequestedEntries = 64;

auto isNewer(const MemberEntry& entry, std::int64_t incarnation, std::uint64_t heartbeat) -> bool
{
    return entry.member.incarnation != incarnation ? entry.member.incarnation > incarnation : entry.heartbeat > heartbeat;
}

auto timeoutFor(const Membership& membership, const Member& member, Duration base) -> Duration
{
    return isInGroup(membership, member.availabilityZone) ? base : base * membership.settings.remoteTimeoutFactor;
}

auto raiseIncarnation(Membership& membership, std::int64_t incarnation, std::vector<MembershipAction>& actions) -> void
{
    membership.self.incarnation = incarnation;
    actions.emplace_back(IncarnationRaised { incarnation });
}

auto mergeSelf(Membership& membership, const MemberEntry& entry, std::vector<MembershipAction>& actions) -> void
{
    // An entry that this process sent is never newer than its present state. A newer entry comes from an
    // earlier process whose clock was ahead, and would make the peers ignore this process.
    if (isNewer(entry, membership.self.incarnation, membership.heartbeat))
        raiseIncarnation(membership, entry.member.incarnation + 1, actions);
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

auto recordProgress(PeerState& peer, TimePoint now, std::uint64_t heartbeat) -> void
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
    recordProgress(peer, now, entry.heartbeat);
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

/// Adds full entries, starting at a random peer, so that repeated requests get all peers.
auto addRequestedEntries(Membership& membership, const std::string& receiver, GossipMessage& reply) -> void
{
    std::vector<const PeerState*> live;
    for (const auto& [id, peer] : membership.peers) {
        if (id != receiver && !peer.isSuspect && isInGroup(membership, peer.member.availabilityZone))
            live.push_back(&peer);
    }
    if (live.empty())
        return;
    const auto first = membership.random.below(live.size());
    for (std::size_t index = 0; index < std::min(live.size(), maxRequestedEntries); ++index) {
        const auto* peer = live[(first + index) % live.size()];
        reply.introductions.push_back({ peer->member, peer->heartbeat });
    }
}

auto hasRecentProgress(const Membership& membership, const PeerState& peer, TimePoint now) -> bool
{
    return !peer.isSuspect && now - peer.progressAt < membership.settings.suspectAfter / forwardingDivisor;
}

/// @return known peers whose heartbeats may be forwarded. Peers that were forwarded least come first, and ties are
/// in random order.
auto samplePeers(Membership& membership, TimePoint now, std::size_t size) -> std::vector<PeerState*>
{
    struct Ranked {
        unsigned sends;
        std::uint64_t tieBreaker;
        PeerState* peer;
    };
    std::vector<Ranked> ranked;
    for (auto& [id, peer] : membership.peers) {
        if (hasRecentProgress(membership, peer, now) && isInGroup(membership, peer.member.availabilityZone))
            ranked.push_back({ peer.sends, membership.random.next(), &peer });
    }
    const auto count = std::min(size, ranked.size());
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count), [](const auto& left, const auto& right) {
        return left.sends != right.sends ? left.sends < right.sends : left.tieBreaker < right.tieBreaker;
    });
    std::vector<PeerState*> chosen;
    for (std::size_t index = 0; index < count; ++index)
        chosen.push_back(ranked[index].peer);
    return chosen;
}

auto addSample(Membership& membership, TimePoint now, std::size_t size, GossipMessage& message) -> void
{
    for (auto* peer : samplePeers(membership, now, size)) {
        ++peer->sends;
        message.heartbeats.push_back({ peer->tag, peer->heartbeat % heartbeatModulus });
    }
}

auto addIntroductions(Membership& membership, TimePoint now, GossipMessage& message) -> void
{
    for (auto& [id, peer] : membership.peers) {
        if (message.introductions.size() >= introductionsPerMessage)
            return;
        if (!hasRecentProgress(membership, peer, now) || peer.introductions >= introductionsPerChange || !isInGroup(membership, peer.member.availabilityZone))
            continue;
        ++peer.introductions;
        message.introductions.push_back({ peer.member, peer.heartbeat });
    }
}

/// Heartbeats circulate for a few seconds only, so one that is ahead by half of the range or more is old.
auto mergeHeartbeat(PeerState& peer, TimePoint now, std::uint64_t received) -> void
{
    const auto ahead = (received + heartbeatModulus - peer.heartbeat % heartbeatModulus) % heartbeatModulus;
    if (ahead != 0 && ahead < heartbeatModulus / 2)
        recordProgress(peer, now, peer.heartbeat + ahead);
}

/// Ignores tags that no peer has or that are ambiguous. An unknown tag triggers a request for addresses.
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
    const auto elapsed = now - membership.lastRound;
    membership.lastRound = now;
    ++membership.heartbeat;
    if (elapsed >= membership.settings.suspectAfter) {
        // This instance was paused. Peers may have declared it dead, and the pause must not count
        // against them.
        raiseIncarnation(membership, membership.self.incarnation + 1, actions);
        for (auto& [id, peer] : membership.peers)
            peer.progressAt = std::min(now, peer.progressAt + elapsed);
        return;
    }
    for (auto item = membership.peers.begin(); item != membership.peers.end();) {
        auto& peer = item->second;
        const auto silence = now - peer.progressAt;
        if (silence >= timeoutFor(membership, peer.member, membership.settings.deadAfter)) {
            membership.dead[item->first] = peer.member.incarnation;
            actions.emplace_back(MemberLost { peer.member });
            item = membership.peers.erase(item);
            continue;
        }
        if (!peer.isSuspect && silence >= timeoutFor(membership, peer.member, membership.settings.suspectAfter)) {
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
    addSample(membership, now, std::clamp(membership.peers.size() / 2, minSampleSize, membership.settings.messageSample), message);
    addIntroductions(membership, now, message);
    const auto mayRequest = membership.addressesRequestedAt == TimePoint() || now - membership.addressesRequestedAt >= addressRequestInterval;
    if (membership.peers.empty() || (membership.wantsAddresses && mayRequest)) {
        message.requestsFullEntries = true;
        membership.wantsAddresses = false;
        membership.addressesRequestedAt = now;
    }
    return message;
}

auto composeReply(Membership& membership, TimePoint now, const GossipMessage& received) -> GossipMessage
{
    GossipMessage reply { .sender = selfEntry(membership) };
    const auto& sender = received.sender.member;
    const auto tombstone = membership.dead.find(sender.id);
    const auto peer = membership.peers.find(sender.id);
    if (tombstone != membership.dead.end())
        reply.deadIncarnation = tombstone->second;
    // Messages on different connections can overtake each other, so an older counter does not prove a
    // restart. The sender compares the returned entry with its own: only a restarted one is behind it.
    else if (peer != membership.peers.end() && isNewer({ peer->second.member, peer->second.heartbeat }, sender.incarnation, received.sender.heartbeat))
        reply.introductions.push_back({ peer->second.member, peer->second.heartbeat });
    if (!isInGroup(membership, sender.availabilityZone))
        return reply;
    addSample(membership, now, std::clamp(membership.peers.size() / 4, minSampleSize, membership.settings.replySample), reply);
    if (received.requestsFullEntries)
        addRequestedEntries(membership, sender.id, reply);
    return reply;
}

auto mergeMessage(Membership& membership, TimePoint now, const GossipMessage& message, std::vector<MembershipAction>& actions) -> void
{
    if (message.deadIncarnation && *message.deadIncarnation >= membership.self.incarnation)
        raiseIncarnation(membership, *message.deadIncarnation + 1, actions);
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
