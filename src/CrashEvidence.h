#pragma once

/// The prompts that are kept of a crash, within bounds: pieces of long prompts, and what is left out first. Private to the
/// decision library.

#include "PromptPartCrashes.h"

#include <cstdint>
#include <span>
#include <vector>

namespace jayhold {

/// Divides a prompt into pieces that can be reported. Pieces of a long prompt whose parts are all known to be harmless are
/// left out, because they say nothing about the crash.
/// @param time of the crash.
auto divideCrashedPrompt(const PromptPartCrashes& state, TimePoint time, std::uint64_t process, std::uint64_t signature, std::span<const std::uint64_t> parts) -> std::vector<CrashedPrompt>;

/// Adds prompts to a crash, within the bounds for one crash. A prompt with suspicious parts replaces one that is known to be
/// harmless. What finds no room is counted in droppedParts.
auto addPrompts(PromptPartCrashes& state, PromptPartCrashes::Crash& crash, std::span<const CrashedPrompt> prompts) -> void;

/// Removes the oldest crashes until their number and that of the parts of all are within their bounds. Their parts are counted
/// in droppedParts.
auto removeOldestBeyondBounds(PromptPartCrashes& state) -> void;

/// @return the parts that are worth comparing: those that were at enough of the crashes to be the cause of some.
/// @param crashes the crashes that are compared.
auto recurringParts(const PromptPartCrashes& state, std::span<const PromptPartCrashes::Crash* const> crashes) -> std::vector<std::uint64_t>;

}
