#include "BoundChecks.h"

#include <algorithm>
#include <string_view>

namespace jayhold::bench {

namespace {

constexpr std::string_view checkedArm = "jayhold";
constexpr double minShareOfClairvoyant = 0.95;
constexpr double minShareAtTwiceCapacity = 0.95;
constexpr double maxWasteWithoutFaults = 0.005;
constexpr double maxWasteWithFaults = 0.02;
constexpr double minLookupShare = 0.95;

auto label(const Row& row) -> std::string
{
    return row.workload + (withFaults(row) ? ", faults " + row.faults : ", no faults") + ", " + std::string(name(row.sharing));
}

auto atLeast(std::string name, double value, double limit) -> BoundCheck
{
    return { std::move(name), value, limit, value >= limit };
}

auto atMost(std::string name, double value, double limit) -> BoundCheck
{
    return { std::move(name), value, limit, value <= limit };
}

auto sameCell(const Row& left, const Row& right) -> bool
{
    return left.workload == right.workload && left.faults == right.faults && left.sharing == right.sharing;
}

auto checkGoodput(const Row& row, std::span<const Row> rows, std::vector<BoundCheck>& checks) -> void
{
    if (row.load != 1 || row.result.bound <= 0)
        return;
    checks.push_back(atLeast("goodput at capacity / clairvoyant, " + label(row), goodputRate(row) / boundRate(row), minShareOfClairvoyant));
    const auto twice = std::ranges::find_if(rows, [&](const Row& other) { return other.arm == checkedArm && other.load == 2 && sameCell(row, other); });
    if (twice != rows.end())
        checks.push_back(atLeast("goodput at twice capacity / at capacity, " + label(row), goodputRate(*twice) / goodputRate(row), minShareAtTwiceCapacity));
}

auto checkWaste(const Row& row, std::vector<BoundCheck>& checks) -> void
{
    if (!row.workload.starts_with("babamen"))
        return;
    const auto load = row.load;
    const auto text = std::to_string(load).substr(0, 4);
    checks.push_back(atMost("wasted prefill at load " + text + ", " + label(row), row.result.metrics.wastedShare(), withFaults(row) ? maxWasteWithFaults : maxWasteWithoutFaults));
}

auto checkLookups(const Row& row, std::vector<BoundCheck>& checks) -> void
{
    if (!row.workload.starts_with("caprock-appraisal-flood"))
        return;
    const auto& lookups = row.result.metrics.kinds.front();
    const auto share = lookups.offered ? static_cast<double>(lookups.good) / static_cast<double>(lookups.offered) : 0;
    checks.push_back(atLeast("lookups within both targets, " + label(row), share, minLookupShare));
}

auto checkInvariants(std::span<const Row> rows, std::vector<BoundCheck>& checks) -> void
{
    std::uint64_t held = 0;
    std::uint64_t twice = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t misplaced = 0;
    for (const auto& row : rows) {
        if (row.arm != checkedArm)
            continue;
        held += row.result.metrics.heldMemoryBlocks;
        twice += row.result.metrics.answeredTwice;
        unanswered += row.result.metrics.unanswered;
        misplaced += row.result.metrics.misplacedTokens;
    }
    checks.push_back(atMost("memory pieces held 2 s after the last event", static_cast<double>(held), 0));
    checks.push_back(atMost("requests answered twice", static_cast<double>(twice), 0));
    checks.push_back(atMost("requests without an answer", static_cast<double>(unanswered), 0));
    checks.push_back(atMost("tokens out of order", static_cast<double>(misplaced), 0));
}

}

auto checkBounds(std::span<Row> rows) -> std::vector<BoundCheck>
{
    std::vector<BoundCheck> checks;
    bool present = false;
    for (const auto& row : rows) {
        if (row.arm != checkedArm)
            continue;
        present = true;
        if (!row.workload.starts_with("caprock-appraisal-flood"))
            checkGoodput(row, rows, checks);
        checkWaste(row, checks);
        checkLookups(row, checks);
    }
    if (present)
        checkInvariants(rows, checks);
    return checks;
}

}
