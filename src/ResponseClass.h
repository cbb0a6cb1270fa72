#pragma once

/// What a backend server's answer to a plain call means for the call.

namespace jayhold {

enum class ResponseClass {
    /// The caller gets it.
    Final,
    /// The call ran and failed; another backend server may do better.
    Failed,
    /// Turned away for lack of room; the call did not run.
    Busy,
    /// The backend server is leaving; the call did not run.
    Leaving,
    /// Another process has the address; the call did not run.
    Misdirected,
    /// Not the answer of a backend server; the call may have run.
    Unrecognised,
};

}
