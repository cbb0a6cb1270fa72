#pragma once

/// Finds orphaned attempts, for which an engine holds memory although no request waits for them: attempts
/// of this instance that it does not know, and attempts of lost instances. An attempt is returned only
/// when two consecutive reports show it, because reports lag behind the end of requests.

#include "EngineLoad.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace jayhold {

class OrphanDetector {
public:
    /// @param isOrphaned whether no request waits for an attempt.
    /// @return the request ids of the attempts to cancel at the engine.
    auto findOrphans(const EngineLoad& load, const std::function<bool(const HeldRequest&)>& isOrphaned) -> std::vector<std::string>;

private:
    std::uint64_t m_lastSequence = 0;
    std::set<std::string, std::less<>> m_candidates;
};

}
