#include "Metrics.h"

#include <sstream>

namespace jayhold {

namespace {

struct CounterInfo {
    std::string_view name;
    std::string_view help;
    std::atomic<std::uint64_t> ServiceMetrics::*value;
};

struct HistogramInfo {
    std::string_view name;
    std::string_view help;
    LatencyHistogram ServiceMetrics::*value;
};

constexpr CounterInfo counters[] = {
    { "jayhold_requests_total", "Requests that arrived.", &ServiceMetrics::arrived },
    { "jayhold_requests_finished_total", "Requests answered whole.", &ServiceMetrics::finished },
    { "jayhold_requests_refused_not_run_total", "Requests refused that did not run.", &ServiceMetrics::refusedNotRun },
    { "jayhold_requests_refused_unknown_total", "Requests refused that may have run.", &ServiceMetrics::refusedUnknown },
    { "jayhold_requests_cancelled_total", "Requests whose caller closed the connection.", &ServiceMetrics::cancelled },
    { "jayhold_attempts_failed_total", "Attempts on a backend server that failed.", &ServiceMetrics::failedAttempts },
    { "jayhold_backend_calls_total", "Calls that reached a backend server: plain calls, prefills and decodes.", &ServiceMetrics::backendCalls },
    { "jayhold_backend_calls_resent_total", "Calls sent again because a reused connection had closed.", &ServiceMetrics::resentCalls },
    { "jayhold_slot_waits_total", "Waits of plain calls for a slot.", &ServiceMetrics::slotWaits },
    { "jayhold_slot_waits_served_total", "Waits of plain calls that ended with a slot.", &ServiceMetrics::slotWaitsServed },
    { "jayhold_slot_waits_refused_total", "Waits of plain calls that ended because no slot was expected in time.", &ServiceMetrics::slotWaitsRefused },
    { "jayhold_slot_waits_cancelled_total", "Waits of plain calls whose caller closed the connection.", &ServiceMetrics::slotWaitsCancelled },
    { "jayhold_crash_suspects_total", "Requests that were in flight on a backend server that crashed.", &ServiceMetrics::crashSuspects },
    { "jayhold_crash_signatures_blocked_total", "Crash signatures that this instance has identified.", &ServiceMetrics::blockedSignatures },
    { "jayhold_prompt_parts_blocked_total", "Prompt parts that this instance has found to crash backend servers.", &ServiceMetrics::blockedParts },
    { "jayhold_other_version_attempts_total", "Attempts not sent because the engine had another software version than the stream.", &ServiceMetrics::otherVersionAttempts },
    { "jayhold_fallback_returns_total", "Streams that went on at their silent engine because the attempt that had replaced it failed.", &ServiceMetrics::fallbackReturns },
    { "jayhold_fallback_completions_total", "Streams that their silent engine completed after its attempt had been replaced.", &ServiceMetrics::fallbackCompletions },
    { "jayhold_empty_resumptions_total", "Resumed responses that ended without an event.", &ServiceMetrics::emptyResumptions },
    { "jayhold_streams_resumed_total", "Streams resumed on another engine.", &ServiceMetrics::resumed },
    { "jayhold_answers_replayed_total", "Stored answers sent for a repeated call.", &ServiceMetrics::replayed },
    { "jayhold_tokens_relayed_total", "Tokens relayed to callers.", &ServiceMetrics::tokens },
    { "jayhold_engine_memory_reclaimed_total", "Attempts cancelled at engines because nobody waits for them.", &ServiceMetrics::reclaimed },
};

constexpr HistogramInfo histograms[] = {
    { "jayhold_first_token_seconds", "Time from arrival to the first token.", &ServiceMetrics::firstToken },
    { "jayhold_token_gap_seconds", "Time between tokens.", &ServiceMetrics::tokenGap },
    { "jayhold_decision_seconds", "Time that one event takes in the decision code.", &ServiceMetrics::decision },
    { "jayhold_queue_wait_seconds", "Time from arrival to the start of the prefill.", &ServiceMetrics::queueWait },
};

auto printHeader(std::ostream& output, std::string_view name, std::string_view help, std::string_view type) -> void
{
    output << "# HELP " << name << ' ' << help << '\n';
    output << "# TYPE " << name << ' ' << type << '\n';
}

auto escapeLabel(std::string_view text) -> std::string
{
    std::string escaped;
    for (const auto character : text) {
        if (character == '"' || character == '\\')
            escaped += '\\';
        escaped += character == '\n' ? ' ' : character;
    }
    return escaped;
}

auto printByReason(std::ostream& output, std::string_view name, std::string_view help, const std::map<std::string, std::uint64_t, std::less<>>& counts) -> void
{
    printHeader(output, name, help, "counter");
    for (const auto& [reason, count] : counts)
        output << name << "{reason=\"" << escapeLabel(reason) << "\"} " << count << '\n';
}

auto printHistogram(std::ostream& output, std::string_view name, const std::string& service, const LatencySnapshot& snapshot) -> void
{
    std::uint64_t cumulative = 0;
    for (const auto& bucket : snapshot.buckets) {
        cumulative += bucket.count;
        output << name << "_bucket{service=\"" << service << "\",le=\"" << bucket.upperBoundSeconds << "\"} " << cumulative << '\n';
    }
    output << name << "_bucket{service=\"" << service << "\",le=\"+Inf\"} " << snapshot.total << '\n';
    output << name << "_sum{service=\"" << service << "\"} " << snapshot.sumSeconds << '\n';
    output << name << "_count{service=\"" << service << "\"} " << snapshot.total << '\n';
}

}

auto Metrics::service(std::string_view name) -> std::shared_ptr<ServiceMetrics>
{
    const std::lock_guard guard(m_lock);
    auto found = m_services.find(name);
    if (found == m_services.end())
        found = m_services.emplace(name, std::make_shared<ServiceMetrics>()).first;
    return found->second;
}

auto Metrics::countRefusal(std::string_view reason) -> void
{
    const std::lock_guard guard(m_lock);
    ++m_refusals[std::string(reason)];
}

auto Metrics::countClosedConnection(std::string_view reason) -> void
{
    const std::lock_guard guard(m_lock);
    ++m_closedConnections[std::string(reason)];
}

auto Metrics::countDisplaced(std::string_view service, std::string_view kind, std::string_view rank) -> void
{
    auto labels = "service=\"" + escapeLabel(service) + "\",kind=\"" + escapeLabel(kind) + "\",rank=\"" + escapeLabel(rank) + '"';
    const std::lock_guard guard(m_lock);
    if (m_displaced.size() >= maxDisplacedSeries && !m_displaced.contains(labels))
        labels = R"(service="other",kind="other",rank="other")";
    ++m_displaced[labels];
}

auto Metrics::print(std::size_t openRequests, std::span<const Sample> samples) const -> std::string
{
    std::ostringstream output;
    const std::lock_guard guard(m_lock);
    printHeader(output, "jayhold_open_requests", "Requests in progress.", "gauge");
    output << "jayhold_open_requests " << openRequests << '\n';
    std::string_view previousName;
    for (const auto& sample : samples) {
        if (sample.name != previousName)
            printHeader(output, sample.name, sample.help, sample.isCounter ? "counter" : "gauge");
        previousName = sample.name;
        output << sample.name;
        if (!sample.label.empty())
            output << '{' << sample.label << "=\"" << escapeLabel(sample.labelValue) << "\"}";
        output << ' ' << sample.value << '\n';
    }
    printByReason(output, "jayhold_refusals_total", "Requests refused, by reason.", m_refusals);
    printByReason(output, "jayhold_connections_closed_total", "Connections of callers that were closed, by reason.", m_closedConnections);
    printHeader(output, "jayhold_requests_displaced_total", "Waiting requests refused in favour of more costly ones, by kind and rank (priority of the customer, then of the kind).", "counter");
    for (const auto& [labels, count] : m_displaced)
        output << "jayhold_requests_displaced_total{" << labels << "} " << count << '\n';
    for (const auto& counter : counters) {
        printHeader(output, counter.name, counter.help, "counter");
        for (const auto& [service, metrics] : m_services)
            output << counter.name << "{service=\"" << escapeLabel(service) << "\"} " << ((*metrics).*counter.value).load() << '\n';
    }
    for (const auto& info : histograms) {
        printHeader(output, info.name, info.help, "histogram");
        for (const auto& [service, metrics] : m_services)
            printHistogram(output, info.name, escapeLabel(service), ((*metrics).*info.value).snapshot());
    }
    return std::move(output).str();
}

}
