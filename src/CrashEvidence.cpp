#include "CrashEvidence.h"

#include <algorithm>
#include <limits>

namespace jayhold {

namespace {

constexpr std::size_t maxPromptsPerCrash = 32;
/// Room for four prompts with as many different parts as the head of a request can contain.
constexpr std::size_t maxPartsPerCrash = 16'384;
/// Bounds the parts of all crashes together.
constexpr std::size_t maxParts = 65'536;
constexpr std::size_t maxCrashes = 64;

auto isHarmless(const PromptPartCrashes& state, const PromptPartCrashes::Crash& crash, const CrashedPrompt& prompt) -> bool
{
    return areHarmless(state, crash.time, prompt.parts);
}

/// @return whether an answer to a request with a part always shows that the part was not the cause of a crash.
auto areAnswersDecisive(const PromptPartCrashes& state) -> bool
{
    return state.rules.crashesDespiteAnswer == std::numeric_limits<std::size_t>::max();
}

/// @return whether there is room for the prompt, or for the first piece of one, among those of the crash.
auto makeRoom(PromptPartCrashes& state, PromptPartCrashes::Crash& crash, const CrashedPrompt& prompt) -> bool
{
    auto& prompts = crash.prompts;
    if (prompt.firstPosition > 0 || std::ranges::count(prompts, 0U, &CrashedPrompt::firstPosition) < static_cast<std::ptrdiff_t>(maxPromptsPerCrash))
        return true;
    if (!areAnswersDecisive(state) || isHarmless(state, crash, prompt))
        return false;
    const auto harmless = std::ranges::find_if(prompts, [&](const auto& other) { return other.firstPosition == 0 && isHarmless(state, crash, other); });
    if (harmless == prompts.end())
        return false;
    crash.partCount -= harmless->parts.size();
    prompts.erase(harmless);
    return true;
}

}

auto divideCrashedPrompt(const PromptPartCrashes& state, TimePoint time, std::uint64_t process, std::uint64_t signature, std::span<const std::uint64_t> parts) -> std::vector<CrashedPrompt>
{
    std::vector<CrashedPrompt> pieces;
    for (std::size_t first = 0; first < parts.size(); first += maxReportedParts) {
        const auto piece = parts.subspan(first, std::min(maxReportedParts, parts.size() - first));
        if (parts.size() <= maxReportedParts || !areHarmless(state, time, piece))
            pieces.push_back({ process, signature, { piece.begin(), piece.end() }, static_cast<std::uint32_t>(first) });
    }
    return pieces;
}

auto addPrompts(PromptPartCrashes& state, PromptPartCrashes::Crash& crash, std::span<const CrashedPrompt> prompts) -> void
{
    for (const auto& prompt : prompts) {
        if (std::ranges::find(crash.prompts, prompt) != crash.prompts.end())
            continue;
        if (crash.partCount + prompt.parts.size() > maxPartsPerCrash || !makeRoom(state, crash, prompt)) {
            state.droppedParts += prompt.parts.size();
            continue;
        }
        crash.partCount += prompt.parts.size();
        crash.prompts.push_back(prompt);
    }
}

auto removeOldestBeyondBounds(PromptPartCrashes& state) -> void
{
    std::size_t count = 0;
    for (const auto& crash : state.crashes)
        count += crash.partCount;
    while (state.crashes.size() > maxCrashes || (count > maxParts && state.crashes.size() > 1)) {
        count -= state.crashes.front().partCount;
        state.droppedParts += state.crashes.front().partCount;
        state.crashes.pop_front();
    }
}

auto recurringParts(const PromptPartCrashes& state, std::span<const PromptPartCrashes::Crash* const> crashes) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> all;
    for (const auto* crash : crashes) {
        const auto begin = static_cast<std::ptrdiff_t>(all.size());
        for (const auto& prompt : crash->prompts)
            all.insert(all.end(), prompt.parts.begin(), prompt.parts.end());
        std::sort(all.begin() + begin, all.end());
        all.erase(std::unique(all.begin() + begin, all.end()), all.end());
    }
    std::ranges::sort(all);
    // Where answers do not decide, a part that was at one crash can be as likely a cause as one that was at several.
    const auto needed = areAnswersDecisive(state) ? minCrashes : 1;
    std::vector<std::uint64_t> recurring;
    for (auto part = all.begin(); part != all.end();) {
        const auto next = std::upper_bound(part, all.end(), *part);
        if (static_cast<std::size_t>(next - part) >= needed)
            recurring.push_back(*part);
        part = next;
    }
    return recurring;
}

}
