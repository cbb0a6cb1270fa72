#pragma once

/// Clients and servers that misuse the protocol, for tests of the memory and the descriptors that they take. A crowd of
/// clients runs in one thread and never blocks; a server has a thread of its own.

#include "HttpEndpoint.h"

#include <atomic>
#include <cstdint>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

namespace jayhold::test {

/// What one client sends on each of its connections, or a server on one. When the server closes the connection, the client
/// opens another.
struct AbusiveCaller {
    /// Sent once.
    std::string opening;
    /// Sent again and again after it; nothing if empty.
    std::string repeated;
    /// Bytes that are sent on one connection at most.
    std::size_t maxBytes = 8U << 20U;
    /// Bytes of one write.
    std::size_t writeBytes = 65'536;
    /// Whether the client reads the responses.
    bool readsResponses = true;
};

/// One end of a connection.
struct AbusiveConnection {
    AbusiveCaller caller;
    int socket = -1;
    std::size_t sentBytes = 0;
};

/// Sockets of the clients, which the destructor closes.
class AbusiveCrowd {
public:
    AbusiveCrowd(HttpEndpoint target, std::vector<AbusiveCaller> callers);
    ~AbusiveCrowd();
    AbusiveCrowd(const AbusiveCrowd&) = delete;
    auto operator=(const AbusiveCrowd&) -> AbusiveCrowd& = delete;

    /// Lets each client open its connection, send once and read what has arrived.
    auto step() -> void;

    /// @return number of connections that the server has accepted or queued.
    auto connections() const -> std::size_t { return m_connections; }

private:
    auto open(AbusiveConnection& client) -> void;

    const HttpEndpoint m_target;
    std::vector<AbusiveConnection> m_clients;
    std::size_t m_connections = 0;
};

/// A server that answers the first bytes of each connection with one of several responses, in turn.
class AbusiveServer {
public:
    /// @param port port of 127.0.0.1; 0 for a free one.
    /// @throws std::system_error if the port can't be bound.
    explicit AbusiveServer(std::vector<AbusiveCaller> responses, std::uint16_t port = 0);
    ~AbusiveServer();
    AbusiveServer(const AbusiveServer&) = delete;
    auto operator=(const AbusiveServer&) -> AbusiveServer& = delete;

    auto endpoint() const -> HttpEndpoint { return { "127.0.0.1", m_port }; }
    /// @return number of connections that were accepted. May be called on any thread.
    auto connections() const -> std::size_t { return m_accepted; }

private:
    auto run(const std::stop_token& stop) -> void;
    auto acceptAll() -> void;

    const std::vector<AbusiveCaller> m_responses;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::vector<AbusiveConnection> m_connections;
    std::atomic<std::size_t> m_accepted { 0 };
    std::jthread m_thread;
};

}
