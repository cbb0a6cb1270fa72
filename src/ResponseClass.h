#pragma once

/// The classes of a backend server's response to a plain call.

namespace jayhold {

enum class ResponseClass {
    /// The response is forwarded to the caller.
    Final,
    /// The call was executed and failed; it may succeed on another backend server.
    Failed,
    /// Rejected because the backend server is at capacity; the call was not executed.
    Busy,
    /// The backend server is leaving; the call was not executed.
    Leaving,
    /// The address now belongs to another process; the call was not executed.
    Misdirected,
    /// The response does not come from a backend server; the call may have been executed.
    Unrecognised,
};

}
