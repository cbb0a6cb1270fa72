#pragma once

/// What the at-most-once record of an idempotency key says about a call.

#include "StoredAnswer.h"
#include "Time.h"

#include <variant>

namespace jayhold {

/// The record is committed and this attempt alone may run the call.
struct RecordStarted {
};

/// The call has run; its answer is here.
struct RecordDone {
    StoredAnswer answer;
};

/// Another attempt is running the call now.
struct RecordInProgress {
    Duration retryAfter;
};

/// An attempt began and its end is not known; the call must not run again.
struct RecordUnknown {
};

/// The key was used with another request.
struct RecordMismatch {
};

/// The record can't be committed now; the call has not run and this attempt never will.
struct RecordUnavailable {
    Duration retryAfter;
};

using RecordDecision = std::variant<RecordStarted, RecordDone, RecordInProgress, RecordUnknown, RecordMismatch, RecordUnavailable>;

}
