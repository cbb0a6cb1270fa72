#pragma once

/// One line of a scenario.

#include "Condition.h"

#include <map>
#include <string>
#include <vector>

namespace jayhold {

enum class ProcessType {
    Platform,
    Engine,
    Service,
    Link,
    Entry,
};

enum class StatementType {
    Start,
    Apply,
    Load,
    Kill,
    Stop,
    Freeze,
    Thaw,
    /// Sets faults of a stand-in.
    Fault,
    /// Marks a backend server as leaving in the instance list.
    Leave,
    /// Takes a process off the instance list.
    Remove,
    Drain,
    Wait,
    WaitUntil,
    WaitForLoad,
    Expect,
};

struct Statement {
    std::size_t line = 0;
    StatementType type = StatementType::Wait;
    /// The process that the statement is about; empty for several or none.
    std::string name;
    ProcessType process = ProcessType::Platform;
    /// Start: zone, pool, platform, to and the stand-in's own options. Fault: JSON values by key.
    std::map<std::string, std::string> options;
    /// Apply: the configuration. Load: the mix, or empty for that of the last configuration.
    std::string file;
    /// Apply: the HTTP status that is expected.
    unsigned status = 200;
    /// Load: calls per second.
    double rate = 0;
    /// Load: whether refused and lost calls are sent again.
    bool isRetrying = false;
    /// Load: the entries to use; empty for all.
    std::vector<std::string> entries;
    /// Load and Wait: how long.
    Duration duration { 0 };
    /// When to run the statement, counted from the start of the last load; absent for at once.
    std::optional<Duration> at;
    Condition condition;
};

}
