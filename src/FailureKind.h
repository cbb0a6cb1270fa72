#pragma once

/// Why an attempt on a backend server failed, as far as it matters for what may follow.

namespace jayhold {

enum class FailureKind {
    /// Rejected for lack of slots or memory; the attempt did not run.
    Busy,
    /// No connection could be opened; the attempt did not run.
    NotConnected,
    /// The prefill result had expired when the decode engine asked for it; the decode did not run.
    KvExpired,
    /// The connection was lost after the request had been sent; the backend server may have crashed.
    ConnectionLost,
    /// No progress within the timeout, as with a stalled transfer or a hung engine.
    TimedOut,
    /// The backend server answered with an error of its own.
    ServerError,
    /// The backend server is leaving and accepts no new work; the attempt did not run.
    Leaving,
    /// The call was not sent, because the backend server has asked for a pause.
    Paused,
    /// The call was not sent, because the backend server has another software version than the one that began the stream.
    OtherVersion,
};

}
