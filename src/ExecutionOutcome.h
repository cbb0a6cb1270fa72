#pragma once

/// Whether a refused request ran. The caller relies on it to decide about a repeat.

namespace jayhold {

enum class ExecutionOutcome {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run, in part or whole.
    Unknown,
};

}
