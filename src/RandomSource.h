#pragma once

/// A small seeded random number generator for the state machines (SplitMix64). Its state takes 8 bytes,
/// whereas standard engines take kilobytes, and its sequence is the same on every platform.

#include <cstdint>

namespace jayhold {

struct RandomSource {
    std::uint64_t state = 0;

    auto next() -> std::uint64_t
    {
        state += 0x9e3779b97f4a7c15ULL;
        auto value = state;
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31U);
    }

    /// @return a number below the bound, which must not be zero.
    auto below(std::uint64_t bound) -> std::uint64_t { return next() % bound; }
};

}
