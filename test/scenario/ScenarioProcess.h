#pragma once

/// A process of a scenario.

#include "ChildProcess.h"
#include "HttpEndpoint.h"
#include "Statement.h"

#include <memory>

namespace jayhold {

struct ScenarioProcess {
    std::string name;
    ProcessType type = ProcessType::Platform;
    std::unique_ptr<ChildProcess> child;
    /// Where the process serves its callers.
    HttpEndpoint endpoint;
    /// Where faults are set (stand-ins) or operators connect (entry instances).
    HttpEndpoint adminEndpoint;
    /// Where others are told to reach it: a link's address where one leads to it.
    HttpEndpoint advertisedEndpoint;
    std::string zone;
    std::string pool;
    bool isLeaving = false;
    bool isRemoved = false;
    bool isFrozen = false;
    /// Whether the scenario asked for its end.
    bool isExitExpected = false;
    bool hasEnded = false;
};

}
