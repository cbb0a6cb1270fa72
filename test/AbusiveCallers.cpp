#include "AbusiveCallers.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <system_error>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jayhold::test {

namespace {

auto addressOf(const HttpEndpoint& endpoint) -> sockaddr
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    sockaddr generic {};
    std::memcpy(&generic, &address, sizeof generic);
    return generic;
}

/// @return whether the connection is still open.
auto send(AbusiveConnection& client) -> bool
{
    const auto& caller = client.caller;
    if (client.socket < 0)
        return false;
    auto position = client.sentBytes;
    const auto& text = position < caller.opening.size() ? caller.opening : caller.repeated;
    if (text.empty() || position >= caller.maxBytes)
        return true;
    if (position >= caller.opening.size())
        position = (position - caller.opening.size()) % text.size();
    const auto size = std::min({ text.size() - position, caller.writeBytes, caller.maxBytes - client.sentBytes });
    const auto sent = ::send(client.socket, text.data() + position, size, MSG_NOSIGNAL);
    if (sent < 0)
        return errno == EAGAIN;
    client.sentBytes += static_cast<std::size_t>(sent);
    return true;
}

/// @return whether the connection is still open.
auto receive(const AbusiveConnection& client) -> bool
{
    std::array<char, 4'096> buffer {};
    const auto size = recv(client.socket, buffer.data(), buffer.size(), 0);
    return size > 0 || (size < 0 && (errno == EAGAIN || errno == ENOTCONN));
}

/// @return whether bytes or the end of the stream have arrived.
auto isReadable(int socket) -> bool
{
    char byte = 0;
    return recv(socket, &byte, 1, MSG_PEEK) >= 0 || errno != EAGAIN;
}

auto close(AbusiveConnection& client) -> void
{
    if (client.socket >= 0)
        ::close(client.socket);
    client.socket = -1;
}

}

AbusiveCrowd::AbusiveCrowd(HttpEndpoint target, std::vector<AbusiveCaller> callers)
    : m_target(std::move(target))
{
    for (auto& caller : callers)
        m_clients.push_back({ .caller = std::move(caller) });
}

AbusiveCrowd::~AbusiveCrowd()
{
    for (auto& client : m_clients)
        close(client);
}

auto AbusiveCrowd::step() -> void
{
    for (auto& client : m_clients) {
        if (client.socket < 0)
            open(client);
        const auto isOpen = send(client) && (!client.caller.readsResponses || receive(client));
        if (!isOpen)
            close(client);
    }
}

auto AbusiveCrowd::open(AbusiveConnection& client) -> void
{
    client.sentBytes = 0;
    client.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (client.socket < 0)
        throw std::system_error(errno, std::generic_category(), "socket");
    const auto address = addressOf(m_target);
    if (connect(client.socket, &address, sizeof address) < 0 && errno != EINPROGRESS)
        close(client);
    else
        ++m_connections;
}

AbusiveServer::AbusiveServer(std::vector<AbusiveCaller> responses, std::uint16_t port)
    : m_responses(std::move(responses))
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    constexpr auto listenQueue = 512;
    constexpr auto isOn = 1;
    auto address = addressOf({ "127.0.0.1", port });
    socklen_t size = sizeof address;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof isOn);
    if (m_listener < 0 || bind(m_listener, &address, size) < 0 || listen(m_listener, listenQueue) < 0 || getsockname(m_listener, &address, &size) < 0)
        throw std::system_error(errno, std::generic_category(), "bind");
    sockaddr_in bound {};
    std::memcpy(&bound, &address, sizeof bound);
    m_port = ntohs(bound.sin_port);
    m_thread = std::jthread([this](const std::stop_token& stop) { run(stop); });
}

AbusiveServer::~AbusiveServer()
{
    m_thread = {};
    for (auto& connection : m_connections)
        close(connection);
    ::close(m_listener);
}

auto AbusiveServer::run(const std::stop_token& stop) -> void
{
    // Long enough for the other side to read each write alone.
    constexpr auto interval = std::chrono::microseconds(200);
    while (!stop.stop_requested()) {
        acceptAll();
        for (auto& connection : m_connections) {
            // The sockets of a server wait for a call first, which is received as far as it has arrived.
            const auto hasCall = connection.sentBytes > 0 || isReadable(connection.socket);
            if (hasCall && (!send(connection) || !receive(connection)))
                close(connection);
        }
        std::erase_if(m_connections, [](const AbusiveConnection& connection) { return connection.socket < 0; });
        std::this_thread::sleep_for(interval);
    }
}

auto AbusiveServer::acceptAll() -> void
{
    constexpr auto isOn = 1;
    while (true) {
        const auto accepted = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0)
            return;
        // Each write is sent at once, so that the reads of the other side end where it ends.
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof isOn);
        m_connections.push_back({ .caller = m_responses[m_accepted++ % m_responses.size()], .socket = accepted });
    }
}

}
