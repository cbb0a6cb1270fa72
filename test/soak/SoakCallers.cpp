#include "SoakCallers.h"

#include "FakeBackendServer.h"
#include "ParseNumber.h"
#include "Pause.h"
#include "ReplicaControl.h"

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
/// So that a caller that is refused sends about as many requests as one that is served.
constexpr auto maxRefusalPause = milliseconds(200);
constexpr auto callTimeout = std::chrono::seconds(5);
constexpr int streamEventCount = 5;
/// Requests with which a caller tries to take up a stream, and the longest time before one of them.
/// First part of the prompts with the crashing part and of many others, with its number of tokens.
constexpr std::string_view firstPart = "7:40,";
constexpr int maxTakeUps = 10;
constexpr auto maxTakeUpPause = milliseconds(1'500);
/// Precedes the name of a backend server in its signature.
constexpr std::string_view sealPrefix = "seal-";

auto targetOf(const CallRecord& record) -> std::string
{
    if (isCrashingCall(record))
        return std::string(crashingTarget);
    if (record.identity.isPublic)
        return "/open/x";
    switch (record.kind) {
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

/// @return the body of a correct response; the versions of the events are those that have arrived.
auto expectedBody(const CallRecord& record, const HttpRequest& request) -> std::string
{
    if (!isStream(record.kind))
        return request.method + " " + request.target + " " + request.body;
    std::string text;
    auto event = record.events.begin();
    for (auto index = record.lastEvent + 1; index <= streamEventCount; ++index)
        text += streamEventText(index, event == record.events.end() ? std::string() : (event++)->version);
    return text;
}

auto lastEventOf(const CallRecord& record) -> int
{
    return record.events.empty() ? record.lastEvent : record.events.back().index;
}

/// @return whether the caller has a part of a stream and may take it up.
auto mayTakeUp(const CallRecord& record) -> bool
{
    const auto last = lastEventOf(record);
    return record.kind == CallKind::ResumableStream && record.status / 100 != 2 && last > 0 && last < streamEventCount;
}

auto makeRequest(const CallRecord& record) -> HttpRequest
{
    const auto kind = record.kind;
    HttpRequest request { kind == CallKind::IdempotentGet ? "GET" : "POST", targetOf(record), { { "Host", "a.example" }, { "Request-Id", record.request }, { "Deadline-Ms", std::to_string(callerTimeout.count()) } }, {} };
    addCredentials(request.headers, record.identity);
    const auto isNew = record.resumes.empty();
    if (kind != CallKind::IdempotentGet)
        request.body = "body of " + (isNew ? record.request : record.resumes);
    if (!isNew) {
        request.headers.push_back({ "Last-Event-Id", std::to_string(record.lastEvent) });
        request.headers.push_back({ "Resumes", record.resumes });
    }
    if (isStream(kind)) {
        request.headers.push_back({ "Model", "m" });
        request.headers.push_back({ "Token-Counts", "100,200" });
        request.headers.push_back({ "Prompt-Prefix", record.promptParts });
    }
    return request;
}

/// @return the error in a successful response; empty if the response is correct or not a success.
auto checkResponse(const CallRecord& record, const HttpRequest& request, const HttpResponse& response) -> std::string
{
    if (response.status / 100 != 2)
        return {};
    const auto seal = findHeader(response.headers, "Server-Seal");
    if (!seal || !seal->starts_with(sealPrefix))
        return "a success without the Server-Seal header of a backend server";
    if (const auto echoed = findHeader(response.headers, "Request-Id"); echoed && *echoed != record.request)
        return "the response belongs to request " + std::string(*echoed);
    if (response.body != expectedBody(record, request))
        return "unexpected body: " + response.body;
    return {};
}

}

auto hasCrashingPart(const CallRecord& call) -> bool
{
    return isStream(call.kind) && call.promptParts.find(crashingPart) != std::string::npos;
}

auto isCrashingCall(const CallRecord& call) -> bool
{
    return call.kind == CallKind::IdempotentGet && call.promptParts.find(crashingPart) != std::string::npos;
}

auto sharesFirstPart(const CallRecord& call) -> bool
{
    return isStream(call.kind) && call.promptParts.starts_with(firstPart) && !hasCrashingPart(call);
}

auto parseStreamEvents(std::string_view body) -> std::vector<StreamEvent>
{
    constexpr std::string_view indexPrefix = "id: ";
    constexpr std::string_view versionPrefix = " of ";
    std::vector<StreamEvent> events;
    for (auto end = body.find("\n\n"); end != std::string_view::npos; end = body.find("\n\n")) {
        const auto text = body.substr(0, end);
        body.remove_prefix(end + 2);
        StreamEvent event;
        if (text.starts_with(indexPrefix))
            event.index = parseNumber<int>(text.substr(indexPrefix.size(), text.find('\n') - indexPrefix.size())).value_or(0);
        if (const auto version = text.rfind(versionPrefix); version != std::string_view::npos)
            event.version = text.substr(version + versionPrefix.size());
        events.push_back(std::move(event));
    }
    return events;
}

SoakCallers::SoakCallers(std::vector<HttpEndpoint> endpoints, std::uint64_t seed, bool hasCustomers)
    : m_endpoints(std::move(endpoints))
    , m_seed(seed)
    , m_hasCustomers(hasCustomers)
{
}

SoakCallers::~SoakCallers()
{
    m_threads.stop();
}

auto SoakCallers::start() -> void
{
    for (const auto end = m_startedCallers + callerCount; m_startedCallers < end; ++m_startedCallers)
        spawnCaller(m_startedCallers);
}

auto SoakCallers::startBurst(std::size_t callers) -> void
{
    for (std::size_t caller = 0; caller < callers; ++caller)
        spawnCaller(firstBurstCaller + caller);
}

auto SoakCallers::spawnCaller(std::size_t caller) -> void
{
    ++m_runningCallers;
    asio::co_spawn(m_threads.context(caller % m_threads.size()), runCaller(caller), asio::detached);
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
    while (!isStopping(caller)) {
        const auto kind = static_cast<CallKind>(random() % 4);
        const auto entry = random() % m_endpoints.size();
        auto& client = m_threads.client(caller % m_threads.size());
        auto promptParts = makePromptParts(kind, static_cast<std::uint32_t>(random()));
        auto identity = m_hasCustomers ? makeIdentity(customerOf(caller), kind == CallKind::IdempotentGet, static_cast<std::uint32_t>(random())) : CallerIdentity();
        auto record = co_await callOnce(client, kind, entry, std::move(promptParts), std::move(identity), nullptr);
        for (auto takeUps = 0; takeUps < maxTakeUps && mayTakeUp(record) && !isStopping(caller); ++takeUps) {
            // Most callers return at once; the others may find that all instances have been restarted meanwhile.
            const auto longest = random() % 4 == 0 ? maxTakeUpPause : maxPause;
            co_await pause(milliseconds(random() % longest.count()));
            auto next = co_await callOnce(client, kind, random() % m_endpoints.size(), record.promptParts, record.identity, &record);
            store(std::exchange(record, std::move(next)));
        }
        const auto isRefusedCustomer = m_hasCustomers && (record.status == statusUnknownKey || record.status == statusOverQuota);
        store(std::move(record));
        co_await pause(milliseconds(random() % (isRefusedCustomer ? maxRefusalPause : maxPause).count()));
    }
    --m_runningCallers;
}

auto SoakCallers::store(CallRecord record) -> void
{
    const std::lock_guard guard(m_lock);
    m_records.push_back(std::move(record));
}

auto SoakCallers::readBody(HttpStream& stream, std::string& body, CallRecord& record) -> asio::awaitable<bool>
{
    const auto resets = m_streamResets.load();
    while (true) {
        const auto chunk = co_await stream.readSome(callTimeout);
        if (chunk.has_error())
            co_return false;
        if (chunk->empty())
            co_return true;
        body += *chunk;
        record.wasReset = isStream(record.kind) && m_streamResets != resets;
        if (record.wasReset)
            co_return false;
    }
}

auto SoakCallers::makePromptParts(CallKind kind, std::uint32_t random) -> std::string
{
    constexpr std::uint32_t crashingInterval = 30;
    const auto isCrashing = (isStream(kind) ? m_isSendingCrashingParts : m_isSendingCrashingCalls) && random % crashingInterval == 0;
    const auto hasFirstPart = isCrashing || random % 2 == 0;
    // Only decimal digits, so that no other part contains the crashing one.
    const auto ownPart = std::to_string(++m_lastPart) + ":40";
    return (hasFirstPart ? std::string(firstPart) : "") + (isCrashing ? std::string(crashingPart) + ":20," : "") + ownPart;
}

auto SoakCallers::callOnce(HttpClient& client, CallKind kind, std::size_t entry, std::string promptParts, CallerIdentity identity, const CallRecord* previous) -> asio::awaitable<CallRecord>
{
    CallRecord record;
    record.request = "r" + std::to_string(++m_lastRequest);
    record.kind = kind;
    record.entry = entry;
    record.promptParts = std::move(promptParts);
    record.identity = std::move(identity);
    // The call that crashes servers has no public route.
    record.identity.isPublic = record.identity.isPublic && !isCrashingCall(record);
    if (previous) {
        record.lastEvent = lastEventOf(*previous);
        record.resumes = previous->resumes.empty() ? previous->request : previous->resumes;
    }
    record.sentAt = monotonicNow();
    const auto request = makeRequest(record);
    HttpCallOptions options;
    options.timeout = callTimeout;
    // A reused connection can be closed while the request arrives. The client doesn't retry, so the
    // number of runs depends on the entry instance alone.
    options.mayReuse = true;
    const auto opened = co_await client.open(m_endpoints[entry], request, options);
    if (opened.has_error()) {
        record.endedAt = monotonicNow();
        record.wasConnected = opened.error().kind != HttpErrorKind::NotConnected;
        co_return record;
    }
    auto& stream = **opened;
    HttpResponse response { stream.status(), stream.headers(), {} };
    record.hasBegun = response.status / 100 == 2;
    const auto isWhole = co_await readBody(stream, response.body, record);
    record.endedAt = monotonicNow();
    if (isWhole)
        stream.release();
    else
        stream.close();
    if (isStream(kind) && response.status / 100 == 2)
        record.events = parseStreamEvents(response.body);
    if (!isWhole)
        co_return record;
    record.status = response.status;
    if (const auto seal = findHeader(response.headers, "Server-Seal"); seal && seal->starts_with(sealPrefix))
        record.answeredBy = seal->substr(sealPrefix.size());
    record.responseError = checkResponse(record, request, response);
    co_return record;
}

}
