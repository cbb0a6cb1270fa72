#pragma once

/// Latency and reachability between zones, with the network partition of the faults.

#include "Faults.h"

namespace jayhold::bench {

struct Network {
    const EventQueue& events;
    const Faults& faults;

    static constexpr Duration intraZoneLatency { 100 };
    static constexpr Duration interZoneLatency { 500 };

    auto latency(ZoneId from, ZoneId to) const -> Duration { return from == to ? intraZoneLatency : interZoneLatency; }

    auto reachable(ZoneId from, ZoneId to) const -> bool
    {
        if (from == to || !faults.zonePartition || !faults.zonePartition->interval.contains(events.now()))
            return true;
        return from != faults.zonePartition->zone && to != faults.zonePartition->zone;
    }
};

}
