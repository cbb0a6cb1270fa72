#include "LoadReport.h"

#include <boost/histogram.hpp>

#include <array>
#include <iomanip>
#include <sstream>

namespace jayhold {

namespace json = boost::json;
namespace histogram = boost::histogram;

namespace {

/// Logarithmic axis from 10 microseconds to 1,000 s; each of the bins is 2.3% wide.
using LatencyAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Latencies = histogram::histogram<std::tuple<LatencyAxis>>;

constexpr unsigned latencyBins = 800;
constexpr double minLatencyMs = 0.01;
constexpr double maxLatencyMs = 1e6;
constexpr std::array<std::string_view, 7> outcomeNames { "whole", "cancelled", "not_run", "unknown", "wrong", "doubled", "lost" };

auto makeLatencies() -> Latencies
{
    return histogram::make_histogram(LatencyAxis(latencyBins, minLatencyMs, maxLatencyMs));
}

auto toMilliseconds(Duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// @return the upper edge of the bin that contains the quantile, in milliseconds; 0 without data.
auto quantile(const Latencies& latencies, double share) -> double
{
    double total = 0;
    for (const auto count : latencies)
        total += count;
    double cumulativeCount = 0;
    for (auto&& bin : histogram::indexed(latencies)) {
        cumulativeCount += *bin;
        if (total > 0 && cumulativeCount >= total * share)
            return bin.bin().upper();
    }
    return 0;
}

auto quantiles(const Latencies& latencies) -> json::object
{
    return { { "p50", quantile(latencies, 0.5) }, { "p95", quantile(latencies, 0.95) }, { "p99", quantile(latencies, 0.99) } };
}

auto meetsTargets(const LoadItem& item, const CallResult& result) -> bool
{
    if (result.outcome != CallOutcome::Whole)
        return false;
    if (item.firstTokenTarget.count() > 0 && result.firstToken > item.firstTokenTarget)
        return false;
    if (item.tokenGapTarget.count() == 0 || result.gaps.empty())
        return true;
    Duration total { 0 };
    for (const auto gap : result.gaps)
        total += gap;
    return total <= item.tokenGapTarget * static_cast<std::int64_t>(result.gaps.size());
}

auto addCounts(json::object& totals, const json::object& counts) -> void
{
    for (const auto& [key, value] : counts) {
        if (!value.is_int64())
            continue;
        auto& total = totals[key];
        total = (total.is_int64() ? total.get_int64() : 0) + value.get_int64();
    }
}

}

struct LoadReport::ItemReport {
    std::array<std::int64_t, outcomeNames.size()> outcomes {};
    std::int64_t sent = 0;
    std::int64_t attempts = 0;
    std::int64_t withinTargets = 0;
    Latencies firstToken = makeLatencies();
    Latencies tokenGap = makeLatencies();

    auto toJson() const -> json::object
    {
        json::object object { { "sent", sent }, { "attempts", attempts } };
        for (std::size_t index = 0; index < outcomes.size(); ++index)
            object[outcomeNames[index]] = outcomes[index];
        object["within_targets"] = withinTargets;
        object["first_token_ms"] = quantiles(firstToken);
        object["token_gap_ms"] = quantiles(tokenGap);
        return object;
    }
};

LoadReport::LoadReport(const std::vector<LoadItem>& mix)
{
    for (const auto& item : mix)
        m_items.emplace(item.name, std::make_unique<ItemReport>());
}

LoadReport::~LoadReport() = default;

auto LoadReport::add(const LoadItem& item, const CallResult& result) -> void
{
    const std::lock_guard guard(m_lock);
    auto& report = *m_items.at(item.name);
    ++report.sent;
    report.attempts += result.attempts;
    ++report.outcomes.at(static_cast<std::size_t>(result.outcome));
    if (meetsTargets(item, result))
        ++report.withinTargets;
    if (result.firstToken.count() > 0)
        report.firstToken(toMilliseconds(result.firstToken));
    for (const auto gap : result.gaps)
        report.tokenGap(toMilliseconds(gap));
}

auto LoadReport::toJson(Duration elapsed) const -> json::object
{
    const std::lock_guard guard(m_lock);
    json::object items;
    json::object totals;
    for (const auto& [name, item] : m_items) {
        auto counts = item->toJson();
        addCounts(totals, counts);
        items[name] = std::move(counts);
    }
    const auto seconds = std::chrono::duration<double>(elapsed).count();
    const auto good = totals["within_targets"].is_int64() ? totals["within_targets"].get_int64() : 0;
    totals["goodput_per_second"] = seconds > 0 ? static_cast<double>(good) / seconds : 0;
    totals["elapsed_s"] = seconds;
    return { { "total", std::move(totals) }, { "items", std::move(items) } };
}

auto LoadReport::table(const json::object& report) -> std::string
{
    constexpr std::array<std::string_view, 9> columns { "sent", "whole", "cancelled", "not_run", "unknown", "lost", "wrong", "doubled", "within_targets" };
    std::ostringstream text;
    text << std::left << std::setw(16) << "kind" << std::right;
    for (const auto column : columns)
        text << std::setw(std::max<int>(9, static_cast<int>(column.size()) + 1)) << column;
    text << "  first token p50/p95/p99 ms   token gap p50/p95/p99 ms\n"
         << std::fixed << std::setprecision(1);
    const auto row = [&](std::string_view name, const json::object& counts) {
        text << std::left << std::setw(16) << name << std::right;
        for (const auto column : columns)
            text << std::setw(std::max<int>(9, static_cast<int>(column.size()) + 1)) << counts.at(column).to_number<std::int64_t>();
        for (const auto* key : { "first_token_ms", "token_gap_ms" }) {
            if (!counts.contains(key))
                continue;
            const auto& values = counts.at(key).as_object();
            text << "  " << std::setw(8) << values.at("p50").to_number<double>() << " /" << std::setw(7) << values.at("p95").to_number<double>() << " /" << std::setw(7) << values.at("p99").to_number<double>();
        }
        text << '\n';
    };
    for (const auto& [name, counts] : report.at("items").as_object())
        row(name, counts.as_object());
    row("total", report.at("total").as_object());
    return text.str();
}

}
