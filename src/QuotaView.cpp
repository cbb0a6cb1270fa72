#include "QuotaView.h"

#include "Rendezvous.h"

#include <algorithm>
#include <set>

namespace jayhold {

namespace {

/// Time after which a silent instance is forgotten.
constexpr Duration memory = std::chrono::seconds(60);

auto isLive(const QuotaView& view, TimePoint now, const QuotaView::Peer& peer) -> bool
{
    return now - peer.heardAt < (peer.zone == view.zone ? view.silentAfter : view.remoteSilentAfter);
}

/// The order of rendezvousOrder(), without copies of the names.
struct Candidate {
    std::uint64_t weight = 0;
    std::string_view instance;
};

auto consider(Candidate& best, std::string_view key, std::string_view instance) -> void
{
    const Candidate candidate { stableHash(key, instance), instance };
    const auto isBetter = candidate.weight != best.weight ? candidate.weight > best.weight : candidate.instance < best.instance;
    if (best.instance.empty() || isBetter)
        best = candidate;
}

auto findOwner(const QuotaView& view, TimePoint now, std::string_view zone, std::string_view customer, bool onlyReachable) -> std::string
{
    const auto key = "quota/" + std::string(customer) + "/";
    Candidate best;
    if (zone == view.zone && !view.isDraining)
        consider(best, key, view.instance);
    for (const auto& [instance, peer] : view.peers) {
        if (peer.zone == zone && !peer.isDraining && !(onlyReachable && peer.isUnreachable) && isLive(view, now, peer))
            consider(best, key, instance);
    }
    return std::string(best.instance);
}

}

auto mayRemember(const QuotaView& view, std::string_view instance, std::size_t count) -> bool
{
    return count < view.known.size() + view.maxUnlisted || view.known.contains(instance);
}

auto recordPresence(QuotaView& view, TimePoint now, const std::string& instance, const std::string& zone, bool isDraining) -> bool
{
    if (instance.empty() || instance == view.instance)
        return false;
    if (!view.peers.contains(instance) && !mayRemember(view, instance, view.peers.size()))
        return false;
    const auto listed = view.known.find(instance);
    const auto& actualZone = !zone.empty() || listed == view.known.end() ? zone : listed->second;
    auto& peer = view.peers[instance];
    const auto hasChanged = peer.zone != actualZone || peer.isDraining != isDraining || !isLive(view, now, peer);
    peer = { actualZone, now, isDraining };
    return hasChanged;
}

auto updateKnown(QuotaView& view, std::span<const PeerAddress> instances) -> void
{
    view.known.clear();
    // The list may have been read before this instance's own record was written.
    view.known[view.instance] = view.zone;
    for (const auto& address : instances) {
        if (!address.instance.empty() && address.instance != view.instance)
            view.known[address.instance] = address.availabilityZone;
    }
}

auto recordUnreachable(QuotaView& view, std::string_view instance) -> void
{
    const auto peer = view.peers.find(instance);
    if (peer != view.peers.end())
        peer->second.isUnreachable = true;
}

auto removeSilent(QuotaView& view, TimePoint now) -> void
{
    std::erase_if(view.peers, [&](const auto& peer) { return now - peer.second.heardAt > memory; });
}

auto ownerIn(const QuotaView& view, TimePoint now, std::string_view zone, std::string_view customer) -> std::string
{
    return findOwner(view, now, zone, customer, false);
}

auto reachableOwnerIn(const QuotaView& view, TimePoint now, std::string_view zone, std::string_view customer) -> std::string
{
    return findOwner(view, now, zone, customer, true);
}

auto zoneCounts(const QuotaView& view, TimePoint now) -> QuotaView::ZoneCounts
{
    QuotaView::ZoneCounts counts;
    std::set<std::string_view> zones { view.zone };
    for (const auto& [instance, zone] : view.known) {
        zones.insert(zone);
        counts.known += zone == view.zone && instance != view.instance ? 1 : 0;
    }
    for (const auto& [instance, peer] : view.peers) {
        if (!isLive(view, now, peer))
            continue;
        zones.insert(peer.zone);
        if (peer.zone != view.zone)
            continue;
        ++counts.live;
        const auto listed = view.known.find(instance);
        counts.known += listed == view.known.end() || listed->second != view.zone ? 1 : 0;
    }
    zones.erase(std::string_view());
    counts.zones = std::max<std::size_t>(1, zones.size());
    return counts;
}

auto isIsolated(const QuotaView::ZoneCounts& counts) -> bool
{
    return counts.known > 1 && counts.live == 1;
}

auto otherZones(const QuotaView& view, TimePoint now) -> std::vector<std::string>
{
    std::set<std::string> zones;
    for (const auto& [instance, peer] : view.peers) {
        if (peer.zone != view.zone && !peer.zone.empty() && isLive(view, now, peer))
            zones.insert(peer.zone);
    }
    return { zones.begin(), zones.end() };
}

auto presenceAge(const QuotaView& view, TimePoint now, std::string_view instance) -> Duration
{
    const auto peer = view.peers.find(instance);
    return peer == view.peers.end() ? Duration::zero() : std::chrono::duration_cast<Duration>(now - peer->second.heardAt);
}

}
