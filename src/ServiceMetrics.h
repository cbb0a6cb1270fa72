#pragma once

/// Counters and histograms of one service at this instance.

#include "LatencyHistogram.h"

#include <atomic>
#include <cstdint>

namespace jayhold {

struct ServiceMetrics {
    std::atomic<std::uint64_t> arrived { 0 };
    std::atomic<std::uint64_t> finished { 0 };
    std::atomic<std::uint64_t> refusedNotRun { 0 };
    std::atomic<std::uint64_t> refusedUnknown { 0 };
    std::atomic<std::uint64_t> cancelled { 0 };
    std::atomic<std::uint64_t> failedAttempts { 0 };
    /// Calls that reached a backend server: plain calls, prefills and decodes, without resent ones.
    std::atomic<std::uint64_t> backendCalls { 0 };
    /// Calls that were sent a second time because a reused connection had closed.
    std::atomic<std::uint64_t> resentCalls { 0 };
    /// Plain calls that waited for a slot, and how their waits ended.
    std::atomic<std::uint64_t> slotWaits { 0 };
    std::atomic<std::uint64_t> slotWaitsServed { 0 };
    std::atomic<std::uint64_t> slotWaitsRefused { 0 };
    std::atomic<std::uint64_t> slotWaitsCancelled { 0 };
    /// Requests that were in flight on a backend server that crashed.
    std::atomic<std::uint64_t> crashSuspects { 0 };
    /// Crash signatures that this instance has identified.
    std::atomic<std::uint64_t> blockedSignatures { 0 };
    /// Prompt parts that this instance has found to crash backend servers.
    std::atomic<std::uint64_t> blockedParts { 0 };
    /// Attempts that were not sent, because the engine had another software version than the stream.
    std::atomic<std::uint64_t> otherVersionAttempts { 0 };
    /// Requests that went on at their silent engine because the attempt that had replaced it failed.
    std::atomic<std::uint64_t> fallbackReturns { 0 };
    /// Responses that a silent engine completed after its attempt had been replaced.
    std::atomic<std::uint64_t> fallbackCompletions { 0 };
    /// Resumed responses that ended without an event.
    std::atomic<std::uint64_t> emptyResumptions { 0 };
    std::atomic<std::uint64_t> resumed { 0 };
    std::atomic<std::uint64_t> replayed { 0 };
    std::atomic<std::uint64_t> tokens { 0 };
    std::atomic<std::uint64_t> reclaimed { 0 };
    /// Time from arrival until the first token is sent to the caller.
    LatencyHistogram firstToken;
    LatencyHistogram tokenGap;
    /// Time that the decision code takes for one event, without the wait for the lock.
    LatencyHistogram decision;
    /// Time from arrival to the start of the first prefill.
    LatencyHistogram queueWait;
};

}
