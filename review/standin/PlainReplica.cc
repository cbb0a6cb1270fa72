#include "PlainReplica.h"

namespace review {

namespace {

constexpr int idleTimeoutMs = 30'000;

}

PlainReplica::PlainReplica(PlainReplicaSettings settings, Record& record, std::function<void(const std::string&)> onRun)
    : m_settings(std::move(settings))
    , m_record(record)
    , m_onRun(std::move(onRun))
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , m_server(std::make_unique<Server>(m_settings.address, [this](Connection& connection) { serve(connection); }))
{
}

auto PlainReplica::entry() const -> std::string
{
    return R"({"service":")" + m_settings.service + R"(","address":")" + text(m_settings.address) + R"(","zone":")" + m_settings.zone
        + R"(","version":"v1","slots":)" + std::to_string(m_settings.slots) + R"(,"state":"ready","coldLeftMs":0,"sequence":0,"born":)" + std::to_string(m_born) + "}";
}

auto PlainReplica::takeSlot() -> bool
{
    std::unique_lock guard(m_lock);
    if (m_waiting >= m_settings.queue)
        return false;
    ++m_waiting;
    m_freed.wait(guard, [this] { return m_running < m_settings.slots; });
    --m_waiting;
    ++m_running;
    return true;
}

auto PlainReplica::answer(const Message& message) -> std::string
{
    const auto id = message.header("Request-Id");
    if (message.target() == "/health")
        return response(200, { { "Replica-Id", m_settings.id } }, {});
    const auto expected = message.header("Expect-Replica");
    if (!expected.empty() && expected != m_settings.id)
        return response(421, { { "Replica-Id", m_settings.id }, { "Request-Id", id } }, {});
    if (id.empty())
        return response(400, { { "Not-Executed", "1" } }, {});
    if (!takeSlot())
        return response(503, { { "Not-Executed", "1" }, { "Request-Id", id } }, {});
    m_record.line("replica " + m_settings.id + " runs " + id);
    m_onRun(id);
    sleepMs(m_settings.workMs);
    {
        const std::lock_guard guard(m_lock);
        --m_running;
    }
    m_freed.notify_one();
    return response(200, { { "Request-Id", id }, { "Server-Seal", "seal." + m_settings.id + "." + id }, { "Keep-Alive", "timeout=30" } }, std::string(static_cast<std::size_t>(m_settings.answerBytes), 'a'));
}

auto PlainReplica::serve(Connection& connection) -> void
{
    Message message;
    while (connection.readMessage(message, idleTimeoutMs)) {
        if (!connection.write(answer(message)))
            return;
    }
}

}
