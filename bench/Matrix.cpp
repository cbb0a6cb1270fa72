#include "Matrix.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace jayhold::bench {

namespace {

/// Distance between the given seed and the seeds of the check set, and between those.
constexpr std::uint64_t checkSeedOffset = 1'000;
constexpr std::uint64_t checkSeedCount = 2;
/// Load of the appraisal flood, with far more appraisals than the engines can run.
constexpr double floodLoad = 3;

auto contains(const std::vector<std::string>& names, const std::string& name) -> bool
{
    return std::ranges::find(names, name) != names.end();
}

auto rejectUnknown(const std::vector<std::string>& chosen, const std::vector<std::string>& names, const char* optionName) -> void
{
    for (const auto& name : chosen) {
        if (!contains(names, name))
            throw UsageError { std::string("unknown ") + optionName + " '" + name + "'; see --help" };
    }
}

auto workloadsFor(const BenchOptions& options) -> std::vector<Workload>
{
    const std::vector<Workload> all { caprock(), babAmen(), caprockAppraisalFlood() };
    std::vector<std::string> names;
    names.reserve(all.size());
    for (const auto& workload : all)
        names.push_back(workload.name);
    rejectUnknown(options.workloads, names, "workload");
    std::vector<Workload> chosen;
    for (const auto& workload : all) {
        if (options.workloads.empty() || contains(options.workloads, workload.name))
            chosen.push_back(options.checkSet ? withOtherMix(workload) : workload);
    }
    return chosen;
}

auto armsFor(const BenchOptions& options) -> std::vector<Arm>
{
    auto arms = allArms();
    std::vector<std::string> names;
    names.reserve(arms.size());
    for (const auto& arm : arms)
        names.push_back(arm.name);
    rejectUnknown(options.arms, names, "arm");
    std::erase_if(arms, [&](const Arm& arm) { return !options.arms.empty() && !contains(options.arms, arm.name); });
    return arms;
}

auto seedsFor(const BenchOptions& options) -> std::vector<std::uint64_t>
{
    if (!options.checkSet)
        return { options.seed };
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t index = 0; index < checkSeedCount; ++index)
        seeds.push_back(options.seed + checkSeedOffset * (index + 1));
    return seeds;
}

auto addCells(const BenchOptions& options, const Cell& cellTemplate, std::vector<Cell>& cells) -> void
{
    const bool flood = cellTemplate.workload.name.starts_with("caprock-appraisal-flood");
    for (const auto load : flood ? std::vector { floodLoad } : options.loads) {
        for (const auto& faults : options.faults) {
            for (const auto sharing : options.sharings) {
                for (const auto& arm : armsFor(options)) {
                    cells.push_back(cellTemplate);
                    cells.back().plan.load = load;
                    cells.back().faults = faults;
                    cells.back().sharing = sharing;
                    cells.back().arm = arm;
                }
            }
        }
    }
}

auto faultText(const std::vector<std::string>& faults) -> std::string
{
    if (faults.empty())
        return "none";
    if (faults == faultNames())
        return "all";
    std::string text;
    for (const auto& fault : faults)
        text += (text.empty() ? "" : "+") + fault;
    return text;
}

auto runToRow(const Cell& cell) -> Row
{
    Row row {
        .workload = cell.workload.name,
        .load = cell.plan.load,
        .faults = faultText(cell.faults),
        .arm = cell.arm.name,
        .sharing = cell.sharing,
        .seed = cell.plan.seed,
        .seconds = toSeconds(cell.plan.length),
        .kindNames = {},
        .result = runCell(cell),
    };
    for (const auto& kind : cell.workload.kinds)
        row.kindNames.push_back(kind.kind.name);
    return row;
}

}

auto cellsFor(const BenchOptions& options) -> std::vector<Cell>
{
    std::vector<Cell> cells;
    for (const auto& workload : workloadsFor(options)) {
        for (const auto seed : seedsFor(options)) {
            Cell cellTemplate;
            cellTemplate.workload = workload;
            cellTemplate.plan.seed = seed;
            cellTemplate.plan.length = fromSeconds(options.seconds);
            cellTemplate.wastedPrefillWeight = options.wastedPrefillWeight;
            addCells(options, cellTemplate, cells);
        }
    }
    return cells;
}

auto runCells(const std::vector<Cell>& cells, unsigned threads) -> std::vector<Row>
{
    std::vector<Row> rows(cells.size());
    std::atomic<std::size_t> next = 0;
    std::vector<std::jthread> workers;
    for (unsigned worker = 0; worker < threads; ++worker) {
        workers.emplace_back([&] {
            for (auto index = next++; index < cells.size(); index = next++)
                rows[index] = runToRow(cells[index]);
        });
    }
    workers.clear();
    return rows;
}

}
