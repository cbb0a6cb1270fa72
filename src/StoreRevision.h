#pragma once

/// Revisions of a store that may be restored from an older copy. A restore begins a new history, in which the
/// store gives out the same numbers again, so a number means something only together with its history. A
/// revision combines both, so that revisions of a later history are greater than all earlier ones.

#include <cstdint>

namespace jayhold {

/// Bits of a revision that hold the store's number; the bits above hold the history.
inline constexpr int revisionNumberBits = 40;

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
    return revision & ((std::int64_t { 1 } << revisionNumberBits) - 1);
}

}
