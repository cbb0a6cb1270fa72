#include "StreamVersionView.h"

#include <algorithm>

namespace jayhold {

namespace {

/// A store that was never restored names this history, or a smaller one.
constexpr std::int64_t firstHistory = 1;

/// @return the time for which the same versions have been listed while the store was available, until now.
auto confirmedTime(const StreamVersionView& view, TimePoint now) -> Duration
{
    return view.awaySince ? Duration::zero() : now - std::max(view.listedSince, view.availableSince);
}

/// @return whether records may have been lost since the state was written.
auto isOutdated(const StreamVersionView& view) -> bool
{
    return view.state.history < view.history;
}

/// @return whether the default may be another version by now than the known state allows.
auto mayHaveOtherDefault(const StreamVersionView& view, TimePoint now) -> bool
{
    if (!view.behindSince)
        return false;
    // The next state of a default keeps it for the life of a stream. Half of that is for the way of the report.
    const auto isFirstOfTwo = view.state.defaultVersion && !view.state.isClosing && !isOutdated(view);
    return !isFirstOfTwo || now - *view.behindSince >= view.times.streamLifetime / 2;
}

auto next(const StreamVersionView& view, std::optional<std::string> defaultVersion, bool isClosing = false) -> StreamVersionState
{
    return { view.state.epoch + 1, std::move(defaultVersion), isClosing, view.history };
}

/// @param sole the only listed version; absent if there are several.
auto firstState(const StreamVersionView& view, TimePoint now, const std::optional<std::string>& sole) -> std::optional<StreamVersionState>
{
    if (!sole)
        return next(view, std::nullopt);
    // A restore may have lost the object, and with it records of other versions.
    if (view.history <= firstHistory || confirmedTime(view, now) >= view.times.streamLifetime)
        return next(view, sole);
    return std::nullopt;
}

auto stateAfterRestore(const StreamVersionView& view, TimePoint now, const std::optional<std::string>& sole) -> std::optional<StreamVersionState>
{
    // All streams of other versions have ended after their lifetime.
    if (sole && !view.state.isClosing && view.state.defaultVersion == sole)
        return confirmedTime(view, now) >= view.times.streamLifetime ? std::optional(next(view, sole)) : std::nullopt;
    return next(view, std::nullopt);
}

}

auto updateListedVersions(StreamVersionView& view, TimePoint now, const std::set<std::string>& versions) -> void
{
    const auto isSame = std::ranges::equal(versions, view.listed, {}, {}, [](const auto& entry) -> const std::string& { return entry.first; });
    if (isSame)
        return;
    std::erase_if(view.listed, [&](const auto& entry) { return !versions.contains(entry.first); });
    for (const auto& version : versions)
        view.listed.emplace(version, now);
    view.listedSince = now;
}

auto updateHistory(StreamVersionView& view, TimePoint now, std::int64_t history) -> void
{
    if (history <= view.history)
        return;
    if (view.history > 0)
        view.listedSince = now;
    view.history = history;
}

auto updateAvailability(StreamVersionView& view, TimePoint now, bool isAvailable) -> void
{
    if (!isAvailable) {
        view.awaySince = view.awaySince.value_or(now);
    } else if (view.awaySince) {
        view.awaySince.reset();
        view.availableSince = now;
    }
}

auto updateBehind(StreamVersionView& view, TimePoint now, bool isBehind) -> void
{
    if (isBehind)
        view.behindSince = view.behindSince.value_or(now);
    else
        view.behindSince.reset();
}

auto updateState(StreamVersionView& view, TimePoint now, const StreamVersionState& stored) -> bool
{
    view.isRead = true;
    if (!isNewer(stored, view.state))
        return false;
    view.state = stored;
    view.stateSince = now;
    return true;
}

auto dueState(const StreamVersionView& view, TimePoint now) -> std::optional<StreamVersionState>
{
    if (!view.isRead || view.listed.empty())
        return std::nullopt;
    const auto sole = view.listed.size() == 1 ? std::optional(view.listed.begin()->first) : std::nullopt;
    const auto& state = view.state;
    if (state.epoch == 0)
        return firstState(view, now, sole);
    if (isOutdated(view))
        return stateAfterRestore(view, now, sole);
    if (!state.defaultVersion)
        return sole && confirmedTime(view, now) >= view.times.soleTime ? std::optional(next(view, sole)) : std::nullopt;
    if (state.isClosing)
        return now - view.stateSince >= view.times.streamLifetime ? std::optional(next(view, std::nullopt)) : std::nullopt;
    return isOnlyListed(view, *state.defaultVersion) ? std::nullopt : std::optional(next(view, state.defaultVersion, true));
}

auto recordNeed(const StreamVersionView& view, TimePoint now, std::string_view version) -> RecordNeed
{
    if (!view.isRead || view.state.epoch == 0 || mayHaveOtherDefault(view, now))
        return RecordNeed::Strict;
    const auto known = versionWithoutRecord(view);
    if (known && *known != version)
        return RecordNeed::Strict;
    // A stream of a default that is given up has its version as long as the default counts, and none afterwards.
    if (known)
        return view.state.isClosing ? RecordNeed::Bounded : RecordNeed::None;
    // Another instance may have made another version the default until it knows of this one.
    const auto listed = view.listed.find(std::string(version));
    const auto isKnownToAll = listed != view.listed.end() && now - listed->second >= view.times.spreadTime;
    return isKnownToAll ? RecordNeed::Bounded : RecordNeed::Strict;
}

auto versionWithoutRecord(const StreamVersionView& view) -> std::optional<std::string>
{
    return isOutdated(view) ? std::nullopt : view.state.defaultVersion;
}

auto onlyVersion(const StreamVersionView& view, TimePoint now) -> std::optional<std::string>
{
    // The list may lack versions for some time after a start, an outage or a restore.
    const auto confirmed = view.awaySince.value_or(now) - std::max(view.listedSince, view.availableSince);
    if (view.listed.size() != 1 || confirmed < view.times.streamLifetime)
        return std::nullopt;
    return view.listed.begin()->first;
}

auto isOnlyListed(const StreamVersionView& view, std::string_view version) -> bool
{
    return std::ranges::all_of(view.listed, [&](const auto& entry) { return entry.first == version; });
}

}
