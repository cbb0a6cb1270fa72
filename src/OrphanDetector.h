#pragma once

/// Finds the attempts that an engine holds memory for although nobody waits for them: attempts of
/// this instance that it does not know, and attempts of instances that are lost. An attempt is
/// named only when two reports in a row show it, because reports lag behind the end of requests.

#include "EngineLoad.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace jayhold {

class OrphanDetector {
public:
    /// @param isAbandoned whether nobody waits for an attempt.
    /// @return attempts to cancel at the engine.
    auto findOrphans(const EngineLoad& load, const std::function<bool(const HeldRequest&)>& isAbandoned) -> std::vector<std::string>;

private:
    std::uint64_t m_lastSequence = 0;
    std::set<std::string, std::less<>> m_candidates;
};

}
