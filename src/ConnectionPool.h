#pragma once

/// The idle connections of one HttpClient. Private to the HTTP library.

#include "ConnectionKey.h"
#include "HttpConnection.h"

#include <map>
#include <memory>
#include <vector>

namespace jayhold {

class ConnectionPool {
public:
    using Connection = std::unique_ptr<HttpStream::Connection>;

    /// @param maxIdlePerKey maximum number of connections kept for one key.
    /// @param idleConnectionTimeout maximum time for which a connection is kept; a shorter Keep-Alive
    /// timeout that the server announces takes precedence.
    ConnectionPool(std::size_t maxIdlePerKey, Duration idleConnectionTimeout);

    /// @param call hash of the call's correlation value, if it has one.
    /// @return the most recently used connection that has not carried the call, or null. Expired connections are
    /// dropped, and so are those that the server has closed or on which it has sent unexpected bytes.
    auto acquire(const ConnectionKey& key, TimePoint now, std::optional<std::size_t> call = std::nullopt) -> Connection;

    /// Returns a connection to the pool after its response has been read completely.
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
    TimePoint m_lastSweepAt {};
};

}
