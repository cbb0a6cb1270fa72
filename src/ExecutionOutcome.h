#pragma once

/// Whether a refused request was executed. Callers use it to decide whether to repeat the request.

namespace jayhold {

enum class ExecutionOutcome {
    /// The request was certainly not executed.
    NotRun,
    /// The request may have been executed, partly or completely.
    Unknown,
};

}
