#pragma once

/// One operation on a record, as its partition's state machine takes it.

#include "StoredAnswer.h"
#include "Time.h"

#include <cstdint>
#include <string>
#include <variant>

namespace jayhold {

/// Asks for the right to run a call.
struct BeginRecord {
    std::string requestDigest;
    std::string holder;
};

/// Stores the answer of a call that ran.
struct FinishRecord {
    StoredAnswer answer;
};

/// Withdraws an attempt that certainly did not run and never will.
struct AbandonRecord {
};

struct RecordOperation {
    /// Given back with the reply.
    std::uint64_t operationId = 0;
    std::string key;
    std::string attemptId;
    /// The operation is answered by then, whatever the platform does.
    TimePoint deadline {};
    std::variant<BeginRecord, FinishRecord, AbandonRecord> request;
    /// Whether the table was read again for this operation; set by the state machine.
    bool hasReloaded = false;
    /// Whether the operation has been in a write whose effect isn't known; set by the state
    /// machine.
    bool mayBeCommitted = false;
};

}
