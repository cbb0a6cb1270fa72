#pragma once

/// The idle connections of one HttpClient; private to the HTTP library.

#include "ConnectionKey.h"
#include "HttpConnection.h"

#include <map>
#include <memory>
#include <vector>

namespace jayhold {

class ConnectionPool {
public:
    using Connection = std::unique_ptr<HttpStream::Connection>;

    /// @param maxIdlePerKey connections kept for one key.
    /// @param idleConnectionTimeout how long a connection is kept whose peer does not name a time of its own.
    ConnectionPool(std::size_t maxIdlePerKey, Duration idleConnectionTimeout);

    /// @return the connection used last, or null. Connections that the peer has closed, or on which
    /// it sent bytes that belong to no call, are dropped.
    auto acquire(const ConnectionKey& key, TimePoint now) -> Connection;

    /// Keeps a connection whose answer was read whole.
    auto returnIdle(Connection connection, TimePoint now) -> void;

private:
    struct IdleConnection {
        Connection connection;
        TimePoint expiresAt;
    };

    auto dropExpired(TimePoint now) -> void;

    const std::size_t m_maxIdlePerKey;
    const Duration m_idleConnectionTimeout;
    std::map<ConnectionKey, std::vector<IdleConnection>> m_idle;
    TimePoint m_sweptAt {};
};

}
