#pragma once

/// A run of jayhold-load that a scenario started.

#include "ChildProcess.h"

#include <boost/json/object.hpp>

#include <memory>

namespace jayhold {

struct LoadRun {
    std::unique_ptr<ChildProcess> child;
    TimePoint startedAt;
    Duration duration;
    /// The load report; absent until the run has ended.
    std::optional<boost::json::object> report;
};

}
