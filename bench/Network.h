#pragma once

/// Latency between zones, and which zone is cut off from the others.

#include "Faults.h"

namespace jayhold::bench {

struct Network {
    const EventQueue& events;
    const Faults& faults;

    static constexpr Duration withinZone { 100 };
    static constexpr Duration betweenZones { 500 };

    auto latency(ZoneId from, ZoneId to) const -> Duration { return from == to ? withinZone : betweenZones; }

    auto reachable(ZoneId from, ZoneId to) const -> bool
    {
        if (from == to || !faults.zoneCut || !faults.zoneCut->interval.contains(events.now()))
            return true;
        return from != faults.zoneCut->zone && to != faults.zoneCut->zone;
    }
};

}
