#pragma once

/// Blocking HTTP/1.1 on loopback sockets for the stand-ins of the review: one thread for each connection.

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

struct Address {
    std::string ip;
    std::uint16_t port = 0;
};

auto text(const Address& address) -> std::string;

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message {
    /// The request line or the status line.
    std::string start;
    Headers headers;
    std::string body;

    auto header(std::string_view name) const -> std::string;
    auto method() const -> std::string;
    auto target() const -> std::string;
    auto status() const -> int;
};

/// A connected socket with the bytes that have been received and not yet parsed.
class Connection {
public:
    explicit Connection(int socket)
        : m_socket(socket)
    {
    }
    ~Connection();
    Connection(const Connection&) = delete;
    auto operator=(const Connection&) -> Connection& = delete;

    auto isOpen() const -> bool { return m_socket >= 0; }
    /// @return false if the connection ended or the time is over.
    auto readMessage(Message& message, int timeoutMs) -> bool;
    /// Reads the head only; readSome() reads the rest.
    auto readHead(Message& message, int timeoutMs) -> bool;
    /// @return the next received bytes, which may belong to several messages; empty at the end or after the time.
    auto readSome(int timeoutMs) -> std::string;
    auto write(std::string_view bytes) -> bool;
    /// @return whether the peer has closed or reset the connection.
    auto isClosedByPeer() -> bool;
    /// @return whether bytes have arrived, or the end of the connection.
    auto waitForBytes(int timeoutMs) -> bool;
    auto hasReceivedBytes() const -> bool { return !m_buffer.empty(); }
    auto close() -> void;
    /// Closes with a reset.
    auto reset() -> void;

private:
    auto fill(int timeoutMs) -> bool;
    auto readChunked(std::string& body, int timeoutMs) -> bool;
    auto readLine(std::string& line, int timeoutMs) -> bool;

    int m_socket;
    std::string m_buffer;
};

/// @return a socket connected to the address, or -1.
auto connectTo(const Address& address, int timeoutMs) -> int;

auto response(int status, const Headers& headers, std::string_view body) -> std::string;
auto request(std::string_view method, std::string_view target, const Headers& headers, std::string_view body) -> std::string;

/// Accepts connections until the process ends. The handler owns a connection for its whole life.
class Server {
public:
    using Handler = std::function<void(Connection&)>;

    Server(const Address& address, Handler handler);
    auto address() const -> const Address& { return m_address; }
    /// Resets new connections, like an address without a listener.
    auto refuse(bool isRefusing) -> void { m_isRefusing = isRefusing; }

private:
    Address m_address;
    std::atomic<bool> m_isRefusing { false };
};

}
