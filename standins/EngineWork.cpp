#include "CoroutineSleep.h"
#include "EngineHandlers.h"
#include "JsonBody.h"
#include "PromptBlocks.h"

namespace jayhold::standin {

auto applyFaults(EngineState& state) -> boost::asio::awaitable<void>
{
    if (state.faults.delayMilliseconds > 0)
        co_await sleepFor(std::chrono::milliseconds(state.faults.delayMilliseconds));
    while (state.faults.frozen)
        co_await sleepFor(faultPollInterval);
}

auto rejectionResponse(EngineState& state) -> std::optional<HttpResponse>
{
    if (state.faults.leaving)
        return notRunResponse(503, "leaving");
    if (!state.faults.refuseAll)
        return std::nullopt;
    ++state.counters.refused;
    return notRunResponse(409, "busy");
}

auto prefillPrompt(EngineState& state, EngineRun& run, std::string_view prompt, std::int64_t priority) -> boost::asio::awaitable<std::int64_t>
{
    const auto blocks = prefixBlockHashes(prompt);
    const auto cached = static_cast<std::int64_t>(state.cache.matchPrefix(blocks)) * prefixBlockTokens;
    const auto toCompute = countTokens(prompt) - cached;
    const auto rate = std::max<std::int64_t>(state.settings.prefillTokensPerSecond, 1);
    const Duration time(toCompute * 1'000'000 / rate);
    const auto used = co_await state.compute.use(run, time, priority);
    const auto computed = time.count() == 0 ? toCompute : toCompute * used.count() / time.count();
    state.counters.tokensPrefilled += computed;
    if (run.isCancelled)
        state.counters.tokensNeverDecoded += computed;
    else
        state.cache.store(blocks, monotonicNow(), state.faults.cacheEventGap);
    co_return computed;
}

auto cancelRun(EngineState& state, const std::shared_ptr<EngineRun>& run) -> std::int64_t
{
    if (run->isCancelled || !run->holdsMemoryBlocks)
        return 0;
    ++state.counters.cancelled;
    const auto result = std::ranges::find_if(state.results, [&](const auto& item) { return item.second.run == run; });
    if (result != state.results.end()) {
        state.counters.tokensNeverDecoded += result->second.computedTokens;
        state.results.erase(result);
    }
    return state.memory.cancel(*run);
}

auto releaseResult(EngineState& state, const std::string& handle, bool isTransferred) -> void
{
    const auto found = state.results.find(handle);
    if (found == state.results.end())
        return;
    const auto result = found->second;
    state.results.erase(found);
    if (!isTransferred)
        state.counters.tokensNeverDecoded += result.computedTokens;
    state.memory.release(*result.run);
}

}
