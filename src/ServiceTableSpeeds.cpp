#include "ServiceTable.h"

#include "Rendezvous.h"

#include <iterator>

namespace jayhold {

auto ServiceTable::speedReports() -> std::vector<SpeedReport>
{
    std::vector<SpeedReport> observed;
    for (const auto& service : modelServices()) {
        auto own = service->observedSpeeds();
        std::ranges::move(own, std::back_inserter(observed));
    }
    for (const auto& service : plainServices()) {
        auto own = service->observedSpeeds();
        std::ranges::move(own, std::back_inserter(observed));
    }
    const std::lock_guard guard(m_lock);
    const auto now = monotonicNow();
    auto reports = selectReports(m_speedReporter, now, std::move(observed));
    for (const auto& report : reports) {
        if (!isToBeLogged(m_speedReporter, now, report))
            continue;
        const auto milliseconds = [](Duration duration) { return duration.count() / 1'000; };
        m_context.log.record(LogLevel::Info, "backend_speed_observed", { { "backend", report.backend }, { "incarnation", report.incarnation }, { "work", name(report.work) }, { "speed", report.speed }, { "observed_ms", milliseconds(report.observed) }, { "age_ms", milliseconds(report.age) } });
    }
    return reports;
}

auto ServiceTable::handleSpeedReports(std::string_view instance, std::span<const SpeedReport> reports) -> void
{
    const auto sender = stableHash(instance);
    for (const auto& service : modelServices())
        service->handleSpeedReports(sender, reports);
    for (const auto& service : plainServices())
        service->handleSpeedReports(sender, reports);
}

auto ServiceTable::addSpeedSamples(std::vector<Metrics::Sample>& samples) const -> void
{
    struct Value {
        std::string_view name;
        std::string_view help;
        std::function<double(const SpeedSummary&)> read;
    };
    const Value values[] = {
        { "jayhold_servers_slower", "Backend servers that are expected to be slower than the mean of their service.", [](const SpeedSummary& summary) { return static_cast<double>(summary.slower); } },
        { "jayhold_servers_faster", "Backend servers that are expected to be faster than the mean of their service.", [](const SpeedSummary& summary) { return static_cast<double>(summary.faster); } },
        { "jayhold_server_speed_lowest", "Expected speed of the slowest backend server relative to the mean of its service.", [](const SpeedSummary& summary) { return summary.lowest; } },
        { "jayhold_server_speed_highest", "Expected speed of the fastest backend server relative to the mean of its service.", [](const SpeedSummary& summary) { return summary.highest; } },
    };
    std::vector<std::pair<std::string, SpeedSummary>> summaries;
    for (const auto& service : modelServices())
        summaries.emplace_back(service->name(), service->speedSummary());
    for (const auto& service : plainServices())
        summaries.emplace_back(service->name(), service->speedSummary());
    for (const auto& value : values) {
        for (const auto& [service, summary] : summaries)
            samples.push_back({ value.name, value.help, value.read(summary), false, "service", service });
    }
}

}
