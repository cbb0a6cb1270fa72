#pragma once

/// A stand-in for a plain service whose POST calls must not run twice: it runs every call that
/// reaches it and counts the runs by idempotency key and by body.

#include "HttpServer.h"
#include "ServiceSettings.h"

namespace jayhold::standin {

struct ServiceState;

class StandinService {
public:
    /// @param threads must have exactly one thread, which runs the whole service.
    StandinService(IoThreads& threads, const ServiceSettings& settings);

    auto endpoint() const -> HttpEndpoint { return m_server.endpoint(); }

private:
    const std::shared_ptr<ServiceState> m_state;
    HttpServer m_server;
};

}
