#pragma once

/// A token bucket of whole amounts, as a pure state machine. A request that is larger than the bucket may take from a full
/// one and leaves a debt.

#include "Time.h"

#include <cstdint>

namespace jayhold {

struct QuotaBucket {
    /// Amount that is added in a second.
    double perSecond = 0;
    /// Greatest level.
    double capacity = 0;
    /// Negative while a request that was larger than the capacity is paid for.
    double level = 0;
    TimePoint refilledAt {};
};

/// Adds what has become available up to now.
auto refill(QuotaBucket& bucket, TimePoint now) -> void;

/// Refills the bucket at its old rate, then sets its limits and discards what exceeds the capacity.
auto setLimits(QuotaBucket& bucket, TimePoint now, double perSecond, double capacity) -> void;

/// Discards what the bucket holds. A debt remains.
auto empty(QuotaBucket& bucket, TimePoint now) -> void;

/// Takes the amount if the bucket holds it, or if it is full.
/// @return whether the amount was taken.
auto tryTake(QuotaBucket& bucket, TimePoint now, std::int64_t amount) -> bool;

/// Takes at most the amount and leaves at least another one.
/// @return the amount that was taken; 0 if the bucket holds no more than what it has to keep.
auto takeUpTo(QuotaBucket& bucket, TimePoint now, std::int64_t amount, double kept) -> std::int64_t;

/// Adds an amount, as far as the capacity allows.
auto deposit(QuotaBucket& bucket, TimePoint now, std::int64_t amount) -> void;

/// @return the amount by which the bucket falls short of granting the request; 0 if it would grant it.
auto missingFor(const QuotaBucket& bucket, std::int64_t amount) -> double;

/// @return the time in which the bucket gains the amount; at most the given maximum.
auto timeToGain(const QuotaBucket& bucket, double amount, Duration maximum) -> Duration;

}
