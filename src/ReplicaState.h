#pragma once

/// Whether a backend server may get new work.

namespace jayhold {

enum class ReplicaState {
    Live,
    /// Finishes what it runs and gets no new work.
    Leaving,
    /// No longer present. What it ran has failed.
    Gone,
};

}
