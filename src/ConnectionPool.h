#pragma once

/// The idle connections of one HttpClient; private to the HTTP library.

#include "HttpConnection.h"
#include "PoolKey.h"

#include <map>
#include <memory>
#include <vector>

namespace jayhold {

class ConnectionPool {
public:
    using Connection = std::unique_ptr<HttpStream::Connection>;

    /// @param mostIdle connections kept for one key.
    /// @param idleTime how long a connection is kept whose peer does not name a time of its own.
    ConnectionPool(std::size_t mostIdle, Duration idleTime);

    /// @return the connection used last, or null. Connections that the peer has closed, or on which
    /// it sent bytes that belong to no call, are dropped.
    auto take(const PoolKey& key, TimePoint now) -> Connection;

    /// Keeps a connection whose answer was read whole.
    auto give(Connection connection, TimePoint now) -> void;

private:
    struct Idle {
        Connection connection;
        TimePoint usableUntil;
    };

    auto dropExpired(TimePoint now) -> void;

    const std::size_t m_mostIdle;
    const Duration m_idleTime;
    std::map<PoolKey, std::vector<Idle>> m_idle;
    TimePoint m_sweptAt {};
};

}
