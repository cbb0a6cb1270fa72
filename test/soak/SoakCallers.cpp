#include "SoakCallers.h"

#include "Pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <random>
#include <thread>

namespace jayhold::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t callerCount = 16;
constexpr auto maxPause = milliseconds(40);
constexpr auto callTimeout = std::chrono::seconds(5);
constexpr int streamEventCount = 5;
/// Precedes the name of a backend server in its signature.
constexpr std::string_view sealPrefix = "seal-";

auto targetOf(CallKind kind) -> std::string
{
    switch (kind) {
    case CallKind::IdempotentGet:
        return "/read/x?a=1";
    case CallKind::NonIdempotentPost:
        return "/post/x";
    case CallKind::ResumableStream:
        return "/resumed/x";
    case CallKind::NonResumableStream:
        return "/once/x";
    }
    return {};
}

auto isStream(CallKind kind) -> bool
{
    return kind == CallKind::ResumableStream || kind == CallKind::NonResumableStream;
}

auto expectedBody(CallKind kind, const HttpRequest& request) -> std::string
{
    if (!isStream(kind))
        return request.method + " " + request.target + " " + request.body;
    std::string text;
    for (int event = 1; event <= streamEventCount; ++event)
        text += "id: " + std::to_string(event) + "\ndata: token " + std::to_string(event) + "\n\n";
    return text;
}

auto makeRequest(CallKind kind, const std::string& id) -> HttpRequest
{
    HttpRequest request { kind == CallKind::IdempotentGet ? "GET" : "POST", targetOf(kind), { { "Host", "a.example" }, { "Request-Id", id }, { "Deadline-Ms", std::to_string(callerTimeout.count()) } }, {} };
    if (kind != CallKind::IdempotentGet)
        request.body = "body of " + id;
    if (isStream(kind)) {
        request.headers.push_back({ "Model", "m" });
        request.headers.push_back({ "Token-Counts", "100,200" });
    }
    return request;
}

/// @return the error in a successful response; empty if the response is correct or not a success.
auto checkResponse(CallKind kind, const HttpRequest& request, const std::string& id, const HttpResponse& response) -> std::string
{
    if (response.status / 100 != 2)
        return {};
    const auto seal = findHeader(response.headers, "Server-Seal");
    if (!seal || !seal->starts_with(sealPrefix))
        return "a success without the Server-Seal header of a backend server";
    if (const auto echoed = findHeader(response.headers, "Request-Id"); echoed && *echoed != id)
        return "the response belongs to request " + std::string(*echoed);
    if (response.body != expectedBody(kind, request))
        return "unexpected body: " + response.body;
    return {};
}

}

SoakCallers::SoakCallers(std::vector<HttpEndpoint> endpoints, std::uint64_t seed)
    : m_endpoints(std::move(endpoints))
    , m_seed(seed)
{
}

SoakCallers::~SoakCallers()
{
    m_threads.stop();
}

auto SoakCallers::start() -> void
{
    for (const auto end = m_startedCallers + callerCount; m_startedCallers < end; ++m_startedCallers) {
        const auto caller = m_startedCallers;
        ++m_runningCallers;
        asio::co_spawn(m_threads.context(caller % m_threads.size()), runCaller(caller), asio::detached);
    }
}

auto SoakCallers::stop() -> void
{
    m_isStopping = true;
    while (m_runningCallers > 0)
        std::this_thread::sleep_for(milliseconds(5));
}

auto SoakCallers::records() const -> std::vector<CallRecord>
{
    const std::lock_guard guard(m_lock);
    return m_records;
}

auto SoakCallers::runCaller(std::size_t caller) -> asio::awaitable<void>
{
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(m_seed * callerCount + caller + 1));
    while (!m_isStopping) {
        const auto kind = static_cast<CallKind>(random() % 4);
        const auto entry = random() % m_endpoints.size();
        auto record = co_await callOnce(m_threads.client(caller % m_threads.size()), kind, entry);
        {
            const std::lock_guard guard(m_lock);
            m_records.push_back(std::move(record));
        }
        co_await pause(milliseconds(random() % maxPause.count()));
    }
    --m_runningCallers;
}

auto SoakCallers::callOnce(HttpClient& client, CallKind kind, std::size_t entry) -> asio::awaitable<CallRecord>
{
    CallRecord record;
    record.request = "r" + std::to_string(++m_lastRequest);
    record.kind = kind;
    record.entry = entry;
    record.sentAt = monotonicNow();
    const auto request = makeRequest(kind, record.request);
    HttpCallOptions options;
    options.timeout = callTimeout;
    // A reused connection can be closed while the request arrives. The client doesn't retry, so the
    // number of runs depends on the entry instance alone.
    options.mayReuse = true;
    const auto response = co_await client.request(m_endpoints[entry], request, options);
    record.endedAt = monotonicNow();
    if (response.has_error()) {
        record.wasConnected = response.error().kind != HttpErrorKind::NotConnected;
    } else {
        record.status = response->status;
        if (const auto seal = findHeader(response->headers, "Server-Seal"); seal && seal->starts_with(sealPrefix))
            record.answeredBy = seal->substr(sealPrefix.size());
        record.responseError = checkResponse(kind, request, record.request, *response);
    }
    co_return record;
}

}
