#pragma once

/// Callers that send requests of all kinds to all entry instances, reuse their connections as long
/// as these stay open, and record the outcome of each request. A caller whose resumable stream broke off takes it up
/// again at any instance.

#include "IoThreads.h"
#include "SoakCustomers.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace jayhold::soak {

/// Time that callers allow for a response.
inline constexpr std::chrono::milliseconds callerTimeout { 2'500 };

/// Statuses of the refusals of a request without a known key, and of one beyond the quota of its customer.
inline constexpr unsigned statusUnknownKey = 401;
inline constexpr unsigned statusOverQuota = 429;

enum class CallKind {
    /// May run more than once.
    IdempotentGet,
    /// May run at most once.
    NonIdempotentPost,
    /// A stream that may resume on another engine.
    ResumableStream,
    /// A stream that may run at most once.
    NonResumableStream,
};

struct StreamEvent {
    int index = 0;
    /// Software version of the engine that wrote the event.
    std::string version;
    auto operator==(const StreamEvent&) const -> bool = default;
};

struct CallRecord {
    std::string request;
    CallKind kind {};
    /// Index of the entry instance to which it was sent.
    std::size_t entry = 0;
    TimePoint sentAt {};
    TimePoint endedAt {};
    /// 0 if no complete response arrived.
    unsigned status = 0;
    /// Whether a connection was established.
    bool wasConnected = true;
    /// The backend server that gave a successful response.
    std::string answeredBy;
    /// Error in a complete response; empty if the response is correct.
    std::string responseError;
    /// The request that brought the first event of the stream that this request takes up; empty for a new request.
    std::string resumes;
    /// Index of the last event of that stream that the caller already had.
    int lastEvent = 0;
    /// The parts of the prompt; the same for all requests of a stream.
    std::string promptParts;
    /// The events of a stream that arrived, in order.
    std::vector<StreamEvent> events;
    /// Whether the header of a successful response arrived.
    bool hasBegun = false;
    /// The request may be ended this long after it was sent: the time of its caller, or that of its route if that is less.
    Duration timeLimit = callerTimeout;
    /// Whether the caller closed the connection before the end of the response.
    bool wasReset = false;
    CallerIdentity identity {};
};

/// @return whether the request is the plain call that crashes its server. Its prompt, which is not sent, has the part too.
auto isCrashingCall(const CallRecord& call) -> bool;

/// @return whether the prompt has the part that crashes engines.
auto hasCrashingPart(const CallRecord& call) -> bool;

/// @return whether the prompt is harmless and begins like those with the crashing part.
auto sharesFirstPart(const CallRecord& call) -> bool;

/// @return the whole events of the body of a stream; the rest is ignored.
auto parseStreamEvents(std::string_view body) -> std::vector<StreamEvent>;

class SoakCallers {
public:
    /// @param endpoints the addresses of the entry instances.
    /// @param hasCustomers whether the callers send keys.
    SoakCallers(std::vector<HttpEndpoint> endpoints, std::uint64_t seed, bool hasCustomers = false);
    ~SoakCallers();
    SoakCallers(const SoakCallers&) = delete;
    auto operator=(const SoakCallers&) -> SoakCallers& = delete;

    /// Starts a group of callers; each call starts another group.
    auto start() -> void;
    /// Starts more callers of the bursty customer.
    auto startBurst(std::size_t callers) -> void;
    /// Lets these send no further requests.
    auto endBurst() -> void { m_isBurstOver = true; }
    /// Sends no further requests and waits for those in progress.
    auto stop() -> void;
    /// Closes the connections on which a part of a stream has arrived.
    auto resetStreams() -> void { ++m_streamResets; }
    /// @param isSending whether some of the new streams have a part in their prompt that crashes engines.
    auto sendCrashingParts(bool isSending) -> void { m_isSendingCrashingParts = isSending; }
    /// @param isSending whether some of the new plain calls crash their server.
    auto sendCrashingCalls(bool isSending) -> void { m_isSendingCrashingCalls = isSending; }
    auto records() const -> std::vector<CallRecord>;
    auto threads() -> IoThreads& { return m_threads; }

private:
    auto spawnCaller(std::size_t caller) -> void;
    auto isStopping(std::size_t caller) const -> bool { return m_isStopping || (m_isBurstOver && caller >= firstBurstCaller); }
    auto runCaller(std::size_t caller) -> boost::asio::awaitable<void>;
    /// @param promptParts the parts of the prompt; those of the stream for one that is taken up.
    /// @param previous record of the last request for the stream to take up; null for a new request.
    auto callOnce(HttpClient& client, CallKind kind, std::size_t entry, std::string promptParts, CallerIdentity identity, const CallRecord* previous) -> boost::asio::awaitable<CallRecord>;
    /// Reads the body of a response until its end, an error or a reset.
    /// @return whether the response is complete.
    auto readBody(HttpStream& stream, std::string& body, CallRecord& record) -> boost::asio::awaitable<bool>;
    auto makePromptParts(CallKind kind, std::uint32_t random) -> std::string;
    auto store(CallRecord record) -> void;

    const std::vector<HttpEndpoint> m_endpoints;
    const std::uint64_t m_seed;
    const bool m_hasCustomers;
    IoThreads m_threads { 2 };
    std::atomic<bool> m_isStopping { false };
    std::atomic<bool> m_isBurstOver { false };
    std::size_t m_startedCallers = 0;
    std::atomic<std::size_t> m_runningCallers { 0 };
    std::atomic<std::uint64_t> m_lastRequest { 0 };
    /// So that no part is the first part.
    std::atomic<std::uint64_t> m_lastPart { 1'000 };
    std::atomic<int> m_streamResets { 0 };
    std::atomic<bool> m_isSendingCrashingParts { false };
    std::atomic<bool> m_isSendingCrashingCalls { false };
    mutable std::mutex m_lock;
    std::vector<CallRecord> m_records;
};

}
