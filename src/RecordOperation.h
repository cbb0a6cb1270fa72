#pragma once

/// An operation on a record: the input of its partition's state machine.

#include "StoredResponse.h"
#include "Time.h"

#include <cstdint>
#include <string>
#include <variant>

namespace jayhold {

/// Requests permission to run a call.
struct BeginRecord {
    std::string requestDigest;
    std::string holder;
};

/// Stores the response to a call that has run.
struct FinishRecord {
    StoredResponse response;
};

/// Withdraws an attempt that certainly has not run and never will.
struct AbandonRecord {
};

struct RecordOperation {
    /// Identifies the operation in its reply.
    std::uint64_t operationId = 0;
    std::string key;
    std::string attemptId;
    /// The operation gets a reply by this time, regardless of the platform.
    TimePoint deadline {};
    std::variant<BeginRecord, FinishRecord, AbandonRecord> request;
    /// Whether the table has been read again for this operation. Set by the state machine.
    bool hasReloaded = false;
    /// Whether the operation was part of a write with an unknown result. Set by the state machine.
    bool mayBeCommitted = false;
};

}
