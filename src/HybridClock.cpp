#include "HybridClock.h"

#include <charconv>
#include <chrono>

namespace jayhold {

namespace {

constexpr std::int64_t maxSkewMicroseconds = 60'000'000;

auto wallNow() -> std::int64_t
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
}

template <typename Number>
auto parseNumber(std::string_view text) -> std::optional<Number>
{
    Number number {};
    const auto* end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, number);
    if (code != std::errc {} || rest != end)
        return std::nullopt;
    return number;
}

}

auto HybridClock::tick() -> HybridTime
{
    return tickAt(wallNow());
}

auto HybridClock::observe(HybridTime remote) -> void
{
    observeAt(remote, wallNow());
}

auto HybridClock::tickAt(std::int64_t wallMicroseconds) -> HybridTime
{
    const std::lock_guard guard(m_lock);
    if (wallMicroseconds > m_last.wallMicroseconds)
        m_last = { wallMicroseconds, 0 };
    else
        ++m_last.counter;
    return m_last;
}

auto HybridClock::observeAt(HybridTime remote, std::int64_t wallMicroseconds) -> void
{
    if (remote.wallMicroseconds > wallMicroseconds + maxSkewMicroseconds)
        return;
    const std::lock_guard guard(m_lock);
    if (remote > m_last)
        m_last = remote;
}

auto toString(HybridTime time) -> std::string
{
    return std::to_string(time.wallMicroseconds) + "." + std::to_string(time.counter);
}

auto parseHybridTime(std::string_view text) -> std::optional<HybridTime>
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const auto wall = parseNumber<std::int64_t>(text.substr(0, dot));
    const auto counter = parseNumber<std::uint32_t>(text.substr(dot + 1));
    if (!wall || !counter)
        return std::nullopt;
    return HybridTime { *wall, *counter };
}

}
