#pragma once

/// An upper bound of the goodput of any scheduler that knows every arrival, size and fault ahead.
///
/// It is a relaxation in these steps, each of which can only raise the result:
/// - All prefill engines become one server of their summed rate, and all decode engines become one
///   of their summed token rate with full batches, which is the most they reach. Work may be split
///   at will, engines never idle for want of placement, and transfers, latency, seats and memory
///   pieces cost nothing. Only the time in which an engine is dead is taken off.
/// - A prompt block that occurs in any other request of the run costs nothing.
/// - A good request must do all its work between its arrival and the time by which its last token
///   is due (first-token target plus its other tokens at the target gap). Both ends are widened to
///   whole slots.
/// - A request that would get its first token too late even if it were alone is left out: its prompt
///   is computed by one engine, its KV cache crosses the link of that engine, and a decode step of a
///   batch of one follows.
/// - A request may be served in part and counts for that part. The choice of parts is then a linear
///   program over a polymatroid (work in a window of slots is at most the capacity of the window),
///   and taking requests in order of least work first, each as far as it fits, solves it exactly.
/// - Prefill and decode are joined by a weighted sum of their work, for several weights; every such
///   sum is a relaxation, and the least result counts.

#include "CallerRequest.h"
#include "Faults.h"
#include "Workload.h"

#include <span>

namespace jayhold::bench {

/// @return the number of requests that can meet both targets at most.
auto clairvoyantBound(const Workload& workload, const Faults& faults, std::span<const CallerRequest> requests, Duration length) -> double;

}
