#pragma once

/// A stand-in model engine. It implements the engine interface of docs/design.md with the timing and
/// limited memory of an engine, injectable faults, and completions that are known in advance.

#include "EngineSettings.h"
#include "HttpServer.h"

namespace jayhold::standin {

struct EngineState;

class Engine {
public:
    /// @param threads must have exactly one thread, which runs the whole engine.
    Engine(IoThreads& threads, EngineSettings settings);

    auto endpoint() const -> HttpEndpoint { return m_server.endpoint(); }

private:
    const std::shared_ptr<EngineState> m_state;
    HttpServer m_server;
};

}
