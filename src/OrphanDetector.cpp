#include "OrphanDetector.h"

namespace jayhold {

auto OrphanDetector::findOrphans(const EngineLoad& load, const std::function<bool(const HeldRequest&)>& isOrphaned) -> std::vector<std::string>
{
    std::vector<std::string> cancels;
    if (load.sequence == m_lastSequence)
        return cancels;
    m_lastSequence = load.sequence;
    std::set<std::string, std::less<>> candidates;
    for (const auto& held : load.held) {
        if (!isOrphaned(held))
            continue;
        if (m_candidates.contains(held.requestId))
            cancels.push_back(held.requestId);
        candidates.insert(held.requestId);
    }
    m_candidates = std::move(candidates);
    return cancels;
}

}
