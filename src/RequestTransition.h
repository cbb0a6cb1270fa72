#pragma once

/// What can happen to a model request at an entry instance.

namespace jayhold {

enum class RequestTransition {
    PrefillStarted,
    PrefillDone,
    PrefillFailed,
    DecodeStarted,
    /// A token went to the caller.
    TokenSent,
    DecodeFailed,
    /// The whole answer went to the caller.
    Finished,
    Refused,
    Cancelled,
};

}
