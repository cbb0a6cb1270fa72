#pragma once

/// The transitions of a model request at an entry instance.

namespace jayhold {

enum class RequestTransition {
    PrefillStarted,
    PrefillDone,
    PrefillFailed,
    DecodeStarted,
    /// A token is sent to the caller.
    TokenSent,
    DecodeFailed,
    /// The response is complete.
    Finished,
    Refused,
    Cancelled,
};

}
