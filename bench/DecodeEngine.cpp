#include "DecodeEngine.h"

#include <algorithm>
#include <utility>

namespace jayhold::bench {

namespace {

/// A crashing request crashes the engine after this many tokens.
constexpr std::uint32_t tokensBeforeCrash = 3;

}

DecodeEngine::DecodeEngine(EventQueue& events, const EngineParameters& parameters, Callbacks callbacks)
    : m_events(events)
    , m_parameters(parameters)
    , m_callbacks(std::move(callbacks))
{
}

auto DecodeEngine::submit(const EngineJob& job) -> bool
{
    const auto memoryBlocks = memoryBlocksFor(m_parameters, job.promptTokens + 1);
    if (m_items.size() >= m_parameters.decodeSlots || m_usedMemoryBlocks + memoryBlocks > m_parameters.memoryBlocks)
        return false;
    m_usedMemoryBlocks += memoryBlocks;
    m_items.push_back({ .job = job, .memoryBlocks = memoryBlocks });
    return true;
}

auto DecodeEngine::addToBatch(RequestId request, Attempt attempt) -> void
{
    for (auto& item : m_items) {
        if (item.job.request == request && item.job.attempt == attempt)
            item.decoding = true;
    }
    startStep();
}

auto DecodeEngine::cancel(RequestId request) -> void
{
    std::erase_if(m_items, [&](const Item& item) {
        if (item.job.request != request)
            return false;
        m_usedMemoryBlocks -= item.memoryBlocks;
        return true;
    });
}

auto DecodeEngine::cancel(RequestId request, Attempt attempt) -> void
{
    if (holds(request, attempt))
        cancel(request);
}

auto DecodeEngine::holds(RequestId request, Attempt attempt) const -> bool
{
    return std::ranges::any_of(m_items, [&](const Item& item) { return item.job.request == request && item.job.attempt == attempt; });
}

auto DecodeEngine::terminate() -> std::vector<EngineJob>
{
    std::vector<EngineJob> lost;
    for (const auto& item : m_items)
        lost.push_back(item.job);
    m_items.clear();
    m_usedMemoryBlocks = 0;
    m_stepping = false;
    ++m_generation;
    return lost;
}

auto DecodeEngine::held(std::size_t instance) const -> std::vector<RequestId>
{
    std::vector<RequestId> requests;
    for (const auto& item : m_items) {
        if (item.job.instance == instance)
            requests.push_back(item.job.request);
    }
    return requests;
}

auto DecodeEngine::startStep() -> void
{
    const auto batch = std::ranges::count(m_items, true, &Item::decoding);
    if (m_stepping || batch == 0)
        return;
    reserveNextToken();
    for (auto& item : m_items)
        item.inStep = item.decoding;
    m_stepping = true;
    const auto generation = m_generation;
    m_events.after(tokenGap(m_parameters, static_cast<std::size_t>(batch)), [this, generation] {
        if (generation == m_generation)
            finishStep();
    });
}

auto DecodeEngine::reserveNextToken() -> void
{
    for (std::size_t index = 0; index < m_items.size(); ++index) {
        const auto& item = m_items[index];
        if (!item.decoding)
            continue;
        const auto needed = memoryBlocksFor(m_parameters, item.job.promptTokens + item.generated + 1);
        while (index < m_items.size() && m_usedMemoryBlocks + needed - m_items[index].memoryBlocks > m_parameters.memoryBlocks)
            preemptNewest();
        if (index >= m_items.size())
            return;
        m_usedMemoryBlocks += needed - m_items[index].memoryBlocks;
        m_items[index].memoryBlocks = needed;
    }
}

auto DecodeEngine::preemptNewest() -> void
{
    const auto newest = m_items.back();
    m_items.pop_back();
    m_usedMemoryBlocks -= newest.memoryBlocks;
    m_callbacks.preempted(newest.job);
}

auto DecodeEngine::finishStep() -> void
{
    m_stepping = false;
    std::vector<std::pair<EngineJob, std::uint32_t>> tokens;
    bool crashed = false;
    std::erase_if(m_items, [&](Item& item) {
        if (!item.inStep)
            return false;
        ++item.generated;
        tokens.emplace_back(item.job, item.generated);
        crashed = crashed || (item.job.crashes && item.generated >= tokensBeforeCrash);
        if (item.generated < item.job.outputTokens)
            return false;
        m_usedMemoryBlocks -= item.memoryBlocks;
        return true;
    });
    for (const auto& [job, generated] : tokens)
        m_callbacks.token(job, generated);
    if (crashed)
        m_callbacks.crashed();
    else
        startStep();
}

}
