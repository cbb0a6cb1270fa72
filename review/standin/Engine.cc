#include "Engine.h"

#include <cstdlib>

namespace review {

namespace {

constexpr int idleTimeoutMs = 200;

}

auto RunLog::add(const std::string& request, const std::string& engine, double begin, double end) -> void
{
    const std::lock_guard guard(m_lock);
    m_runs[request].push_back({ engine, begin, end });
}

auto RunLog::countOverlaps(double seconds) -> int
{
    const std::lock_guard guard(m_lock);
    auto count = 0;
    for (const auto& [request, runs] : m_runs) {
        auto overlaps = false;
        for (const auto& first : runs) {
            for (const auto& second : runs)
                overlaps = overlaps || (first.engine != second.engine && first.begin < second.begin && first.end > second.begin + seconds);
        }
        count += overlaps;
    }
    return count;
}

Engine::Engine(EngineSettings settings, Record& record)
    : m_settings(std::move(settings))
    , m_record(record)
    , m_server(std::make_unique<Server>(m_settings.address, [this](Connection& connection) { serve(connection); }))
{
    m_server->refuse(true);
}

auto Engine::version() const -> std::string
{
    const std::lock_guard guard(m_lock);
    return m_version;
}

auto Engine::end() -> void
{
    m_server->refuse(true);
    m_process = 0;
    m_record.line("engine " + m_settings.id + " ended");
}

auto Engine::start(const std::string& version) -> void
{
    {
        const std::lock_guard guard(m_lock);
        m_version = version;
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }
    m_running = 0;
    m_process = ++m_lastProcess;
    m_server->refuse(false);
    m_record.line("engine " + m_settings.id + " started, software " + version);
}

auto Engine::entry() const -> std::string
{
    const std::lock_guard guard(m_lock);
    return R"({"service":")" + m_settings.service + R"(","address":")" + text(m_settings.address) + R"(","zone":")" + m_settings.zone + R"(","version":")" + m_version
        + R"(","slots":)" + std::to_string(m_settings.slots) + R"(,"state":"ready","coldLeftMs":0,"phase":")" + m_settings.phase
        + R"(","models":[{"name":"m","version":1,"adapters":[]}],"sequence":0,"born":)" + std::to_string(m_born) + "}";
}

auto Engine::control(const Message& message) -> std::string
{
    const Headers type { { "Content-Type", "application/json" }, { "Replica-Id", m_settings.id } };
    const auto target = message.target();
    if (target == "/-/hold-take")
        return response(200, type, R"({"hold":"h)" + std::to_string(++m_lastName) + R"("})");
    if (target == "/-/report") {
        const std::lock_guard guard(m_lock);
        return response(200, type, R"({"phase":")" + m_settings.phase + R"(","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":)" + std::to_string(m_running) + R"(,"kvUsed":0,"kvTotal":42121,"kvHandles":0,"born":)" + std::to_string(m_born) + "}");
    }
    // Another order is in progress.
    if (target == "/-/order")
        return response(409, type, "{}");
    return response(200, type, "{}");
}

auto Engine::stream(Connection& connection, const Message& message, int process) -> bool
{
    const auto id = message.header("Request-Id");
    const auto version = this->version();
    const auto last = message.header("Last-Event-Id");
    auto event = last.empty() ? 0 : std::atoi(last.c_str());
    const auto from = event;
    const auto begin = elapsed();
    m_record.line("engine " + m_settings.id + " (software " + version + ") runs " + id + " after event " + std::to_string(event));
    auto isConnected = connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal." + m_settings.id + "." + id + "\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    while (event < m_settings.events && m_process == process) {
        sleepMs(m_settings.eventMs);
        while (m_isSilent && m_process == process)
            sleepMs(2);
        if (m_process != process)
            break;
        isConnected = isConnected && !connection.isClosedByPeer();
        if (!isConnected && m_settings.dropsClosed)
            break;
        ++event;
        const auto data = "id: " + std::to_string(event) + "\ndata: " + version + " " + m_settings.id + " " + id + "\n\n";
        char size[32];
        std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
        if (isConnected)
            isConnected = connection.write(size + data + "\r\n");
    }
    if (const auto silentMs = event == m_settings.events && event > from ? m_silentAtEndMs.exchange(0) : 0; silentMs > 0) {
        m_record.line("engine " + m_settings.id + " falls silent for " + std::to_string(silentMs) + " ms after the last event of " + id);
        m_isSilent = true;
        sleepMs(silentMs);
        m_isSilent = false;
        m_record.line("engine " + m_settings.id + " goes on");
        isConnected = isConnected && !connection.isClosedByPeer();
    }
    const auto isComplete = event == m_settings.events;
    m_record.line("engine " + m_settings.id + " ends " + id + " at event " + std::to_string(event) + (isComplete ? ", complete" : ", broken off") + ", began after " + std::to_string(from) + (isConnected ? "" : ", its connection was closed"));
    if (m_runs)
        m_runs->add(id, m_settings.id, begin, elapsed());
    return isComplete && isConnected && connection.write("0\r\n\r\n");
}

auto Engine::answer(Connection& connection, const Message& message, int process) -> bool
{
    const auto id = message.header("Request-Id");
    const auto expected = message.header("Expect-Replica");
    if (!expected.empty() && expected != m_settings.id)
        return connection.write(response(421, { { "Replica-Id", m_settings.id }, { "Request-Id", id } }, {}));
    if (message.target().starts_with("/-/"))
        return connection.write(control(message));
    const auto isPrefill = message.header("Stage") == "prefill";
    if (isPrefill != (m_settings.phase == "prefill"))
        return connection.write(response(421, { { "Replica-Id", m_settings.id }, { "Request-Id", id } }, {}));
    if (isPrefill) {
        sleepMs(m_settings.prefillMs);
        if (m_process != process)
            return false;
        return connection.write(response(200, { { "Content-Type", "application/json" }, { "Request-Id", id } }, R"({"handleId":")" + m_settings.id + "x" + std::to_string(++m_lastName) + R"(","tokens":3200,"version":1})"));
    }
    if (m_running >= m_settings.slots)
        return connection.write(response(503, { { "Not-Executed", "1" }, { "Request-Id", id } }, {}));
    ++m_running;
    const auto isComplete = stream(connection, message, process);
    if (m_process == process)
        --m_running;
    return isComplete;
}

auto Engine::serve(Connection& connection) -> void
{
    const int process = m_process;
    Message message;
    // The connections of a process end with it.
    while (process != 0 && m_process == process) {
        if (!connection.hasReceivedBytes() && connection.isClosedByPeer())
            return;
        if (!connection.hasReceivedBytes() && !connection.waitForBytes(idleTimeoutMs))
            continue;
        if (!connection.readMessage(message, 2'000) || m_process != process || !answer(connection, message, process))
            return;
    }
}

}
