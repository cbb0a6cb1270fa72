#pragma once

/// Gossip membership of the entry instances, as a pure state machine. Each instance increments its own
/// heartbeat counter and forwards a bounded sample of the heartbeats that it has recently received. An instance
/// without progress is probed, then suspected, then declared dead. A reply to a probe shows that it is
/// alive.

#include "GossipMessage.h"
#include "RandomSource.h"
#include "Time.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace jayhold {

struct MembershipSettings {
    Member self;
    Duration suspectAfter = std::chrono::seconds(3);
    /// Time without progress after which a suspect is declared dead. It is probed until then.
    Duration deadAfter = std::chrono::seconds(6);
    /// Timeouts are longer by this factor for peers in other zones, because they exchange messages
    /// rarely.
    unsigned remoteTimeoutFactor = 10;
    /// Receivers of the messages of one round.
    std::size_t fanout = 3;
    /// Maximum number of sampled heartbeats in a message and in a reply. Small groups need fewer. With
    /// these limits, six messages and replies per second take less than 4 KB/s including HTTP headers.
    std::size_t messageSample = 14;
    std::size_t replySample = 8;
    /// Up to this many known instances form a single gossip group. Above it each zone is a group, and
    /// the zones exchange messages through two gateways each.
    std::size_t largestSingleGroup = 64;
    std::uint64_t seed = 1;
};

/// State of a known peer.
struct PeerState {
    Member member;
    std::uint64_t heartbeat = 0;
    std::uint32_t tag = 0;
    /// When the incarnation or heartbeat last increased.
    TimePoint progressAt {};
    /// When this instance last sent to the peer.
    TimePoint contactedAt {};
    /// How often the heartbeat was forwarded since its last progress.
    unsigned sends = 0;
    /// How often the full entry was forwarded since it last changed.
    unsigned introductions = 0;
    bool isSuspect = false;
};

/// An address from the settings or the instance list at which an unknown instance may be reachable.
struct Contact {
    /// Empty for a seed address.
    std::string id;
    HttpEndpoint endpoint;
    std::string availabilityZone;
    TimePoint contactedAt {};
};

struct Membership {
    MembershipSettings settings;
    Member self;
    std::uint64_t heartbeat = 0;
    TimePoint lastRound {};
    std::map<std::string, PeerState> peers;
    /// Last incarnations of the peers that were declared dead, by id.
    std::map<std::string, std::int64_t> dead;
    std::vector<Contact> contacts;
    /// Whether a peer forwarded the heartbeat of an instance whose address is not known here. The next
    /// message then requests full entries.
    bool wantsAddresses = true;
    TimePoint addressesRequestedAt {};
    RandomSource random;
};

/// A receiver of a round's messages.
struct GossipTarget {
    HttpEndpoint endpoint;
    /// Whether the receiver is in another gossip group. It gets no sample, because it doesn't know the
    /// instances of this group.
    bool isRemote = false;
};

/// A peer was discovered, or rediscovered after it had been declared dead.
struct MemberFound {
    Member member;
};

/// A peer was declared dead.
struct MemberLost {
    Member member;
};

/// A peer has made no progress for the suspicion timeout.
struct MemberSuspected {
    Member member;
};

/// This instance was declared dead, or was paused long enough to be, and continues with a higher
/// incarnation.
struct IncarnationRaised {
    std::int64_t incarnation;
};

using MembershipAction = std::variant<MemberFound, MemberLost, MemberSuspected, IncarnationRaised>;

auto makeMembership(const MembershipSettings& settings, TimePoint now) -> Membership;

/// Replaces the contacts, which are the platform's entry instances and the seed addresses.
auto setContacts(Membership& membership, std::vector<Contact> contacts) -> void;

/// Starts a round: increments the heartbeat, and suspects or declares dead peers without progress.
auto startRound(Membership& membership, TimePoint now, std::vector<MembershipAction>& actions) -> void;

/// @param isExtraRound whether the round spreads a report at once. It may go to peers that the last round has just
/// reached.
auto chooseTargets(Membership& membership, TimePoint now, bool isExtraRound = false) -> std::vector<GossipTarget>;

/// @return a message with this instance's entry and a sample. The caller adds the list version and
/// rumors.
auto composeMessage(Membership& membership, TimePoint now, bool isRemote = false) -> GossipMessage;

/// @return the reply to a message that has been merged. If the message requests full entries, the reply
/// contains many of them.
auto composeReply(Membership& membership, TimePoint now, const GossipMessage& received) -> GossipMessage;

/// Merges a received message or reply into the state.
auto mergeMessage(Membership& membership, TimePoint now, const GossipMessage& message, std::vector<MembershipAction>& actions) -> void;

/// Sets the state that this instance reports about itself.
auto setSelf(Membership& membership, std::int64_t configurationVersion, bool isDraining) -> void;

/// @return this instance and all peers that are not suspected, sorted by id.
auto liveMembers(const Membership& membership) -> std::vector<Member>;

/// @return whether the zone belongs to this instance's gossip group.
auto isInGroup(const Membership& membership, std::string_view zone) -> bool;

}
