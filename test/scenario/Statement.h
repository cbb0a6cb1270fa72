#pragma once

/// A statement of a scenario file.

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
    /// Configures faults of a stand-in.
    Fault,
    /// Marks a process as leaving in the instance list.
    Leave,
    /// Removes a process from the instance list.
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
    /// The process that the statement applies to; empty for several or none.
    std::string name;
    ProcessType process = ProcessType::Platform;
    /// Start: zone, pool, platform, to and the options of the stand-in. Fault: JSON values by key.
    std::map<std::string, std::string> options;
    /// Apply: the configuration. Load: the load mix; empty for that of the last applied
    /// configuration.
    std::string file;
    /// Apply: the expected HTTP status.
    unsigned status = 200;
    /// Load: calls per second.
    double rate = 0;
    /// Load: whether rejected and lost calls are retried.
    bool isRetrying = false;
    /// Load: the entry instances to use; empty for all.
    std::vector<std::string> entries;
    /// Load: the duration of the load. Wait: the delay.
    Duration duration { 0 };
    /// Start time of the statement, relative to the start of the last load; absent if it runs
    /// immediately.
    std::optional<Duration> at;
    Condition condition;
};

}
