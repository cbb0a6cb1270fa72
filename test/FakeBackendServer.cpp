#include "FakeBackendServer.h"

#include "Pause.h"

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Interval at which a silent stream looks whether it may go on.
constexpr Duration silenceStep = std::chrono::milliseconds(5);
const HttpHeader leavingField { "Server-Leaving", "1" };
/// Time in which a server that crashes stops to accept connections.
constexpr Duration listenEndTime = std::chrono::milliseconds(10);

auto serverSettings(const HttpEndpoint& endpoint) -> HttpServerSettings
{
    HttpServerSettings settings;
    settings.endpoint = endpoint;
    return settings;
}

auto headerValue(const HttpRequest& request, std::string_view name) -> std::string
{
    return std::string(findHeader(request.headers, name).value_or(std::string_view()));
}

}

auto streamEventText(int index, const std::string& version) -> std::string
{
    return "id: " + std::to_string(index) + "\ndata: token " + std::to_string(index) + (version.empty() ? "" : " of " + version) + "\n\n";
}

FakeBackendServer::FakeBackendServer(IoThreads& threads, std::string id, Behaviour behaviour, const HttpEndpoint& listen)
    : m_id(std::move(id))
    , m_behaviour(behaviour)
    , m_server(threads, serverSettings(listen), [this](HttpExchange& exchange) { return handle(exchange); })
{
}

auto FakeBackendServer::lastRequest() const -> HttpRequest
{
    const std::lock_guard guard(m_lock);
    return m_last;
}

auto FakeBackendServer::setRetryDelay(std::string text) -> void
{
    const std::lock_guard guard(m_lock);
    m_retryDelay = std::move(text);
}

auto FakeBackendServer::retryDelay() const -> std::string
{
    const std::lock_guard guard(m_lock);
    return m_retryDelay;
}

auto FakeBackendServer::respond(HttpExchange& exchange, HttpResponse response) -> asio::awaitable<void>
{
    if (m_isLeaving)
        response.headers.push_back(leavingField);
    co_await exchange.respond(std::move(response));
}

auto FakeBackendServer::handleControl(HttpExchange& exchange) -> asio::awaitable<void>
{
    ++m_controlCalls;
    const auto isReservation = exchange.request().target == "/-/hold-take";
    if (isReservation && m_reservationTime.load() > Duration::zero())
        co_await pause(m_reservationTime);
    m_releasedReservations += exchange.request().target.starts_with("/-/hold-drop/");
    auto response = jsonResponse(200, isReservation ? R"({"hold":"seat"})" : "{}");
    if (isReservation && (m_isFull || m_refusesReservations)) {
        ++m_refusedReservations;
        response = jsonResponse(409, "{}");
    }
    if (const auto delay = retryDelay(); !delay.empty())
        response = { 503, { { "Not-Executed", "1" }, { "Retry-After", delay } }, {} };
    co_await respond(exchange, std::move(response));
}

auto FakeBackendServer::handle(HttpExchange& exchange) -> asio::awaitable<void>
{
    const auto& request = exchange.request();
    m_onArrival(request);
    if (request.target.starts_with("/-/")) {
        co_await handleControl(exchange);
        co_return;
    }
    if (m_hasCrashed) {
        exchange.abort();
        co_return;
    }
    ++m_requests;
    {
        const std::lock_guard guard(m_lock);
        m_last = request;
    }
    if (headerValue(request, "Expect-Replica") != m_id) {
        HttpResponse misdirected { 421, { { "Replica-Id", m_id }, { "Not-Executed", "1" }, { "Request-Id", headerValue(request, "Request-Id") } }, {} };
        co_await respond(exchange, std::move(misdirected));
        co_return;
    }
    const auto behaviour = m_behaviour.load();
    const auto delay = retryDelay();
    const auto lacksSlot = m_isFull && headerValue(request, "Stage") != "prefill" && headerValue(request, "Cache-Hold").empty();
    if (behaviour == Behaviour::Reject || !delay.empty() || lacksSlot) {
        HttpResponse rejection { 503, { { "Not-Executed", "1" }, { "Request-Id", headerValue(request, "Request-Id") } }, {} };
        if (!delay.empty()) {
            rejection.headers.push_back({ "Retry-After", delay });
            m_onRejection(headerValue(request, "Request-Id"), headerValue(request, "Stage"), delay);
        }
        co_await respond(exchange, std::move(rejection));
        co_return;
    }
    m_onStart(request);
    m_onRun(headerValue(request, "Request-Id"), headerValue(request, "Stage"));
    if (m_work.load() > Duration::zero())
        co_await pause(m_work);
    std::vector<HttpHeader> headers { { "Server-Seal", "seal-" + m_id }, { "Request-Id", headerValue(request, "Request-Id") } };
    if (const auto limit = m_limit.load(); limit > 0)
        headers.push_back({ "Server-Limit", std::to_string(limit) });
    if (headerValue(request, "Stage") == "prefill") {
        ++m_prefills;
        HttpResponse result { 200, headers, R"({"handleId":"h1","tokens":100,"version":1})" };
        co_await respond(exchange, std::move(result));
        co_return;
    }
    ++m_runs;
    if (behaviour == Behaviour::Crash && request.target.find("crash") != std::string::npos) {
        // When a process ends, it accepts no connection after the open ones have broken.
        m_server.stopAccepting();
        co_await pause(listenEndTime);
        m_hasCrashed = true;
    }
    if (m_hasCrashed) {
        exchange.abort();
        co_return;
    }
    if (behaviour == Behaviour::Stall)
        co_await pause(std::chrono::milliseconds(500));
    if (behaviour == Behaviour::DropConnection) {
        exchange.abort();
        co_return;
    }
    if (behaviour == Behaviour::WrongRequestId)
        headers[1].value = "another";
    if (!headerValue(request, "Model").empty()) {
        co_await stream(exchange, std::move(headers));
        co_return;
    }
    m_onFirstEvent(request);
    HttpResponse response { behaviour == Behaviour::Fail ? 500U : 200U, std::move(headers), request.method + " " + request.target + " " + request.body };
    co_await respond(exchange, std::move(response));
}

auto FakeBackendServer::stream(HttpExchange& exchange, std::vector<HttpHeader> headers) -> asio::awaitable<void>
{
    const auto last = headerValue(exchange.request(), "Last-Event-Id");
    const auto first = last.empty() ? 1 : std::stoi(last) + 1;
    headers.push_back({ "Content-Type", "text/event-stream" });
    if (m_isLeaving)
        headers.push_back(leavingField);
    exchange.onClose([this] { ++m_closedRuns; });
    co_await exchange.startStream(200, std::move(headers));
    for (auto event = first; event <= m_events; ++event) {
        if (m_behaviour == Behaviour::TruncateStream && event == 3) {
            co_await exchange.write("id: 3\nda");
            exchange.abort();
            co_return;
        }
        if (m_gap.load() > Duration::zero())
            co_await pause(m_gap);
        while (m_isSilent && event > first)
            co_await pause(silenceStep);
        if (event == first)
            m_onFirstEvent(exchange.request());
        co_await exchange.write(streamEventText(event, m_version));
    }
    if (m_endDelay.load() > Duration::zero() && first <= m_events)
        co_await pause(m_endDelay);
    co_await exchange.finishStream();
}

}
