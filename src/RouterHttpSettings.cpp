#include "RouterHttpSettings.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Long enough to connect across zones when one packet is lost, and short enough to try another backend
/// server within the first-token target.
constexpr Duration connectTimeout = std::chrono::milliseconds(400);
/// Detects an unresponsive backend server, on an idle connection, within the time after which a leaving backend server
/// must get no more work. Calls to it are not ended so early.
constexpr Duration backendTcpUserTimeout = std::chrono::seconds(2);
/// Callers connect over links that lose packets, and they abandon a stream after a few seconds.
constexpr Duration callerTcpUserTimeout = std::chrono::seconds(5);
/// Upper bound on the idle timeout that backend servers announce for their connections.
constexpr Duration backendIdleTimeout = std::chrono::seconds(20);
/// All instances share the connection limit of a backend server: 450 connections for 65 instances on
/// the largest site.
constexpr std::size_t maxIdleConnectionsPerBackend = 4;
/// Responses to plain calls and pages of the store's lists are held in memory. The smallest instances have
/// 88 MB, and objects of the store at most 1 MB.
constexpr std::size_t maxBufferedBodyBytes = 4U << 20U;
/// The part of an instance's memory for the responses of backend servers and the store. Twice as many bytes
/// can be held for a moment.
constexpr std::size_t responseMemoryDivisor = 8;
/// The part of an instance's memory for the bodies of requests, in eighths. Responses may take a quarter for a moment, and
/// the rest of the process a quarter.
constexpr std::size_t requestMemoryEighths = 3;
/// Connections of each address for probes and metrics. The balancer and a collector use a few.
constexpr std::size_t maxProbeConnections = 32;
/// The part of the memory for requests that each of these addresses has beside it: about 1 MB of 88 MB.
constexpr std::size_t probeMemoryDivisor = 32;
/// A request takes a connection of its caller and one to a backend server. Half of the sockets are left for the latter, the
/// store and the peers.
constexpr std::size_t socketsPerCaller = 2;
constexpr std::size_t minCallerConnections = 8;
/// A connection with a round trip of 10 ms carries 6 MB/s with it. The kernel takes up to twice as much memory.
constexpr int backendReceiveBufferBytes = 65'536;

/// @return maximum number of callers' connections; 0 if they are not limited.
auto callerConnections(const ConnectionLimits& limits) -> std::size_t
{
    if (limits.callerConnections > 0 || limits.sockets == 0)
        return limits.callerConnections;
    const auto reserved = 2 * maxProbeConnections;
    return std::max(minCallerConnections, (limits.sockets - std::min(limits.sockets, reserved)) / socketsPerCaller);
}

}

auto responseBudgetBytes(std::size_t memoryBytes) -> std::size_t
{
    return memoryBytes == 0 ? ResponseBudget::defaultLimitBytes : memoryBytes / responseMemoryDivisor;
}

auto requestBudgetBytes(std::size_t memoryBytes) -> std::size_t
{
    constexpr std::size_t eighths = 8;
    return memoryBytes == 0 ? RequestBudget::defaultLimitBytes : memoryBytes / eighths * requestMemoryEighths;
}

auto clientSettings(const EntryLimits& limits, const ConnectionLimits& connections, EventLog& log, ReachedLimits& reached) -> HttpClientSettings
{
    HttpClientSettings settings;
    settings.receiveBufferBytes = backendReceiveBufferBytes;
    settings.responseBudget = std::make_shared<ResponseBudget>(responseBudgetBytes(limits.memoryBytes));
    settings.responseBudget->onEnded([&log, limit = settings.responseBudget->limitBytes()](const EndedResponse& response) {
        log.record(LogLevel::Warning, "response_over_budget", { { "address", response.server }, { "bytes", response.bytes }, { "held_bytes", response.totalBytes }, { "limit_bytes", limit } });
    });
    settings.onLimitReached = [&log, &reached](const HttpEndpoint& server, std::string_view limit) {
        reached.count(limit);
        log.record(LogLevel::Info, "response_limit_reached", { { "address", toString(server) }, { "limit", limit } });
    };
    settings.maxHeaderLines = connections.headerLines;
    settings.connectTimeout = connectTimeout;
    settings.tcpUserTimeout = backendTcpUserTimeout;
    settings.idleConnectionTimeout = backendIdleTimeout;
    settings.maxIdlePerEndpoint = maxIdleConnectionsPerBackend;
    settings.maxBodyBytes = maxBufferedBodyBytes;
    return settings;
}

auto serverSettings(const HttpEndpoint& endpoint, const CallerLimits& limits, const ConnectionLimits& connections) -> HttpServerSettings
{
    HttpServerSettings settings;
    settings.endpoint = endpoint;
    settings.maxHeaderBytes = static_cast<std::size_t>(limits.headerBytes);
    settings.maxBodyBytes = static_cast<std::size_t>(limits.bodyBytes);
    settings.readTimeout = limits.readTimeout;
    settings.idleTimeout = limits.idleTimeout;
    settings.tcpUserTimeout = callerTcpUserTimeout;
    settings.maxHeaderLines = connections.headerLines;
    settings.maxConnections = callerConnections(connections);
    return settings;
}

auto probeSettings(const HttpEndpoint& endpoint, const ConnectionLimits& connections, std::size_t memoryBytes) -> HttpServerSettings
{
    auto settings = serverSettings(endpoint, {}, connections);
    settings.maxConnections = maxProbeConnections;
    settings.requestBudget = std::make_shared<RequestBudget>(requestBudgetBytes(memoryBytes) / probeMemoryDivisor);
    return settings;
}

}
