#include "TableReport.h"

#include <array>
#include <cstdio>
#include <ostream>
#include <string>

namespace jayhold::bench {

namespace {

template <typename... Values>
auto format(const char* pattern, Values... values) -> std::string
{
    std::array<char, 256> text {};
    const auto length = std::snprintf(text.data(), text.size(), pattern, values...); // NOLINT(cppcoreguidelines-pro-type-vararg)
    return { text.data(), std::min(static_cast<std::size_t>(std::max(length, 0)), text.size() - 1) };
}

auto printHeader(std::ostream& out, const Row& row) -> void
{
    out << '\n'
        << format("%s, load %.2f of %.1f requests/s, %s, sharing %s, seed %llu\n", row.workload.c_str(), row.load, row.result.capacity,
               ("faults " + row.faults).c_str(), std::string(name(row.sharing)).c_str(), static_cast<unsigned long long>(row.seed));
    out << "arm                 good/s  share  of-bound  wasted%  refused  retried   held  twice | kind: first token p50/p95/p99 ms, token gap p50/p95/p99 ms, good share\n";
    out << format("%-18s %7.2f %6.3f %9s\n", "clairvoyant bound", boundRate(row), row.result.bound / static_cast<double>(offered(row.result.metrics)), "1.000");
}

auto kindText(const std::string& name, KindMetrics& kind) -> std::string
{
    const auto share = kind.offered ? static_cast<double>(kind.good) / static_cast<double>(kind.offered) : 0;
    return format(" %s: %.0f/%.0f/%.0f, %.0f/%.0f/%.0f, %.3f;", name.c_str(),
        quantile(kind.firstTokens, 0.5), quantile(kind.firstTokens, 0.95), quantile(kind.firstTokens, 0.99),
        quantile(kind.gaps, 0.5), quantile(kind.gaps, 0.95), quantile(kind.gaps, 0.99), share);
}

auto printRow(std::ostream& out, Row& row) -> void
{
    auto& metrics = row.result.metrics;
    out << format("%-18s %7.2f %6.3f %9.3f %8.3f %8llu %8llu %6llu %6llu |", row.arm.c_str(), goodputRate(row), goodputShare(row),
        goodputRate(row) / boundRate(row), 100 * metrics.wastedShare(), static_cast<unsigned long long>(metrics.refused),
        static_cast<unsigned long long>(metrics.retried), static_cast<unsigned long long>(metrics.heldMemoryBlocks), static_cast<unsigned long long>(metrics.answeredTwice));
    for (std::size_t kind = 0; kind < metrics.kinds.size(); ++kind)
        out << kindText(row.kindNames[kind], metrics.kinds[kind]);
    out << '\n';
}

auto printDetails(std::ostream& out, const Row& row) -> void
{
    const auto& metrics = row.result.metrics;
    out << "  refused by reason (order of RefusalReason):";
    for (const auto count : metrics.refusedByReason)
        out << ' ' << count;
    out << "; caller repeats " << metrics.callerRepeats << ", sharing messages " << metrics.sharingMessages << ", engine refusals " << engineRefusals(metrics) << " (prefill " << metrics.prefillRefusals << ", decode " << metrics.decodeRefusals << "), missing results " << metrics.missingResults << ", expired results " << metrics.expiredResults
        << ", preempted " << metrics.preempted << ", engine crashes " << metrics.engineCrashes << ", unanswered " << metrics.unanswered
        << ", misplaced tokens " << metrics.misplacedTokens << ", attempts " << metrics.attempts << ", prefill tokens " << metrics.prefillTokens << '\n';
    for (std::size_t index = 0; index < metrics.kinds.size(); ++index) {
        const auto& kind = metrics.kinds[index];
        out << "  " << row.kindNames[index] << ": offered " << kind.offered << ", finished " << kind.finished << ", good " << kind.good
            << ", only first token late " << kind.lateFirstToken << ", only tokens slow " << kind.slowTokens << '\n';
    }
}

auto isSameGroup(const Row& left, const Row& right) -> bool
{
    return left.workload == right.workload && left.load == right.load && left.faults == right.faults && left.sharing == right.sharing && left.seed == right.seed;
}

}

auto printTable(std::ostream& out, std::span<Row> rows, bool details) -> void
{
    for (std::size_t index = 0; index < rows.size(); ++index) {
        if (index == 0 || !isSameGroup(rows[index - 1], rows[index]))
            printHeader(out, rows[index]);
        printRow(out, rows[index]);
        if (details)
            printDetails(out, rows[index]);
    }
}

auto printChecks(std::ostream& out, std::span<const BoundCheck> checks) -> void
{
    out << "\nbounds\n";
    for (const auto& check : checks)
        out << format("%-4s %-75s %.4f (limit %.4f)\n", check.pass ? "pass" : "MISS", check.name.c_str(), check.value, check.limit);
}

}
