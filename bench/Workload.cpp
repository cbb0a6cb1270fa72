#include "Workload.h"

#include "EventQueue.h"

#include <algorithm>
#include <cmath>
#include <numeric>

using namespace std::chrono_literals;

namespace jayhold::bench {

namespace {

/// Mean of a log-normal size. It ignores the maximum size, which underestimates the capacity.
auto meanSize(double median, double sigma) -> double
{
    return median * std::exp(sigma * sigma / 2);
}

auto total(const std::vector<std::uint32_t>& byZone) -> double
{
    return std::accumulate(byZone.begin(), byZone.end(), 0.0);
}

auto lookup() -> WorkloadKind
{
    return {
        .kind = { .name = "lookup", .latencyClass = LatencyClass::Interactive, .deadline = 10s },
        .share = 0.6,
        .customer = CustomerId { 1 },
        .promptMedian = 300,
        .outputMedian = 40,
        .templates = 8,
        .templateTokens = 256,
    };
}

auto listing() -> WorkloadKind
{
    return {
        .kind = { .name = "listing", .latencyClass = LatencyClass::Standard, .firstToken = 2s, .deadline = 60s },
        .share = 0.25,
        .customer = CustomerId { 0 },
        .promptMedian = 1'200,
        .outputMedian = 270,
        .templates = 6,
        .templateTokens = 512,
    };
}

auto appraisal() -> WorkloadKind
{
    return {
        .kind = { .name = "appraisal", .latencyClass = LatencyClass::Batch, .firstToken = 10s, .tokenGap = 100ms, .deadline = 300s },
        .share = 0.15,
        .customer = CustomerId { 2 },
        .promptMedian = 5'300,
        .outputMedian = 800,
        .templates = 20,
        .templateTokens = 1'024,
    };
}

auto jobLookup() -> WorkloadKind
{
    return {
        .kind = { .name = "job-lookup", .latencyClass = LatencyClass::Interactive, .deadline = 10s },
        .share = 0.7,
        .customer = CustomerId { 1 },
        .promptMedian = 400,
        .outputMedian = 45,
        .templates = 8,
        .templateTokens = 256,
    };
}

auto diagnosis() -> WorkloadKind
{
    return {
        .kind = { .name = "diagnosis", .latencyClass = LatencyClass::Standard, .firstToken = 2s, .deadline = 120s },
        .share = 0.3,
        .customer = CustomerId { 0 },
        .promptMedian = 5'300,
        .outputMedian = 450,
        .templates = 40,
        .templateTokens = 1'024,
    };
}

}

auto caprock() -> Workload
{
    return {
        .name = "caprock",
        .engines = {},
        .prefillEngines = { 1, 1, 1 },
        .decodeEngines = { 2, 2, 2 },
        .entryInstances = { 2, 2, 2 },
        .clientLatency = 1ms,
        .wastedPrefillWeight = 0.2,
        .customerWeights = { 2, 1, 1 },
        .kinds = { lookup(), listing(), appraisal() },
    };
}

auto babAmen() -> Workload
{
    return {
        .name = "babamen",
        .engines = { .prefillTokensPerSecond = 12'000, .prefixCacheBlocks = 600, .memoryBlocks = 96 },
        .prefillEngines = { 2, 2, 2 },
        .decodeEngines = { 3, 3, 2 },
        .entryInstances = { 3, 2, 2 },
        .clientLatency = 3ms,
        .wastedPrefillWeight = 0.9,
        .customerWeights = { 2, 1 },
        .kinds = { jobLookup(), diagnosis() },
    };
}

auto caprockAppraisalFlood() -> Workload
{
    auto workload = caprock();
    workload.name = "caprock-appraisal-flood";
    workload.kinds[0].share = 0.6;
    workload.kinds[1].share = 0.1;
    workload.kinds[2].share = 0.3;
    return workload;
}

auto withOtherMix(Workload workload) -> Workload
{
    workload.name += "-other-mix";
    workload.kinds.front().share -= 0.15;
    workload.kinds.back().share += 0.15;
    for (auto& kind : workload.kinds) {
        kind.promptMedian *= 0.8;
        kind.promptSigma = 0.7;
        kind.outputMedian *= 0.8;
        kind.outputSigma = 0.7;
        kind.templates *= 2;
    }
    return workload;
}

auto capacity(const Workload& workload) -> double
{
    double prompt = 0;
    double output = 0;
    double memoryBlockSeconds = 0;
    const auto& engines = workload.engines;
    const auto gap = toSeconds(tokenGap(engines, engines.decodeSlots));
    for (const auto& kind : workload.kinds) {
        const auto kindPrompt = meanSize(kind.promptMedian, kind.promptSigma);
        const auto kindOutput = meanSize(kind.outputMedian, kind.outputSigma);
        prompt += kind.share * kindPrompt;
        output += kind.share * kindOutput;
        // On average, a request holds half a memory block more than its tokens fill.
        const auto memoryBlocks = (kindPrompt + kindOutput / 2) / engines.memoryBlockTokens + 0.5;
        memoryBlockSeconds += kind.share * memoryBlocks * kindOutput * gap;
    }
    const auto decode = total(workload.decodeEngines) * decodeTokensPerSecond(engines) / output;
    const auto prefill = total(workload.prefillEngines) * engines.prefillTokensPerSecond / prompt;
    const auto memory = total(workload.decodeEngines) * engines.memoryBlocks / memoryBlockSeconds;
    return std::min({ decode, prefill, memory });
}

}
