#pragma once

/// The callers of the relay benchmark. Direct callers connect to the engine and make the same two engine
/// calls as an entry instance, so that the difference in latency is what the instance adds.

#include "HttpClient.h"
#include "IoThreads.h"
#include "RelayEngine.h"

#include <mutex>
#include <string_view>
#include <vector>

namespace jayhold::bench {

/// Latencies in nanoseconds.
struct RelaySamples {
    std::vector<std::int64_t> firstToken;
    std::vector<std::int64_t> token;
    std::uint64_t tokens = 0;
    std::uint64_t failures = 0;
};

class RelayCallers {
public:
    /// @param entry address of the entry instance.
    /// @param engine address of an engine for the direct callers.
    RelayCallers(IoThreads& threads, HttpEndpoint entry, HttpEndpoint engine)
        : m_threads(threads)
        , m_entry(std::move(entry))
        , m_engine(std::move(engine))
    {
    }

    /// Starts one caller.
    auto start(bool isDirect) -> void;
    /// Samples are recorded only while this is set.
    auto setRecording(bool isRecording) -> void { m_isRecording = isRecording; }
    /// @return the number of callers that have received their first token but not the end of the stream.
    auto streaming() const -> int { return m_streaming; }
    auto finished() const -> int { return m_finished; }
    /// Returns the samples recorded so far and clears them.
    auto takeSamples(bool isDirect) -> RelaySamples;

private:
    auto run(HttpClient& client, bool isDirect) -> boost::asio::awaitable<void>;
    auto open(HttpClient& client, bool isDirect) -> boost::asio::awaitable<HttpResult<std::shared_ptr<HttpStream>>>;
    /// Records the tokens of one chunk. An incomplete event stays in the buffer.
    auto processChunk(std::string_view chunk, std::string& buffer, bool isDirect, std::int64_t startedAt, bool& isFirst) -> void;

    IoThreads& m_threads;
    const HttpEndpoint m_entry;
    const HttpEndpoint m_engine;
    std::atomic<bool> m_isRecording { false };
    std::atomic<int> m_streaming { 0 };
    std::atomic<int> m_finished { 0 };
    std::mutex m_lock;
    RelaySamples m_samples[2];
};

}
