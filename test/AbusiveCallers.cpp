#include "AbusiveCallers.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <system_error>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jayhold::test {

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

auto AbusiveCrowd::open(Client& client) -> void
{
    client.sentBytes = 0;
    client.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (client.socket < 0)
        throw std::system_error(errno, std::generic_category(), "socket");
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_target.port);
    inet_pton(AF_INET, m_target.address.c_str(), &address.sin_addr);
    sockaddr generic {};
    std::memcpy(&generic, &address, sizeof generic);
    if (connect(client.socket, &generic, sizeof generic) < 0 && errno != EINPROGRESS)
        close(client);
    else
        ++m_connections;
}

/// @return whether the connection is still open.
auto AbusiveCrowd::send(Client& client) -> bool
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
auto AbusiveCrowd::receive(const Client& client) -> bool
{
    std::array<char, 4'096> buffer {};
    const auto size = recv(client.socket, buffer.data(), buffer.size(), 0);
    return size > 0 || (size < 0 && (errno == EAGAIN || errno == ENOTCONN));
}

auto AbusiveCrowd::close(Client& client) -> void
{
    if (client.socket >= 0)
        ::close(client.socket);
    client.socket = -1;
}

}
