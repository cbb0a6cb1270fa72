#pragma once

/// Revisions of a store that may be restored from an older copy. A restore begins a new history, in which the
/// store gives out the same numbers again, so a number means something only together with its history. A
/// revision combines both, so that revisions of a later history are greater than all earlier ones.

#include <cstdint>
#include <limits>

namespace jayhold {

/// Bits of a revision that hold the store's number; the bits above hold the history.
inline constexpr int revisionNumberBits = 40;

/// Numbers from here on do not fit a revision.
inline constexpr std::int64_t revisionNumberEnd = std::int64_t { 1 } << revisionNumberBits;
/// Histories from here on do not fit a revision.
inline constexpr std::int64_t historyEnd = std::int64_t { 1 } << (std::numeric_limits<std::int64_t>::digits - revisionNumberBits);

/// @return whether a number of the store fits a revision.
constexpr auto isRevisionNumber(std::int64_t number) -> bool
{
    return number >= 0 && number < revisionNumberEnd;
}

/// @param history number of the history, which each restore of the store increases.
/// @param number the store's own number, at least 0.
constexpr auto makeRevision(std::int64_t history, std::int64_t number) -> std::int64_t
{
    return (history << revisionNumberBits) + number;
}

constexpr auto historyOf(std::int64_t revision) -> std::int64_t
{
    return revision >> revisionNumberBits;
}

/// @return the store's own number.
constexpr auto numberOf(std::int64_t revision) -> std::int64_t
{
    return revision & (revisionNumberEnd - 1);
}

}
