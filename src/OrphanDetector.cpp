#include "OrphanDetector.h"

namespace jayhold {

auto OrphanDetector::findOrphans(const EngineLoad& load, const std::function<bool(const HeldRequest&)>& isAbandoned) -> std::vector<std::string>
{
    std::vector<std::string> cancels;
    if (load.sequence == m_lastSequence)
        return cancels;
    m_lastSequence = load.sequence;
    std::set<std::string, std::less<>> suspects;
    for (const auto& held : load.held) {
        if (!isAbandoned(held))
            continue;
        if (m_suspects.contains(held.requestId))
            cancels.push_back(held.requestId);
        suspects.insert(held.requestId);
    }
    m_suspects = std::move(suspects);
    return cancels;
}

}
