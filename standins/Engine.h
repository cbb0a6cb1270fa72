#pragma once

/// A stand-in model engine: the engine interface of docs/design.md with the timing of an engine,
/// limited memory and faults, and answers that are known in advance.

#include "EngineSettings.h"
#include "HttpServer.h"

namespace jayhold::standin {

struct EngineState;

class Engine {
public:
    /// @param threads its first thread runs the whole engine; it must be the only one.
    Engine(IoThreads& threads, EngineSettings settings);

    auto endpoint() const -> HttpEndpoint { return m_server.endpoint(); }

private:
    const std::shared_ptr<EngineState> m_state;
    HttpServer m_server;
};

}
