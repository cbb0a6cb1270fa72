#pragma once

/// Finds out when an I/O thread did not run its handlers in time: a timer on each thread that is late.

#include "IoThreads.h"
#include "LogField.h"
#include "Time.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace jayhold {

/// A time in which an I/O thread ran no other handler.
struct LoopStall {
    /// Index of the thread.
    std::size_t thread = 0;
    /// The time by which the timer of the thread was late.
    Duration lateness {};
    /// Time that the thread ran since its timer was set. About the lateness if one handler took that long.
    Duration processorTime {};
    /// Time since then that the thread was ready to run and got no processor; nothing if the system does not tell.
    std::optional<Duration> waitingTime;
};

class LoopMonitor {
public:
    /// A timer that is later than this is a stall. Above the delays of a busy machine on which all bounds still hold.
    static constexpr Duration minStall = std::chrono::milliseconds(250);
    static constexpr Duration interval = std::chrono::milliseconds(100);

    /// @param onStall called on the thread after each stall, so at most once in each `interval + minStall` of a thread.
    LoopMonitor(IoThreads& threads, std::function<void(const LoopStall&)> onStall);

    /// @return the number of stalls of all threads.
    auto stalls() const -> std::uint64_t { return m_totals->stalls; }
    /// @return the sum of their lateness.
    auto stalledTime() const -> Duration { return Duration(m_totals->stalledTime); }

private:
    struct Totals {
        std::atomic<std::uint64_t> stalls { 0 };
        std::atomic<Duration::rep> stalledTime { 0 };
        std::function<void(const LoopStall&)> onStall;
    };

    static auto watch(std::size_t thread, std::shared_ptr<Totals> totals) -> boost::asio::awaitable<void>;

    const std::shared_ptr<Totals> m_totals = std::make_shared<Totals>();
};

/// @return the fields of the log line `loop_stalled`: thread, late_ms, cpu_ms and waited_ms, -1 if not known.
auto describe(const LoopStall& stall) -> std::vector<LogField>;

}
