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

auto addQuotas(const QuotaExchange::Counts& counts, std::vector<Metrics::Sample>& samples) -> void
{
    if (counts.customers.empty())
        return;
    struct Series {
        std::string_view name;
        std::string_view help;
        std::uint64_t QuotaCounts::*value;
    };
    constexpr Series list[] = {
        { "jayhold_quota_granted_total", "Amounts that this instance has granted, by customer, in the unit of the quota.", &QuotaCounts::granted },
        { "jayhold_quota_refused_total", "Amounts that this instance has refused.", &QuotaCounts::refused },
        { "jayhold_quota_lent_total", "Amounts that this instance has lent to owners in other zones.", &QuotaCounts::lent },
        { "jayhold_quota_borrowed_total", "Amounts that this instance has borrowed from owners in other zones.", &QuotaCounts::borrowed },
        { "jayhold_quota_returned_total", "Amounts that were returned because their requests did not run.", &QuotaCounts::returned },
    };
    for (const auto& series : list) {
        for (const auto& [customer, amounts] : counts.customers)
            samples.push_back({ series.name, series.help, static_cast<double>(amounts.*series.value), true, "customer", customer });
    }
    samples.push_back({ "jayhold_quota_asks_unanswered_total", "Questions to owners of quotas that got no reply.", static_cast<double>(counts.unansweredAsks), true });
    samples.push_back({ "jayhold_quota_isolated", "Whether the instance hears from no other instance of its zone.", counts.isIsolated ? 1.0 : 0.0 });
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
