#include "RouterSamples.h"

#include <utility>

namespace jayhold {

auto addStoreCalls(const StoreCallCounts& counts, std::vector<Metrics::Sample>& samples) -> void
{
    const std::pair<std::string_view, std::uint64_t> results[] = {
        { "answered", counts.answered },
        { "failed", counts.failed },
        { "given_up", counts.cancelledByCaller },
        { "held_back", counts.suppressedByBackOff },
        { "over_budget", counts.overBudget },
    };
    for (const auto& [result, count] : results)
        samples.push_back({ "jayhold_store_calls_total", "Calls to the store, by result; those held back or over budget were not sent.", static_cast<double>(count), true, "result", std::string(result) });
}

auto addStreamVersions(const StreamVersionCounts& counts, std::vector<Metrics::Sample>& samples) -> void
{
    const std::pair<std::string_view, std::uint64_t> sources[] = {
        { "memory", counts.memory },
        { "record", counts.record },
        { "default", counts.defaultVersion },
        { "only_version", counts.onlyVersion },
        { "unknown", counts.unknown - counts.storeAway },
        { "store_away", counts.storeAway },
    };
    for (const auto& [source, count] : sources)
        samples.push_back({ "jayhold_stream_versions_found_total", "Streams that callers took up, by where their software version was found; unknown and store_away were refused.", static_cast<double>(count), true, "found", std::string(source) });
    const std::pair<std::string_view, std::uint64_t> writes[] = { { "records", counts.recordWrites }, { "state", counts.stateWrites } };
    for (const auto& [object, count] : writes)
        samples.push_back({ "jayhold_stream_version_writes_total", "Writes of the software versions of streams to the store.", static_cast<double>(count), true, "object", std::string(object) });
    samples.push_back({ "jayhold_stream_records_late_total", "Streams whose first event waited for their record for 300 ms, or was sent without it.", static_cast<double>(counts.lateRecords), true });
}

}
