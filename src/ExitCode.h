#pragma once

/// The exit codes of all programs, as documented in the operators' guide.

namespace jayhold {

enum class ExitCode {
    Success = 0,
    Failed = 1,
    Usage = 2,
    Conflict = 3,
    Unreachable = 4,
};

}
