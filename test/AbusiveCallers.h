#pragma once

/// Clients that misuse a server's protocol, for tests of the memory and the descriptors that they take. A crowd of them
/// runs in one thread and never blocks.

#include "HttpEndpoint.h"

#include <string>
#include <vector>

namespace jayhold::test {

/// What one client sends on each of its connections. When the server closes the connection, the client opens another.
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
    struct Client {
        AbusiveCaller caller;
        int socket = -1;
        std::size_t sentBytes = 0;
    };

    auto open(Client& client) -> void;
    auto send(Client& client) -> bool;
    static auto receive(const Client& client) -> bool;
    static auto close(Client& client) -> void;

    const HttpEndpoint m_target;
    std::vector<Client> m_clients;
    std::size_t m_connections = 0;
};

}
