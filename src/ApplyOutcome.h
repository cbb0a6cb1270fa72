#pragma once

/// Results of an operator's configuration update.

#include "ConfigError.h"
#include "Configuration.h"

#include <memory>
#include <variant>

namespace jayhold {

/// The conditional update succeeded.
struct ApplyAccepted {
    std::int64_t version;
};

/// Another operator's update was applied first. currentConfiguration is the result of that update.
struct ApplyConflict {
    std::shared_ptr<const Configuration> currentConfiguration;
};

/// The configuration is invalid and nothing has changed.
struct ApplyRejected {
    ConfigError error;
};

/// The platform can't be reached. The flag says whether the update may nevertheless have taken effect.
struct ApplyUnavailable {
    bool mayHaveTakenEffect;
};

using ApplyOutcome = std::variant<ApplyAccepted, ApplyConflict, ApplyRejected, ApplyUnavailable>;

}
