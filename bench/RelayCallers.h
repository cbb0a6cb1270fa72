#pragma once

/// The callers of the relay benchmark. Those that connect straight to the engine make the same
/// two engine calls as an entry instance, so that the difference is what the instance adds.

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
    /// Samples are only kept while this is set.
    auto setRecording(bool isRecording) -> void { m_isRecording = isRecording; }
    /// @return callers that have received their first token and not the end.
    auto streaming() const -> int { return m_streaming; }
    auto finished() const -> int { return m_finished; }
    /// Takes the samples recorded so far.
    auto takeSamples(bool isDirect) -> RelaySamples;

private:
    auto run(HttpClient& client, bool isDirect) -> boost::asio::awaitable<void>;
    auto open(HttpClient& client, bool isDirect) -> boost::asio::awaitable<HttpResult<std::shared_ptr<HttpStream>>>;
    /// Notes the tokens of one piece.
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
