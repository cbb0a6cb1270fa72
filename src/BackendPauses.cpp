#include "BackendPauses.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Part of the time asked for over which the instances spread their return, and its bounds.
constexpr int returnDelayDivisor = 10;
constexpr Duration minReturnSpread = std::chrono::milliseconds(20);
constexpr Duration maxReturnSpread = std::chrono::seconds(1);

/// Longer times are shortened to this one, so that sums with points in time stay within their range.
constexpr Duration maxDelay = std::chrono::hours(24 * 365);

auto isOver(const BackendPause& pause, TimePoint now) -> bool
{
    return std::max(pause.until, pause.askedUntil) <= now;
}

auto randomReturnDelay(RandomSource& random, Duration delay) -> Duration
{
    const auto spread = std::clamp(delay / returnDelayDivisor, minReturnSpread, maxReturnSpread);
    return Duration(static_cast<Duration::rep>(random.below(static_cast<std::uint64_t>(spread.count()))));
}

}

auto recordPause(BackendPauses& pauses, TimePoint now, std::string_view backend, std::string_view incarnation, Duration delay) -> std::optional<BackendPause>
{
    forgetEndedPauses(pauses, now);
    if (delay <= Duration::zero())
        return std::nullopt;
    delay = std::min(delay, maxDelay);
    auto& entry = pauses.entries[{ std::string(backend), std::string(incarnation) }];
    // The responses to the requests that were under way share one delay. The greatest of many random ones would be
    // about the same for all instances.
    if (entry.returnDelay == Duration::zero())
        entry.returnDelay = randomReturnDelay(pauses.random, delay) + Duration(1);
    const auto before = entry.pause;
    // The single request after the longest pause has reached the server, which still turns it away.
    const auto isConfirmed = before.until <= now && now < before.askedUntil;
    auto& pause = entry.pause;
    pause.askedUntil = std::max(before.askedUntil, now + delay);
    const auto end = isConfirmed ? pause.askedUntil : now + std::min(delay, maxPause);
    // Responses that arrive one after the other name about the same end. The delay of the return covers them.
    if (end > before.until)
        pause.until = end + entry.returnDelay;
    const auto isChanged = pause.until != before.until || (pause.askedUntil != before.askedUntil && pause.askedUntil > pause.until);
    return isChanged ? std::optional(pause) : std::nullopt;
}

auto endPause(BackendPauses& pauses, TimePoint now, std::string_view backend, std::string_view incarnation) -> void
{
    const auto found = pauses.entries.find({ std::string(backend), std::string(incarnation) });
    if (found != pauses.entries.end() && found->second.pause.until <= now)
        pauses.entries.erase(found);
}

auto handleMissing(BackendPauses& pauses, TimePoint now, const std::function<bool(const std::string& backend, const std::string& incarnation)>& isListed) -> void
{
    for (auto& [process, entry] : pauses.entries) {
        if (entry.pause.until <= now && !isListed(process.first, process.second))
            entry.pause.until = std::max(entry.pause.until, entry.pause.askedUntil + entry.returnDelay);
    }
}

auto pauseOf(const BackendPauses& pauses, TimePoint now, const std::string& backend, const std::string& incarnation) -> std::optional<BackendPause>
{
    const auto found = pauses.entries.find({ backend, incarnation });
    return found == pauses.entries.end() || isOver(found->second.pause, now) ? std::nullopt : std::optional(found->second.pause);
}

auto forgetEndedPauses(BackendPauses& pauses, TimePoint now) -> void
{
    std::erase_if(pauses.entries, [&](const auto& item) { return isOver(item.second.pause, now); });
}

}
