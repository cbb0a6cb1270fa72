#pragma once

/// Decision about a call according to the at-most-once record of its idempotency key.

#include "StoredResponse.h"
#include "Time.h"

#include <variant>

namespace jayhold {

/// The record is committed, and only this attempt may run the call.
struct RecordStarted {
};

/// The call has run and its response is stored.
struct RecordDone {
    StoredResponse response;
};

/// Another attempt is currently running the call.
struct RecordInProgress {
    Duration retryAfter;
};

/// An attempt started and its result is not known. The call must not run again.
struct RecordUnknown {
};

/// The key has already been used for a different request.
struct RecordMismatch {
};

/// The record can't be committed now. The call has not run, and this attempt will never run it.
struct RecordUnavailable {
    Duration retryAfter;
};

using RecordDecision = std::variant<RecordStarted, RecordDone, RecordInProgress, RecordUnknown, RecordMismatch, RecordUnavailable>;

}
