#include "LoopMonitor.h"

#include <catch2/catch.hpp>

#include <boost/asio/post.hpp>

#include <mutex>
#include <thread>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

struct Stalls {
    std::mutex lock;
    std::vector<LoopStall> list;

    auto ofThread(std::size_t thread) -> std::vector<LoopStall>
    {
        const std::lock_guard guard(lock);
        std::vector<LoopStall> found;
        for (const auto& stall : list) {
            if (stall.thread == thread)
                found.push_back(stall);
        }
        return found;
    }

    /// @return the longest stall of a thread, after some time in which it is reported.
    auto longestOf(std::size_t thread) -> LoopStall
    {
        const auto end = monotonicNow() + 5s;
        while (ofThread(thread).empty() && monotonicNow() < end)
            std::this_thread::sleep_for(5ms);
        LoopStall longest;
        for (const auto& stall : ofThread(thread)) {
            if (stall.lateness > longest.lateness)
                longest = stall;
        }
        return longest;
    }
};

/// Occupies an I/O thread once its monitor runs.
template <typename Work>
auto runOn(IoThreads& threads, std::size_t thread, Work work) -> void
{
    std::this_thread::sleep_for(50ms);
    boost::asio::post(threads.context(thread), work);
}

constexpr auto blockTime = 500ms;
/// The timer may have been set up to one interval before the block.
constexpr auto minLateness = blockTime - LoopMonitor::interval;

}

// Guards against an instance that stood still and says nothing about it: requests and shutdowns that are late can then be
// explained neither by it nor by the machine.
TEST_CASE("a blocked I/O thread is reported with its lateness")
{
    IoThreads threads(2);
    Stalls stalls;
    const LoopMonitor monitor(threads, [&](const LoopStall& stall) {
        const std::lock_guard guard(stalls.lock);
        stalls.list.push_back(stall);
    });
    runOn(threads, 1, [] { std::this_thread::sleep_for(blockTime); });
    const auto stall = stalls.longestOf(1);
    CHECK(stall.lateness >= minLateness);
    // A thread that sleeps uses no processor, so the report tells it from one that works.
    CHECK(stall.processorTime < minLateness);
    CHECK(monitor.stalls() >= 1);
    CHECK(monitor.stalledTime() >= minLateness);
    threads.stop();
}

// Guards against a report that blames the machine for a handler that occupied its thread.
TEST_CASE("a stall by a long handler shows as time on the processor or as waiting for one")
{
    IoThreads threads(1);
    Stalls stalls;
    const LoopMonitor monitor(threads, [&](const LoopStall& stall) {
        const std::lock_guard guard(stalls.lock);
        stalls.list.push_back(stall);
    });
    runOn(threads, 0, [] {
        for (const auto end = monotonicNow() + blockTime; monotonicNow() < end;) { }
    });
    const auto stall = stalls.longestOf(0);
    CHECK(stall.lateness >= minLateness);
    // Half, because neither clock counts what a virtual machine did not get.
    if (stall.waitingTime)
        CHECK(stall.processorTime + *stall.waitingTime >= minLateness / 2);
    CHECK(stall.processorTime > 0s);
    threads.stop();
}
