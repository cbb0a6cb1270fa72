#include "Cell.h"
#include "ClairvoyantBound.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::bench;

namespace {

auto shortCell(Workload workload, double load, Arm arm, std::vector<std::string> faults) -> Cell
{
    Cell cell;
    cell.workload = std::move(workload);
    cell.faults = std::move(faults);
    cell.plan = { .load = load, .length = std::chrono::seconds(30), .seed = 7 };
    cell.arm = std::move(arm);
    return cell;
}

}

// Guards against a bound that an arm can exceed, which would invalidate every comparison with it.
TEST_CASE("no arm exceeds the clairvoyant bound, leaks memory or answers a request twice")
{
    for (const auto& workload : { caprock(), babAmen() }) {
        for (const auto load : { 0.5, 2.0 }) {
            for (const auto& faults : { std::vector<std::string> {}, faultNames() }) {
                for (const auto& arm : allArms()) {
                    CAPTURE(workload.name, load, faults.size(), arm.name);
                    const auto result = runCell(shortCell(workload, load, arm, faults));
                    CHECK(static_cast<double>(good(result.metrics)) <= result.bound + 1e-6);
                    CHECK(result.metrics.heldMemoryBlocks == 0);
                    CHECK(result.metrics.answeredTwice == 0);
                    CHECK(result.metrics.unanswered == 0);
                    CHECK(result.metrics.misplacedTokens == 0);
                }
            }
        }
    }
}

// Guards against nondeterministic runs, which depend on something other than the seed.
TEST_CASE("runs with the same seed have the same results")
{
    const auto first = runCell(shortCell(caprock(), 1.5, decisionArm(), faultNames())).metrics;
    const auto second = runCell(shortCell(caprock(), 1.5, decisionArm(), faultNames())).metrics;
    CHECK(good(first) == good(second));
    CHECK(first.prefillTokens == second.prefillTokens);
    CHECK(first.attempts == second.attempts);
}

// Guards against lost accounting: every request that counts for goodput ends in exactly one way.
TEST_CASE("finished and refused requests add up to those offered")
{
    const auto metrics = runCell(shortCell(babAmen(), 2, decisionArm(), {})).metrics;
    std::uint64_t finished = 0;
    for (const auto& kind : metrics.kinds)
        finished += kind.finished;
    CHECK(finished + metrics.refused == offered(metrics));
}

// Guards against a bound that is looser than its definition: only the work that fits between arrival and
// due time, rounded outwards to whole intervals, counts.
TEST_CASE("the bound of equal requests is the work that fits before they are due")
{
    auto workload = caprock();
    workload.prefillEngines = { 1 };
    workload.decodeEngines = { 1 };
    std::vector<CallerRequest> requests(200);
    for (auto& request : requests) {
        request.promptTokens = 100;
        request.outputTokens = 50;
    }
    // The last token is due after 0.5 s + 49 * 37 ms, which is in the fifth interval of 0.5 s.
    const auto decodeTokens = 2.5 * decodeTokensPerSecond(workload.engines);
    CHECK(clairvoyantBound(workload, {}, requests, std::chrono::seconds(30)) == Approx(decodeTokens / 50));
    // With long prompts, the prefill work in the same window is the limit instead.
    for (auto& request : requests)
        request.promptTokens = 2'000;
    const auto prefillTokens = 2.5 * workload.engines.prefillTokensPerSecond;
    CHECK(clairvoyantBound(workload, {}, requests, std::chrono::seconds(30)) == Approx(prefillTokens / 2'000));
}
