#pragma once

/// Which instance owns the quota of a customer in each zone, as this instance sees it: the first of the zone's live
/// instances by rendezvous hashing. A pure state machine.

#include "ConnectionLimits.h"
#include "PeerAddress.h"
#include "Time.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

struct QuotaView {
    struct Peer {
        std::string zone;
        TimePoint heardAt {};
        bool isDraining = false;
        /// Whether it has not replied to this instance since its last message.
        bool isUnreachable = false;
        /// Loan requests without a reply since its last message.
        unsigned missedLoans = 0;
    };

    /// Zone of this instance, as the numbers of its instances.
    struct ZoneCounts {
        /// Instances that the store lists or that are live, including this one.
        std::size_t known = 1;
        /// Those of them that are live, including this one.
        std::size_t live = 1;
        /// Number of zones with instances, at least 1.
        std::size_t zones = 1;
    };

    std::string instance;
    std::string zone;
    bool isDraining = false;
    /// Three times the longest interval between the messages of an instance to its zone.
    Duration silentAfter = std::chrono::milliseconds(2'500);
    /// Instances of other zones get every third message.
    Duration remoteSilentAfter = std::chrono::milliseconds(7'500);
    /// Maximum number of instances beyond those of the store's list.
    std::size_t maxUnlisted = ConnectionLimits().unlistedPeers;
    /// By instance; without this one.
    std::map<std::string, Peer, std::less<>> peers;
    /// Zones of the instances in the store's list; empty until it has been read.
    std::map<std::string, std::string, std::less<>> known;
};

/// @param count number of instances that are remembered.
/// @return whether one more may be: one of the store's list, or one beyond it if there are few of those.
auto mayRemember(const QuotaView& view, std::string_view instance, std::size_t count) -> bool;

/// Handles a load message of another instance. One that may not be remembered is ignored.
/// @param zone zone that the message states; empty if it states none, so that the store's list decides.
/// @return whether the instance was not live before, or has changed.
auto recordPresence(QuotaView& view, TimePoint now, const std::string& instance, const std::string& zone, bool isDraining) -> bool;

/// Replaces the instances of the store's list.
auto updateKnown(QuotaView& view, std::span<const PeerAddress> instances) -> void;

/// Records that an instance has not replied, so that it is not asked before its next message.
auto recordUnreachable(QuotaView& view, std::string_view instance) -> void;

/// Forgets instances that have been silent for so long that nothing depends on when they were heard.
auto removeSilent(QuotaView& view, TimePoint now) -> void;

/// @return the owner by liveness alone, which decides who may grant; empty if the zone has none.
auto ownerIn(const QuotaView& view, TimePoint now, std::string_view zone, std::string_view customer) -> std::string;

/// @return the owner among the instances that reply to this one; empty if there is none.
auto reachableOwnerIn(const QuotaView& view, TimePoint now, std::string_view zone, std::string_view customer) -> std::string;

auto zoneCounts(const QuotaView& view, TimePoint now) -> QuotaView::ZoneCounts;

/// @return whether this instance hears from none of the other known instances of its zone.
auto isIsolated(const QuotaView::ZoneCounts& counts) -> bool;

/// @return the other zones that have live instances.
auto otherZones(const QuotaView& view, TimePoint now) -> std::vector<std::string>;

/// @return the time since the last message of an instance; zero for this instance and for unknown ones.
auto presenceAge(const QuotaView& view, TimePoint now, std::string_view instance) -> Duration;

}
