#include "Engine.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace review {

namespace {

namespace json = boost::json;

constexpr int idleTimeoutMs = 200;
/// Prompt and answer of each request.
constexpr int streamTokens = 3'272;

auto parseBody(const Message& message) -> json::object
{
    boost::system::error_code code;
    auto value = json::parse(message.body, code);
    return code || !value.is_object() ? json::object() : value.as_object();
}

auto number(const json::object& object, const char* name) -> std::int64_t
{
    const auto* value = object.if_contains(name);
    return value && value->is_number() ? value->to_number<std::int64_t>() : -1;
}

auto textOf(const json::object& object, const char* name) -> std::string
{
    const auto* value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

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

auto Engine::phase() const -> std::string
{
    const std::lock_guard guard(m_lock);
    return m_phase;
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
        m_phase = m_settings.phase;
        m_holds.clear();
        m_kvUsed = 0;
        m_sequence = 0;
        m_fence = 0;
        m_isSwitching = false;
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
        + R"(","slots":)" + std::to_string(m_settings.slots) + R"(,"state":"ready","coldLeftMs":0,"phase":")" + m_phase
        + R"(","models":[{"name":"m","version":1,"adapters":[]}],"sequence":)" + std::to_string(m_sequence) + R"(,"born":)" + std::to_string(m_born) + "}";
}

auto Engine::dropExpiredLocked() -> void
{
    std::erase_if(m_holds, [](const auto& hold) { return hold.second.until <= elapsed(); });
}

auto Engine::takeHold(const Message& message) -> std::string
{
    const auto body = parseBody(message);
    const auto tokens = static_cast<int>(std::max<std::int64_t>(number(body, "tokens"), 0));
    const std::lock_guard guard(m_lock);
    dropExpiredLocked();
    auto used = m_kvUsed + tokens;
    for (const auto& [name, hold] : m_holds)
        used += hold.tokens;
    if (m_isSwitching || m_running + static_cast<int>(m_holds.size()) >= m_settings.slots || used > m_settings.kvCapacity)
        return response(503, { { "Not-Executed", "1" }, { "Replica-Id", m_settings.id } }, {});
    const auto name = "h" + std::to_string(++m_lastName);
    m_holds[name] = { tokens, elapsed() + static_cast<double>(number(body, "ttlMs")) / 1'000 };
    return response(200, { { "Content-Type", "application/json" }, { "Replica-Id", m_settings.id } }, R"({"hold":")" + name + R"("})");
}

auto Engine::takeSlot(const std::string& hold) -> bool
{
    const std::lock_guard guard(m_lock);
    dropExpiredLocked();
    const auto isReserved = m_holds.erase(hold) > 0;
    auto used = m_kvUsed + streamTokens;
    for (const auto& [name, other] : m_holds)
        used += other.tokens;
    if (m_isSwitching || (!isReserved && (m_running + static_cast<int>(m_holds.size()) >= m_settings.slots || used > m_settings.kvCapacity)))
        return false;
    ++m_running;
    m_kvUsed += streamTokens;
    return true;
}

auto Engine::switchPhase(std::string phase, int process) -> void
{
    // Running work completes, and the engine is back roleSwitchS later.
    while (m_process == process && m_running > 0)
        sleepMs(10);
    sleepMs(static_cast<int>(m_settings.roleSwitchS * 1'000));
    {
        const std::lock_guard guard(m_lock);
        if (m_process != process)
            return;
        m_phase = std::move(phase);
        m_isSwitching = false;
    }
    m_onChange();
}

auto Engine::order(const Message& message) -> std::string
{
    const Headers type { { "Content-Type", "application/json" }, { "Replica-Id", m_settings.id } };
    const auto body = parseBody(message);
    const auto fence = number(body, "fence");
    const auto expected = number(body, "expected");
    const auto phase = textOf(body, "phase");
    m_record.line("engine " + m_settings.id + " gets order " + message.body);
    const std::lock_guard guard(m_lock);
    if (textOf(body, "op") != "phase" || textOf(body, "owner").empty() || fence < 0 || (phase != "prefill" && phase != "decode"))
        return response(400, type, "{}");
    if (fence < m_fence)
        return response(412, type, "{}");
    m_fence = fence;
    if (m_isSwitching || (expected >= 0 && expected != m_sequence))
        return response(409, type, "{}");
    if (phase == m_phase)
        return response(200, type, "{}");
    ++m_sequence;
    m_isSwitching = true;
    std::thread([this, phase, process = m_process.load()] { switchPhase(phase, process); }).detach();
    return response(202, type, "{}");
}

auto Engine::control(const Message& message) -> std::string
{
    const Headers type { { "Content-Type", "application/json" }, { "Replica-Id", m_settings.id } };
    const std::string holdPath = "/-/hold-drop/";
    const auto target = message.target();
    if (target == "/-/hold-take")
        return takeHold(message);
    if (target == "/-/order")
        return order(message);
    const std::lock_guard guard(m_lock);
    if (target.starts_with(holdPath))
        m_holds.erase(target.substr(holdPath.size()));
    if (target == "/-/report")
        return response(200, type, R"({"phase":")" + m_phase + R"(","models":[{"name":"m","version":1,"adapters":[]}],"busy":)" + (m_isSwitching ? "true" : "false") + R"(,"sequence":)" + std::to_string(m_sequence) + R"(,"queued":0,"running":)" + std::to_string(m_running) + R"(,"kvUsed":)" + std::to_string(m_kvUsed) + R"(,"kvTotal":)" + std::to_string(m_settings.kvCapacity) + R"(,"kvHandles":0,"born":)" + std::to_string(m_born) + "}");
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
    // A silent engine answers nothing.
    while (m_isSilent && m_process == process)
        sleepMs(2);
    if (message.target().starts_with("/-/"))
        return connection.write(control(message));
    const Headers rejected { { "Not-Executed", "1" }, { "Request-Id", id } };
    const auto isPrefill = message.header("Stage") == "prefill";
    if (isPrefill != (phase() == "prefill"))
        return connection.write(response(421, { { "Replica-Id", m_settings.id }, { "Request-Id", id } }, {}));
    if (isPrefill) {
        {
            const std::lock_guard guard(m_lock);
            if (m_isSwitching)
                return connection.write(response(503, rejected, {}));
        }
        sleepMs(m_settings.prefillMs);
        if (m_process != process)
            return false;
        return connection.write(response(200, { { "Content-Type", "application/json" }, { "Request-Id", id } }, R"({"handleId":")" + m_settings.id + "x" + std::to_string(++m_lastName) + R"(","tokens":3200,"version":1})"));
    }
    if (!takeSlot(message.header("Cache-Hold")))
        return connection.write(response(503, rejected, {}));
    const auto isComplete = stream(connection, message, process);
    const std::lock_guard guard(m_lock);
    if (m_process == process) {
        --m_running;
        m_kvUsed -= streamTokens;
    }
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
