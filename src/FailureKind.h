#pragma once

/// Why an attempt on a backend server failed, as far as it decides what may follow.

namespace jayhold {

enum class FailureKind {
    /// Refused for lack of seats or memory; it did not run.
    Busy,
    /// No connection could be opened; it did not run.
    NotConnected,
    /// The prefill result had expired when the decode engine asked for it; the decode did not run.
    KvExpired,
    /// The connection was lost after the request had been sent; the backend server may have died.
    ConnectionLost,
    /// No progress within the time allowed: a stalled transfer or a frozen engine.
    TimedOut,
    /// The backend server answered with an error of its own.
    ServerError,
    /// The backend server is leaving and takes no new work; it did not run.
    Leaving,
};

}
