#pragma once

/// Why a request is refused; shown to the caller and counted in the metrics.

namespace jayhold {

enum class RefusalReason {
    /// It can't meet its deadline, given the work before it.
    Overloaded,
    /// The customer's queue is full.
    QueueFull,
    /// No live backend server can run it.
    NoBackend,
    /// It needs more memory than any backend server has.
    TooLarge,
    /// Its deadline passed.
    DeadlineExceeded,
    /// Its attempts failed and the retry budget or its number of attempts is used up.
    RetriesExhausted,
    /// It crashed backend servers that ran it, or its signature is known to.
    CrashSuspect,
    /// The instance is shutting down and takes no new work.
    Draining,
};

}
