#pragma once

/// The rules for orders to an engine that ignores fencing numbers, as a pure state machine: the
/// holder of the lease waits until no order of an earlier holder can still be on its way, has one
/// order in flight, and reads back what an order did before it sends the next. Orders are
/// idempotent, so that one whose reply was lost may be sent again.

#include "Time.h"

#include <cstdint>
#include <string>

namespace jayhold {

struct OrderFenceSettings {
    /// Longest time from sending an order until it takes effect or is certainly lost.
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
    /// The grant that the gate was opened for, 0 for none.
    std::int64_t fencingNumber = 0;
    /// No order is sent before.
    TimePoint sendNotBefore {};
    bool isInFlight = false;
    TimePoint sentAt {};
    bool mustReadBack = false;
};

/// A lease was acquired. The grant of the earlier holder has ended by then, but its last order may
/// have been sent at the end.
auto handleLeaseAcquired(OrderFence& gate, TimePoint now, std::int64_t fencingNumber) -> void;

/// @param leaseDeadline deadline of the lease.
/// @return what may be done now. An order is sent only if the lease lasts for its whole flight,
/// because the next holder relies on it where the engine ignores fencing numbers.
auto nextOrderStep(const OrderFence& gate, TimePoint now, TimePoint leaseDeadline) -> OrderStep;

/// An order was sent.
auto handleOrderSent(OrderFence& gate, TimePoint now) -> void;

/// The engine answered the order.
auto handleOrderAnswered(OrderFence& gate) -> void;

/// The order's reply was lost; it may take effect until the longest flight is over.
auto handleOrderLost(OrderFence& gate, TimePoint now) -> void;

/// The engine's state was read; it decides which order comes next.
auto handleStateReadBack(OrderFence& gate) -> void;

}
