#pragma once

/// Limits the bytes of requests that a process holds at the same time: bodies, heads and connections. The limit of one
/// request does not bound their sum: many callers may send a large one at once. Bodies wait in the order of their arrival
/// until there is room. A part is reserved for small requests, so that large ones leave room for them.
/// Contains no network code; all members are thread-safe.

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>

namespace jayhold {

class RequestBudget {
public:
    using BodyId = std::uint64_t;

    /// Bodies up to this size are not counted, so that small requests are served while the budget is used up.
    static constexpr std::size_t uncountedBytes = 32'768;
    /// A connection with a head up to this size may use the reserve.
    static constexpr std::size_t maxSmallHeadBytes = 65'536;
    /// For processes whose memory is not known.
    static constexpr std::size_t defaultLimitBytes = 128U << 20U;

    explicit RequestBudget(std::size_t limitBytes)
        : m_limitBytes(limitBytes)
        , m_reserveBytes(limitBytes / reserveDivisor)
    {
    }

    /// Adds a body at the end of the line.
    auto add(std::size_t bytes) -> BodyId;
    /// Takes the bytes of the body if it is the first in the line and there is room. A body that is larger than the whole
    /// budget is taken when nothing else is held.
    /// @return whether the bytes are taken.
    auto tryTake(BodyId id) -> bool;
    /// Gives back what a body takes beyond a number of bytes.
    auto shrink(BodyId id, std::size_t bytes) -> void;
    /// Releases the bytes of a body, or its place in the line.
    auto remove(BodyId id) -> void;
    /// Changes the bytes that a connection and the head of its request take.
    /// @return false if there is no room for more bytes.
    auto resizeHead(std::size_t from, std::size_t to) -> bool;
    /// @return whether a small connection would be let in now.
    auto hasRoomForHead(std::size_t bytes) const -> bool;
    /// Counts a request that is refused because there was no room for it.
    auto countRefusal() -> void { ++m_refusals; }

    auto heldBytes() const -> std::size_t { return m_heldBytes; }
    /// @return bytes that connections and heads take.
    auto heldHeadBytes() const -> std::size_t { return m_headBytes; }
    auto limitBytes() const -> std::size_t { return m_limitBytes; }
    auto refusals() const -> std::uint64_t { return m_refusals; }

private:
    /// An eighth of the memory of a process whose limit is three eighths.
    static constexpr std::size_t reserveDivisor = 3;

    auto fitsLocked(std::size_t from, std::size_t to) const -> bool;
    /// @return bytes of connections and heads beyond the reserve.
    auto excessHeadBytesLocked() const -> std::size_t;

    const std::size_t m_limitBytes;
    const std::size_t m_reserveBytes;
    mutable std::mutex m_lock;
    /// Bytes of the bodies that wait, in the order of their arrival, and of those that are taken.
    std::map<BodyId, std::size_t> m_waiting;
    std::map<BodyId, std::size_t> m_taken;
    BodyId m_lastId = 0;
    std::atomic<std::size_t> m_heldBytes { 0 };
    std::atomic<std::size_t> m_headBytes { 0 };
    /// Those of them that take a part of the reserve.
    std::size_t m_smallHeadBytes = 0;
    std::atomic<std::uint64_t> m_refusals { 0 };
};

}
