#pragma once

/// How an operator's change of the configuration ended.

#include "ConfigError.h"
#include "Configuration.h"

#include <memory>
#include <variant>

namespace jayhold {

/// The conditional update took effect.
struct ApplyAccepted {
    std::int64_t version;
};

/// Another operator's change came first; this is it.
struct ApplyConflict {
    std::shared_ptr<const Configuration> currentConfiguration;
};

/// The configuration is faulty; nothing changed.
struct ApplyRejected {
    ConfigError error;
};

/// The platform can't be reached; whether the update took effect is known or not.
struct ApplyUnavailable {
    bool mayHaveTakenEffect;
};

using ApplyOutcome = std::variant<ApplyAccepted, ApplyConflict, ApplyRejected, ApplyUnavailable>;

}
