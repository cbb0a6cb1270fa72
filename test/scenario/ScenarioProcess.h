#pragma once

/// A process of a scenario and its state.

#include "ChildProcess.h"
#include "HttpEndpoint.h"
#include "Statement.h"

#include <memory>

namespace jayhold {

struct ScenarioProcess {
    std::string name;
    ProcessType type = ProcessType::Platform;
    std::unique_ptr<ChildProcess> child;
    /// Address for callers.
    HttpEndpoint endpoint;
    /// Address for fault settings (stand-ins) or operators (entry instances).
    HttpEndpoint adminEndpoint;
    /// Address in the instance list. It is that of the last link that was started to this process,
    /// if any.
    HttpEndpoint advertisedEndpoint;
    std::string zone;
    std::string pool;
    bool isLeaving = false;
    bool isRemoved = false;
    bool isFrozen = false;
    /// Whether the scenario killed, stopped or drained the process.
    bool isExitExpected = false;
    bool hasEnded = false;
};

}
