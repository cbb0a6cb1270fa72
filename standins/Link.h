#pragma once

/// A TCP relay that cuts, stalls and slows connections, to stand for a network between zones.

#include "HttpServer.h"
#include "LinkSettings.h"

namespace jayhold::standin {

struct LinkState;

class Link {
public:
    /// @param threads its first thread runs the whole link; it must be the only one.
    /// @throws boost::system::system_error where an endpoint can't be bound.
    Link(IoThreads& threads, const LinkSettings& settings);

    auto endpoint() const -> HttpEndpoint;
    auto adminEndpoint() const -> HttpEndpoint { return m_admin.endpoint(); }

private:
    const std::shared_ptr<LinkState> m_state;
    HttpServer m_admin;
};

}
