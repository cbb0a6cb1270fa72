#pragma once

/// The decode step loop of a stand-in engine. Each step emits one token for every running stream, and
/// its duration grows slightly with the number of streams.

#include "EngineRun.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace jayhold::standin {

class StepLoop {
public:
    struct Stream {
        explicit Stream(const boost::asio::any_io_executor& executor)
            : wake(executor)
        {
        }

        /// Tokens emitted so far, and the number at which the stream is complete.
        std::int64_t emitted = 0;
        std::int64_t total = 0;
        boost::asio::steady_timer wake;
    };

    /// @param isFrozen pauses the loop while it is true; it must outlive the loop.
    StepLoop(Duration gap, const bool& isFrozen)
        : m_gap(gap)
        , m_isFrozen(isFrozen)
    {
    }

    /// Adds a stream, which is removed when it is complete or no longer referenced elsewhere.
    auto add(const std::shared_ptr<Stream>& stream) -> void { m_streams.push_back(stream); }
    /// Waits until the stream has emitted more than the given number of tokens or the run is
    /// cancelled.
    static auto waitForTokens(Stream& stream, EngineRun& run, std::int64_t sentTokens) -> boost::asio::awaitable<void>;
    /// Runs steps for as long as the engine lives.
    auto run() -> boost::asio::awaitable<void>;

private:
    auto step() -> void;
    auto stepTime() const -> Duration;

    const Duration m_gap;
    const bool& m_isFrozen;
    std::vector<std::weak_ptr<Stream>> m_streams;
};

}
