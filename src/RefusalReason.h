#pragma once

/// Why a request is refused. Sent to the caller and counted in the metrics.

namespace jayhold {

enum class RefusalReason {
    /// It cannot meet its deadline, given the work before it.
    Overloaded,
    /// The customer's queue is full.
    QueueFull,
    /// No live backend server can run it.
    NoBackend,
    /// It needs more memory than any backend server has.
    TooLarge,
    /// Its deadline passed.
    DeadlineExceeded,
    /// Its attempts failed, and the retry budget or the number of attempts is exhausted.
    RetriesExhausted,
    /// It crashed backend servers that ran it, or its crash signature is blocked.
    CrashSuspect,
    /// No live backend server has the software version that began the stream, and none is expected back.
    VersionGone,
    /// The instance is shutting down and accepts no new work.
    Draining,
};

}
