#pragma once

/// Membership of the entry instances by gossip, as a pure state machine. Each instance counts its
/// own heartbeat and passes on a bounded sample of what it heard from others. An instance without
/// progress is probed, then suspected, then declared dead; the answer to a probe proves life.

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
    /// Time without progress after which a suspect is declared dead. Probes go on until then.
    Duration deadAfter = std::chrono::seconds(6);
    /// Peers in other zones are met rarely, so that they are given more time.
    unsigned remoteTimeoutFactor = 10;
    /// Peers that each round sends to.
    std::size_t fanout = 3;
    /// Most heartbeats of others in one message and in one reply; small groups need fewer. Six
    /// messages and replies a second with this many stay under 4 KB/s together with HTTP headers.
    std::size_t messageSample = 14;
    std::size_t replySample = 8;
    /// Up to this many known instances all gossip as one group; above it each zone is a group
    /// and the zones meet through two gateways each.
    std::size_t largestSingleGroup = 64;
    std::uint64_t seed = 1;
};

/// What is known of a peer.
struct PeerState {
    Member member;
    std::uint64_t heartbeat = 0;
    std::uint32_t tag = 0;
    /// When incarnation or heartbeat last rose here.
    TimePoint progressAt {};
    /// When this instance last sent to the peer.
    TimePoint contactedAt {};
    /// How often the entry was passed on since its last progress.
    unsigned sends = 0;
    /// How often the full entry was passed on in its present form.
    unsigned introductions = 0;
    bool isSuspect = false;
};

/// An address at which an instance may be found that is not a known peer.
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
    /// Last incarnation of peers that were declared dead, by id.
    std::map<std::string, std::int64_t> dead;
    std::vector<Contact> contacts;
    /// Whether a peer passed on an instance whose address is not known here. The next message asks
    /// for full entries then.
    bool wantsAddresses = true;
    TimePoint addressesRequestedAt {};
    RandomSource random;
};

/// Where a round sends to.
struct GossipTarget {
    HttpEndpoint endpoint;
    /// Whether the receiver is in another gossip group; it gets no sample, because it doesn't know
    /// the instances of this one.
    bool isRemote = false;
};

/// A peer is known now, or known again.
struct MemberFound {
    Member member;
};

/// A peer was declared dead.
struct MemberLost {
    Member member;
};

/// Progress of a peer ended without news.
struct MemberSuspected {
    Member member;
};

/// This instance was held to be dead, or slept long enough to be, and continues as a new
/// incarnation.
struct IncarnationRaised {
    std::int64_t incarnation;
};

using MembershipAction = std::variant<MemberFound, MemberLost, MemberSuspected, IncarnationRaised>;

auto makeMembership(const MembershipSettings& settings, TimePoint now) -> Membership;

/// Replaces the contacts: the platform's entry instances and the seed addresses.
auto setContacts(Membership& membership, std::vector<Contact> contacts) -> void;

/// Starts a round: counts the heartbeat, and judges peers without progress.
auto startRound(Membership& membership, TimePoint now, std::vector<MembershipAction>& actions) -> void;

auto chooseTargets(Membership& membership, TimePoint now) -> std::vector<GossipTarget>;

/// @return a message with this instance's entry and a sample; the caller adds versions and rumors.
auto composeMessage(Membership& membership, TimePoint now, bool isRemote = false) -> GossipMessage;

/// @return the reply to a message that has been merged; to an instance that joins it carries many
/// entries, once.
auto composeReply(Membership& membership, const GossipMessage& received) -> GossipMessage;

/// Takes in a message or a reply.
auto mergeMessage(Membership& membership, TimePoint now, const GossipMessage& message, std::vector<MembershipAction>& actions) -> void;

/// Sets what this instance tells about itself.
auto setSelf(Membership& membership, std::int64_t configurationVersion, bool isDraining) -> void;

/// @return this instance and all peers that are not suspected, in order of id.
auto liveMembers(const Membership& membership) -> std::vector<Member>;

/// @return whether the zone belongs to this instance's gossip group.
auto isInGroup(const Membership& membership, std::string_view zone) -> bool;

}
