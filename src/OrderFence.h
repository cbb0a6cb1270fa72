#pragma once

/// Fencing of orders on the sender's side, for an engine that ignores fencing numbers, as a pure state
/// machine. The lease holder waits until no order of an earlier holder can still be in flight, has at
/// most one order in flight, and reads the engine's state back before it sends the next one. Orders
/// are idempotent, so an order whose reply was lost may be sent again.

#include "Time.h"

#include <cstdint>
#include <string>

namespace jayhold {

struct OrderFenceSettings {
    /// Maximum time from sending an order until it takes effect or is certainly lost.
    Duration maxOrderLatency = std::chrono::seconds(5);
    /// Whether the engine rejects stale fencing numbers itself.
    bool checksFencing = false;
};

enum class OrderStep {
    /// Nothing may be sent now.
    Wait,
    /// The order may be sent now.
    Send,
    /// The engine's state must be read now.
    ReadBack,
};

struct OrderFence {
    OrderFenceSettings settings;
    /// Fencing number of the current lease grant, 0 for none.
    std::int64_t fencingNumber = 0;
    /// No order is sent before this time.
    TimePoint sendNotBefore {};
    bool isInFlight = false;
    TimePoint sentAt {};
    bool mustReadBack = false;
};

/// Handles a newly acquired lease. The grant of the earlier holder has expired by then, but its last
/// order may have been sent just before it expired.
auto handleLeaseAcquired(OrderFence& fence, TimePoint now, std::int64_t fencingNumber) -> void;

/// @param leaseDeadline deadline of the lease.
/// @return the step that is allowed now. If the engine ignores fencing numbers, an order is sent only
/// if the lease lasts for the maximum order latency, because the next holder relies on that.
auto nextOrderStep(const OrderFence& fence, TimePoint now, TimePoint leaseDeadline) -> OrderStep;

/// Handles the sending of an order.
auto handleOrderSent(OrderFence& fence, TimePoint now) -> void;

/// Handles the engine's reply to the order.
auto handleOrderReply(OrderFence& fence) -> void;

/// Handles a lost reply. The order may take effect until the maximum order latency has passed.
auto handleOrderLost(OrderFence& fence, TimePoint now) -> void;

/// Handles a completed read of the engine's state, on which the next order is based.
auto handleStateReadBack(OrderFence& fence) -> void;

}
