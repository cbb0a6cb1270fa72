#include "ConnectionPool.h"

#include <algorithm>
#include <charconv>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// The server closes an idle connection when the timeout that it announced ends, and a call sent just
/// before would be lost. The connection therefore expires earlier by this margin.
constexpr Duration closeMargin = std::chrono::milliseconds(500);
/// Expired connections occupy file descriptors; one sweep per second keeps them few at little cost.
constexpr Duration sweepInterval = std::chrono::seconds(1);
/// Bounds the memory for the calls that a connection has carried.
constexpr std::size_t maxCallsPerConnection = 1'000;

/// @return the timeout in `Keep-Alive: timeout=SECONDS`.
auto keepAliveTimeout(std::span<const HttpHeader> headers) -> std::optional<Duration>
{
    constexpr std::string_view parameter = "timeout=";
    const auto field = findHeader(headers, "Keep-Alive");
    const auto position = field ? field->find(parameter) : std::string_view::npos;
    if (position == std::string_view::npos)
        return std::nullopt;
    const auto text = field->substr(position + parameter.size());
    unsigned seconds = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (code != std::errc {})
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

/// Readable data on an idle connection is the end of the stream or a response without a request.
auto isReadable(HttpStream::Connection& connection) -> bool
{
    auto& socket = connection.stream.socket();
    boost::system::error_code code;
    socket.non_blocking(true, code);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, code);
    return code != asio::error::would_block;
}

}

ConnectionPool::ConnectionPool(std::size_t maxIdlePerKey, Duration idleConnectionTimeout)
    : m_maxIdlePerKey(maxIdlePerKey)
    , m_idleConnectionTimeout(idleConnectionTimeout)
{
}

auto ConnectionPool::acquire(const ConnectionKey& key, TimePoint now, std::optional<std::size_t> call) -> Connection
{
    const auto found = m_idle.find(key);
    if (found == m_idle.end())
        return nullptr;
    auto& idle = found->second;
    for (auto index = idle.size(); index-- > 0;) {
        if (call && idle[index].connection->carriedCalls.contains(*call))
            continue;
        auto candidate = std::move(idle[index]);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(index));
        if (now < candidate.expiresAt && !isReadable(*candidate.connection))
            return std::move(candidate.connection);
    }
    return nullptr;
}

auto ConnectionPool::returnIdle(Connection connection, TimePoint now) -> void
{
    dropExpired(now);
    auto idleTime = m_idleConnectionTimeout;
    if (const auto serverTimeout = keepAliveTimeout(connection->headers))
        idleTime = std::min(idleTime, *serverTimeout - closeMargin);
    auto& idle = m_idle[connection->key];
    if (idleTime <= Duration::zero() || idle.size() >= m_maxIdlePerKey || connection->carriedCalls.size() >= maxCallsPerConnection)
        return;
    connection->parser.reset();
    connection->hasAnswered = false;
    connection->hasCall = false;
    connection->headers.clear();
    idle.push_back({ std::move(connection), now + idleTime });
}

auto ConnectionPool::dropExpired(TimePoint now) -> void
{
    if (now < m_lastSweepAt + sweepInterval)
        return;
    m_lastSweepAt = now;
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::erase_if(entry->second, [&](const IdleConnection& idle) { return idle.expiresAt <= now; });
        entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

}
