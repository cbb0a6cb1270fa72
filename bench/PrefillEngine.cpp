#include "PrefillEngine.h"

#include <algorithm>
#include <utility>

namespace jayhold::bench {

namespace {

/// Fixed cost of each chunk, for scheduling and kernel launches.
constexpr Duration chunkOverhead { 500 };

}

PrefillEngine::PrefillEngine(EventQueue& events, const EngineParameters& parameters, Callbacks callbacks)
    : m_events(events)
    , m_parameters(parameters)
    , m_callbacks(std::move(callbacks))
    , m_cache(parameters.prefixCacheBlocks)
    , m_link(events, static_cast<double>(parameters.linkBytesPerSecond))
{
}

auto PrefillEngine::submit(const EngineJob& job) -> bool
{
    const auto memoryBlocks = memoryBlocksFor(m_parameters, job.promptTokens);
    if (running() >= m_parameters.prefillSlots || m_usedMemoryBlocks + memoryBlocks > m_parameters.memoryBlocks)
        return false;
    m_usedMemoryBlocks += memoryBlocks;
    m_items.push_back({ .job = job, .memoryBlocks = memoryBlocks, .order = m_nextOrder++ });
    computeNext();
    return true;
}

auto PrefillEngine::cancel(RequestId request) -> void
{
    std::erase_if(m_items, [&](const Item& item) {
        if (item.job.request != request)
            return false;
        m_usedMemoryBlocks -= item.memoryBlocks;
        return true;
    });
}

auto PrefillEngine::pin(RequestId request, Attempt attempt) -> bool
{
    auto* item = find(request, attempt);
    if (!item || item->stage != Stage::Completed)
        return false;
    item->stage = Stage::Pinned;
    return true;
}

auto PrefillEngine::release(RequestId request, Attempt attempt) -> void
{
    erase(request, attempt);
}

auto PrefillEngine::terminate() -> std::vector<EngineJob>
{
    std::vector<EngineJob> lost;
    for (const auto& item : m_items) {
        if (item.stage == Stage::Computing)
            lost.push_back(item.job);
    }
    m_items.clear();
    m_usedMemoryBlocks = 0;
    m_computing = false;
    ++m_generation;
    m_cache.clear();
    return lost;
}

auto PrefillEngine::running() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::ranges::count(m_items, Stage::Computing, &Item::stage));
}

auto PrefillEngine::held(std::size_t instance) const -> std::vector<RequestId>
{
    std::vector<RequestId> requests;
    for (const auto& item : m_items) {
        if (item.job.instance == instance)
            requests.push_back(item.job.request);
    }
    return requests;
}

auto PrefillEngine::find(RequestId request, Attempt attempt) -> Item*
{
    const auto found = std::ranges::find_if(m_items, [&](const Item& item) { return item.job.request == request && item.job.attempt == attempt; });
    return found == m_items.end() ? nullptr : &*found;
}

auto PrefillEngine::mostUrgent() -> Item*
{
    Item* best = nullptr;
    for (auto& item : m_items) {
        if (item.stage != Stage::Computing)
            continue;
        if (!best || std::pair(item.job.priority, item.order) < std::pair(best->job.priority, best->order))
            best = &item;
    }
    return best;
}

auto PrefillEngine::lookUpPrefix(Item& item) -> void
{
    const auto hits = static_cast<std::uint32_t>(m_cache.lookUp(item.job.prefixBlocks));
    // The last prompt token is always computed because its output yields the first token of the response.
    item.cachedTokens = std::min(hits * m_parameters.prefixBlockTokens, item.job.promptTokens - 1);
    item.remainingTokens = item.job.promptTokens - item.cachedTokens;
    item.started = true;
}

auto PrefillEngine::computeNext() -> void
{
    auto* item = m_computing ? nullptr : mostUrgent();
    if (!item)
        return;
    if (!item->started)
        lookUpPrefix(*item);
    const auto tokens = std::min(item->remainingTokens, m_parameters.prefillChunkTokens);
    m_computing = true;
    const auto generation = m_generation;
    m_events.after(fromSeconds(tokens / m_parameters.prefillTokensPerSecond) + chunkOverhead,
        [this, generation, request = item->job.request, attempt = item->job.attempt, tokens] {
            if (generation == m_generation)
                handleChunkComputed(request, attempt, tokens);
        });
}

auto PrefillEngine::handleChunkComputed(RequestId request, Attempt attempt, std::uint32_t tokens) -> void
{
    m_computing = false;
    if (auto* item = find(request, attempt)) {
        m_callbacks.computed(item->job, tokens);
        item->remainingTokens -= tokens;
        if (item->remainingTokens == 0)
            completePrefill(*item);
    }
    computeNext();
}

auto PrefillEngine::completePrefill(Item& item) -> void
{
    m_cache.store(item.job.prefixBlocks);
    item.stage = Stage::Completed;
    const auto expiresAt = m_events.now() + m_parameters.prefillResultTtl;
    const auto generation = m_generation;
    m_events.at(expiresAt, [this, generation, request = item.job.request, attempt = item.job.attempt] {
        const auto* completed = generation == m_generation ? find(request, attempt) : nullptr;
        if (!completed || completed->stage != Stage::Completed)
            return;
        m_callbacks.expired(completed->job);
        erase(request, attempt);
    });
    m_callbacks.done(item.job, item.cachedTokens, expiresAt);
}

auto PrefillEngine::erase(RequestId request, Attempt attempt) -> void
{
    std::erase_if(m_items, [&](const Item& item) {
        if (item.job.request != request || item.job.attempt != attempt)
            return false;
        m_usedMemoryBlocks -= item.memoryBlocks;
        return true;
    });
}

}
