#include "Http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <strings.h>
#include <thread>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

auto socketAddress(const Address& address) -> sockaddr_in
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

auto waitFor(int socket, short events, int timeoutMs) -> bool
{
    pollfd entry { socket, events, 0 };
    return ::poll(&entry, 1, timeoutMs) > 0;
}

auto part(const std::string& line, int index) -> std::string
{
    std::size_t begin = 0;
    for (; index > 0 && begin != std::string::npos; --index) {
        begin = line.find(' ', begin);
        begin = begin == std::string::npos ? begin : begin + 1;
    }
    if (begin == std::string::npos)
        return {};
    return line.substr(begin, line.find(' ', begin) - begin);
}

}

auto text(const Address& address) -> std::string
{
    return address.ip + ":" + std::to_string(address.port);
}

auto Message::header(std::string_view name) const -> std::string
{
    const std::string wanted(name);
    for (const auto& [key, value] : headers) {
        if (::strcasecmp(key.c_str(), wanted.c_str()) == 0)
            return value;
    }
    return {};
}

auto Message::method() const -> std::string
{
    return part(start, 0);
}

auto Message::target() const -> std::string
{
    return part(start, 1);
}

auto Message::status() const -> int
{
    return std::atoi(part(start, 1).c_str());
}

Connection::~Connection()
{
    close();
}

auto Connection::close() -> void
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
}

auto Connection::reset() -> void
{
    const linger option { 1, 0 };
    if (m_socket >= 0)
        ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    close();
}

auto Connection::fill(int timeoutMs) -> bool
{
    if (m_socket < 0 || !waitFor(m_socket, POLLIN, timeoutMs))
        return false;
    char bytes[65'536];
    const auto size = ::recv(m_socket, bytes, sizeof(bytes), 0);
    if (size <= 0)
        return false;
    m_buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
}

auto Connection::readSome(int timeoutMs) -> std::string
{
    if (m_buffer.empty())
        fill(timeoutMs);
    return std::exchange(m_buffer, {});
}

auto Connection::isClosedByPeer() -> bool
{
    if (m_socket < 0)
        return true;
    if (!waitFor(m_socket, POLLIN, 0))
        return false;
    char byte = 0;
    return ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0 && errno != EAGAIN;
}

auto Connection::waitForBytes(int timeoutMs) -> bool
{
    return m_socket >= 0 && waitFor(m_socket, POLLIN, timeoutMs);
}

auto Connection::write(std::string_view bytes) -> bool
{
    while (!bytes.empty() && m_socket >= 0) {
        const auto size = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return m_socket >= 0;
}

auto Connection::readLine(std::string& line, int timeoutMs) -> bool
{
    while (true) {
        const auto end = m_buffer.find("\r\n");
        if (end != std::string::npos) {
            line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 2);
            return true;
        }
        if (!fill(timeoutMs))
            return false;
    }
}

auto Connection::readHead(Message& message, int timeoutMs) -> bool
{
    message = {};
    if (!readLine(message.start, timeoutMs))
        return false;
    std::string line;
    while (readLine(line, timeoutMs)) {
        if (line.empty())
            return true;
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
    }
    return false;
}

auto Connection::readChunked(std::string& body, int timeoutMs) -> bool
{
    std::string line;
    while (readLine(line, timeoutMs)) {
        const auto size = std::strtoul(line.c_str(), nullptr, 16);
        while (m_buffer.size() < size + 2) {
            if (!fill(timeoutMs))
                return false;
        }
        body.append(m_buffer, 0, size);
        m_buffer.erase(0, size + 2);
        if (size == 0)
            return true;
    }
    return false;
}

auto Connection::readMessage(Message& message, int timeoutMs) -> bool
{
    if (!readHead(message, timeoutMs))
        return false;
    if (::strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0)
        return readChunked(message.body, timeoutMs);
    const auto size = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
    message.body.reserve(size);
    while (message.body.size() < size) {
        if (m_buffer.empty() && !fill(timeoutMs))
            return false;
        const auto taken = std::min(size - message.body.size(), m_buffer.size());
        message.body.append(m_buffer, 0, taken);
        m_buffer.erase(0, taken);
    }
    return true;
}

auto connectTo(const Address& address, int timeoutMs) -> int
{
    const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto remote = socketAddress(address);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote)) != 0) {
        int error = errno;
        socklen_t size = sizeof(error);
        if (error == EINPROGRESS && waitFor(socket, POLLOUT, timeoutMs))
            ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            ::close(socket);
            return -1;
        }
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    return socket;
}

namespace {

auto join(std::string start, const Headers& headers, std::string_view body, bool hasLength) -> std::string
{
    start += "\r\n";
    for (const auto& [name, value] : headers)
        start += name + ": " + value + "\r\n";
    if (hasLength)
        start += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    start += "\r\n";
    start += body;
    return start;
}

}

auto response(int status, const Headers& headers, std::string_view body) -> std::string
{
    return join("HTTP/1.1 " + std::to_string(status) + " x", headers, body, true);
}

auto request(std::string_view method, std::string_view target, const Headers& headers, std::string_view body) -> std::string
{
    return join(std::string(method) + " " + std::string(target) + " HTTP/1.1", headers, body, !body.empty() || method != "GET");
}

Server::Server(const Address& address, Handler handler)
    : m_address(address)
{
    const auto listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto local = socketAddress(address);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0 || ::listen(listener, 1'024) != 0) {
        std::fprintf(stderr, "can't listen on %s\n", text(address).c_str());
        std::_Exit(2);
    }
    std::thread([this, listener, handler = std::move(handler)] {
        while (true) {
            const auto socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                continue;
            const int noDelay = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
            std::thread([this, socket, handler] {
                Connection connection(socket);
                if (m_isRefusing)
                    connection.reset();
                else
                    handler(connection);
            }).detach();
        }
    }).detach();
}

}
