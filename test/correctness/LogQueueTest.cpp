#include "LogQueue.h"
#include "LogRateLimiter.h"

#include <catch2/catch.hpp>

#include <array>
#include <fcntl.h>
#include <unistd.h>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

struct Pipe {
    Pipe() { REQUIRE(::pipe(ends.data()) == 0); }
    ~Pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    Pipe(const Pipe&) = delete;
    auto operator=(const Pipe&) -> Pipe& = delete;

    /// Reads all bytes that are available now.
    auto drain() -> std::string
    {
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4'096> buffer {};
        for (auto size = ::read(ends[0], buffer.data(), buffer.size()); size > 0; size = ::read(ends[0], buffer.data(), buffer.size()))
            text.append(buffer.data(), static_cast<std::size_t>(size));
        return text;
    }

    std::array<int, 2> ends {};
};

}

// Guards against a process that blocks because its output is not read.
TEST_CASE("an output that is not read does not block, and dropped lines are counted")
{
    Pipe pipe;
    LogQueue queue(pipe.ends[1], 64'000);
    const std::string line(99, 'x');
    for (auto index = 0; index < 5'000; ++index)
        queue.push(line + "\n", false);
    CHECK(queue.droppedLines() > 3'000);
    const auto before = queue.droppedLines();
    queue.push("failure\n", true);
    CHECK(queue.droppedLines() == before);
    std::string text;
    for (auto round = 0; round < 100; ++round) {
        text += pipe.drain();
        queue.flush();
    }
    text += pipe.drain();
    CHECK(text.find("failure\n") != std::string::npos);
    CHECK(text.find("event=log_lines_left_out reason=output_not_read count=" + std::to_string(before)) != std::string::npos);
}

// Guards against a flood of one event that hides other events.
TEST_CASE("lines are rate-limited by event")
{
    LogRateLimiter limiter { .linesPerSecond = 10, .burst = 20 };
    TimePoint now { 100s };
    auto written = 0;
    for (auto index = 0; index < 1'000; ++index)
        written += admitLine(limiter, now, "flood");
    CHECK(written == 20);
    CHECK(admitLine(limiter, now, "other"));
    CHECK(takeDroppedLines(limiter, "flood") == 980);
    CHECK(takeDroppedLines(limiter, "flood") == 0);
    now += 1s;
    written = 0;
    for (auto index = 0; index < 1'000; ++index)
        written += admitLine(limiter, now, "flood");
    CHECK(written == 10);
}
