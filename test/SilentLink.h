#pragma once

/// Simulates a link that loses every packet on the way to one end of a connection.

#include <boost/asio/ip/tcp.hpp>

#include <linux/filter.h>
#include <sys/socket.h>

#include <stdexcept>

namespace jayhold::test {

/// While it exists, the kernel drops each packet that arrives for the socket, so that the peer gets no acknowledgement.
class SilentLink {
public:
    explicit SilentLink(boost::asio::ip::tcp::socket& socket)
        : m_descriptor(socket.native_handle())
    {
        sock_filter dropAll = BPF_STMT(BPF_RET | BPF_K, 0);
        const sock_fprog program { 1, &dropAll };
        if (::setsockopt(m_descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) != 0)
            throw std::runtime_error("the system has no socket filters");
    }
    ~SilentLink()
    {
        const int unused = 0;
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
    }
    SilentLink(const SilentLink&) = delete;
    auto operator=(const SilentLink&) -> SilentLink& = delete;

private:
    const int m_descriptor;
};

}
