#pragma once

/// Callers that send requests of all kinds to all entry instances, keep their connections for as long
/// as these stay open, and note how each request ended.

#include "IoThreads.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace jayhold::soak {

enum class CallKind {
    /// May run twice.
    IdempotentGet,
    /// May run once.
    NonIdempotentPost,
    /// A stream that may go on at another engine.
    ResumableStream,
    /// A stream that may run once.
    NonResumableStream,
};

struct CallRecord {
    std::string request;
    CallKind kind {};
    TimePoint sentAt {};
    TimePoint endedAt {};
    /// 0 where no whole answer came.
    unsigned status = 0;
    /// Whether the connection was opened.
    bool wasConnected = true;
    /// What is wrong with an answer that looks complete; empty where it is right.
    std::string responseError;
};

class SoakCallers {
public:
    /// @param endpoints of the entry instances.
    SoakCallers(std::vector<HttpEndpoint> endpoints, std::uint64_t seed);
    ~SoakCallers();
    SoakCallers(const SoakCallers&) = delete;
    auto operator=(const SoakCallers&) -> SoakCallers& = delete;

    auto start() -> void;
    /// Lets the requests under way end.
    auto stop() -> void;
    auto records() const -> std::vector<CallRecord>;

private:
    auto runCaller(std::size_t caller) -> boost::asio::awaitable<void>;
    auto callOnce(HttpClient& client, CallKind kind, HttpEndpoint endpoint) -> boost::asio::awaitable<CallRecord>;

    const std::vector<HttpEndpoint> m_endpoints;
    const std::uint64_t m_seed;
    IoThreads m_threads { 2 };
    std::atomic<bool> m_isStopping { false };
    std::atomic<std::size_t> m_runningCallers { 0 };
    std::atomic<std::uint64_t> m_lastRequest { 0 };
    mutable std::mutex m_lock;
    std::vector<CallRecord> m_records;
};

}
