#include "StoreDirectory.h"
#include "StoreRevision.h"

#include <algorithm>

namespace jayhold {

auto StoreDirectory::recordApplied(KindWatch& kindWatch, std::int64_t revision) -> void
{
    const auto before = std::exchange(kindWatch.appliedRevision, std::max(kindWatch.appliedRevision, revision));
    m_history = std::max(m_history.value_or(0), historyOf(revision));
    if (before > 0 && historyOf(before) < historyOf(revision))
        m_log.record(LogLevel::Warning, "store_restored", { { "kind", kindWatch.kind }, { "old_history", historyOf(before) }, { "old_revision", numberOf(before) }, { "history", historyOf(revision) }, { "revision", numberOf(revision) } });
}

}
