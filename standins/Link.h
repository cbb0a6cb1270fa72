#pragma once

/// A TCP relay that closes, stalls and slows connections to simulate the network between
/// availability zones.

#include "HttpServer.h"
#include "LinkSettings.h"

namespace jayhold::standin {

struct LinkState;

class Link {
public:
    /// @param threads must have exactly one thread, which runs the whole link.
    /// @throws boost::system::system_error if an endpoint can't be bound.
    Link(IoThreads& threads, const LinkSettings& settings);

    auto endpoint() const -> HttpEndpoint;
    auto adminEndpoint() const -> HttpEndpoint { return m_admin.endpoint(); }

private:
    const std::shared_ptr<LinkState> m_state;
    HttpServer m_admin;
};

}
