#pragma once

/// A stand-in for the platform service of docs/design.md: versioned objects with conditional
/// update and watch, and the list of instances.

#include "HttpServer.h"
#include "PlatformSettings.h"

namespace jayhold::standin {

struct PlatformState;

class Platform {
public:
    /// @param threads must have exactly one thread, which runs the whole platform.
    Platform(IoThreads& threads, PlatformSettings settings);

    auto endpoint() const -> HttpEndpoint { return m_server.endpoint(); }

private:
    const std::shared_ptr<PlatformState> m_state;
    HttpServer m_server;
};

}
