#pragma once

/// The caller API of an entry instance without a cluster: the test provides the configuration, the
/// backend servers and the at-most-once records.

#include "EntryConfiguration.h"
#include "HttpTestServer.h"

#include "CallerApi.h"
#include "ServiceTable.h"

#include <thread>

namespace jayhold {

class EntryHarness {
public:
    explicit EntryHarness(AtMostOnceRecords& records, const BackendProtocol& backends = nativeBackendProtocol())
        : m_records(records)
        , m_context { .settings = m_settings, .threads = m_threads, .log = m_log, .backendProtocol = backends }
    {
        m_settings.instance = "entry-1";
        m_settings.availabilityZone = "alpine";
        m_settings.timeouts = { std::chrono::milliseconds(500), std::chrono::milliseconds(500), std::chrono::milliseconds(200) };
        m_context.runId = "run";
        m_services.updateConfiguration(entryConfiguration());
    }
    ~EntryHarness()
    {
        m_services.stop();
        m_threads.stop();
    }
    EntryHarness(const EntryHarness&) = delete;
    auto operator=(const EntryHarness&) -> EntryHarness& = delete;

    auto threads() -> IoThreads& { return m_threads; }
    auto context() -> EntryContext& { return m_context; }
    auto services() -> ServiceTable& { return m_services; }
    auto endpoint() const -> HttpEndpoint { return m_server.endpoint(); }

    auto addBackend(std::string id, std::string pool, HttpEndpoint endpoint) -> void
    {
        m_backends.push_back({ std::move(id), std::move(endpoint), "alpine", std::move(pool) });
        m_services.updateBackends(m_backends);
    }

    auto removeBackend(std::string_view id) -> void
    {
        std::erase_if(m_backends, [&](const BackendServer& backend) { return backend.id == id; });
        m_services.updateBackends(m_backends);
    }

    /// Sends a request with the valid key of a customer.
    auto call(HttpRequest request) -> HttpResult<HttpResponse>
    {
        request.headers.push_back({ "Authorization", "Bearer members-key" });
        return runOn(m_threads, 0, m_threads.client(0).request(endpoint(), std::move(request), std::chrono::seconds(8)));
    }

    auto complete(bool isStream, const std::string& prompt = "a b c") -> HttpResponse
    {
        const std::string body = R"({"prompt":")" + prompt + R"(","max_tokens":10,"stream":)" + (isStream ? "true}" : "false}");
        return *call({ "POST", "/v1/completions", {}, body });
    }

private:
    AtMostOnceRecords& m_records;
    EntrySettings m_settings;
    EventLog m_log { "entry-1" };
    IoThreads m_threads { 3 };
    EntryContext m_context;
    ServiceTable m_services { m_context, m_records, [](std::string_view owner, std::string_view) { return owner == "lost"; } };
    CallerApi m_api { m_context, m_services };
    std::vector<BackendServer> m_backends;
    HttpServer m_server { m_threads, {}, [this](HttpExchange& exchange) { return m_api.handle(exchange); } };
};

/// Waits until a condition holds.
/// @return whether the condition held before the timeout.
template <typename Condition>
auto waitFor(Condition condition, std::chrono::milliseconds timeout = std::chrono::seconds(3)) -> bool
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

}
