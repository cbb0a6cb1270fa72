#pragma once

/// What the loss of several replicas of a zone at the same time shows if it was a crash. It may as well have been
/// a failure of the network.

#include "Identifiers.h"
#include "PromptPartCrashes.h"
#include "Time.h"

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace jayhold {

struct UndecidedCrash {
    ReplicaId replica;
    std::uint64_t process;
    TimePoint time;
    /// When the replica first answered after that. Another process may answer before its entry arrives.
    std::optional<TimePoint> answeredAt {};
    /// The prompts of requests without an answer.
    std::optional<PromptPartCrashes::Crash> prompts {};
    /// The crash signatures of the requests in flight, with the times of their failures.
    std::vector<std::pair<std::uint64_t, TimePoint>> signatures {};
};

}
