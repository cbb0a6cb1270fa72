#pragma once

/// An upper bound of the goodput of any scheduler that knows every arrival, size and fault in advance.
///
/// The bound is a relaxation in the following steps, each of which can only raise the result:
/// - All prefill engines are combined into one server with their total rate, and all decode engines
///   into one server with their total token rate at full batches, which is their maximum. Work can be
///   split arbitrarily, no engine idles because of placement, and transfers, latency, slots and memory
///   blocks cost nothing. Only the downtime of engines reduces the capacity.
/// - A prompt block that also occurs in another request of the run costs nothing.
/// - All work of a good request must be done between its arrival and the time by which its last token
///   is due (first-token target plus the remaining tokens at the target gap). Both ends are rounded
///   outwards to whole time intervals.
/// - A request that would miss its first-token target even if it ran alone is excluded. That
///   time consists of the prompt computation on one engine, the KV cache transfer over the link of that
///   engine, and one decode step with a batch of one.
/// - A request may be served partially and counts for the served fraction. The choice of fractions is
///   then a linear program over a polymatroid (the work in a window of intervals is at most the
///   capacity of the window), and a greedy algorithm that serves requests by increasing work solves it
///   exactly.
/// - Prefill and decode are combined into a weighted sum of their work, for several weights. Every such
///   sum is a relaxation, so the minimum over all weights is the bound.

#include "CallerRequest.h"
#include "Faults.h"
#include "Workload.h"

#include <span>

namespace jayhold::bench {

/// @return the maximum number of requests that can meet both targets.
auto clairvoyantBound(const Workload& workload, const Faults& faults, std::span<const CallerRequest> requests, Duration length) -> double;

}
