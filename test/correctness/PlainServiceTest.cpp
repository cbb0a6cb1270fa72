#include "../EntryHarness.h"
#include "../FakeRecords.h"

#include "CallSignature.h"
#include "Pause.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>

#include <future>

using namespace jayhold;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

enum class Behaviour {
    Answer,
    /// Executes the call and closes the connection without a response.
    DropConnection,
    /// Responds that it is leaving and did not execute the call.
    Leaving,
    /// Answers after some time.
    Slow,
    /// Answers shortly before the deadline of the call.
    Silent,
};

/// A plain backend server that counts the calls that it executes.
class FakeService {
public:
    explicit FakeService(IoThreads& threads, Behaviour behaviour = Behaviour::Answer)
        : m_behaviour(behaviour)
        , m_server(threads, {}, [this](HttpExchange& exchange) { return handle(exchange); })
    {
    }

    auto endpoint() const -> HttpEndpoint { return m_server.endpoint(); }
    auto runs() const -> int { return m_runs; }

private:
    auto handle(HttpExchange& exchange) -> boost::asio::awaitable<void>
    {
        if (m_behaviour == Behaviour::Leaving) {
            co_await exchange.respond(jsonResponse(503, R"({"error":{"ran":"no"}})"));
            co_return;
        }
        if (m_behaviour == Behaviour::Slow)
            co_await pause(100ms);
        if (m_behaviour == Behaviour::Silent)
            co_await pause(1500ms);
        const auto number = ++m_runs;
        if (m_behaviour == Behaviour::DropConnection) {
            exchange.abort();
            co_return;
        }
        co_await exchange.respond(jsonResponse(201, exchange.request().method + " " + exchange.request().target + " run " + std::to_string(number)));
    }

    const Behaviour m_behaviour;
    std::atomic<int> m_runs { 0 };
    HttpServer m_server;
};

struct Fixture {
    ~Fixture() { threads.stop(); }

    auto deposit(std::string key, std::string body = "5") -> HttpResponse
    {
        std::vector<HttpHeader> headers;
        if (!key.empty())
            headers.push_back({ "Idempotency-Key", std::move(key) });
        return *harness.call({ "POST", "/services/coop-ledger/deposits", std::move(headers), std::move(body) });
    }

    /// Blocks some lookups as the cause of crashes, and allows a trial of each.
    auto blockForTrial(std::span<const std::string> items) -> void
    {
        std::vector<ListedPart> blocked;
        for (const auto& item : items)
            blocked.push_back({ callSignature({}, "members", { "GET", item, {}, {} }) });
        harness.services().updateBlockedParts("coop-ledger", blocked);
        for (const auto& part : blocked)
            harness.services().allowTrial("coop-ledger", part.part);
    }

    auto lookUp(const std::string& item) -> unsigned
    {
        return harness.call({ "GET", "/services/coop-ledger" + item, {}, {} })->status;
    }

    FakeRecords records;
    IoThreads threads { 1 };
    EntryHarness harness { records };
};

auto errorOf(const HttpResponse& response) -> std::string
{
    const auto error = json::parse(response.body).at("error");
    return std::to_string(response.status) + " " + std::string(error.at("type").as_string()) + " " + std::string(error.at("ran").as_string());
}

}

// Guards against a deposit that is executed twice, or whose repeat gets a different response.
TEST_CASE("a call that must not be repeated is executed once and its response is replayed")
{
    Fixture fixture;
    FakeService ledger(fixture.threads);
    fixture.harness.addBackend("ledger-1", "ledger", ledger.endpoint());
    CHECK(errorOf(fixture.deposit("")) == "400 idempotency_key_required no");
    const auto first = fixture.deposit("k1");
    CHECK(first.status == 201);
    CHECK(first.body == "POST /deposits run 1");
    const auto repeat = fixture.deposit("k1");
    CHECK(repeat.status == 201);
    CHECK(repeat.body == first.body);
    CHECK(findHeader(repeat.headers, "X-Jayhold-Replayed"));
    CHECK(errorOf(fixture.deposit("k1", "6")) == "422 idempotency_key_reused no");
    CHECK(ledger.runs() == 1);
}

// Guards against a second execution of a call that may already have been executed.
TEST_CASE("a call that was sent is never sent again")
{
    Fixture fixture;
    FakeService first(fixture.threads, Behaviour::DropConnection);
    FakeService second(fixture.threads, Behaviour::DropConnection);
    fixture.harness.addBackend("ledger-1", "ledger", first.endpoint());
    fixture.harness.addBackend("ledger-2", "ledger", second.endpoint());
    CHECK(errorOf(fixture.deposit("k1")) == "409 outcome_unknown unknown");
    CHECK(errorOf(fixture.deposit("k1")).substr(0, 3) == "409");
    CHECK(first.runs() + second.runs() == 1);
}

// Guards against a key that stays blocked by a call that was certainly not executed.
TEST_CASE("a call that was not executed leaves its key usable")
{
    Fixture fixture;
    FakeService leaving(fixture.threads, Behaviour::Leaving);
    fixture.harness.addBackend("ledger-1", "ledger", leaving.endpoint());
    CHECK(errorOf(fixture.deposit("k1")) == "503 no_backend no");
    CHECK(fixture.records.size() == 0);
    FakeService ledger(fixture.threads);
    fixture.harness.addBackend("ledger-2", "ledger", ledger.endpoint());
    CHECK(fixture.deposit("k1").status == 201);
}

// Guards against a response that does not show the caller the state of the record.
TEST_CASE("each state of a record has its response")
{
    Fixture fixture;
    FakeService ledger(fixture.threads);
    fixture.harness.addBackend("ledger-1", "ledger", ledger.endpoint());
    fixture.records.forcedDecision = RecordInProgress { 300ms };
    const auto running = fixture.deposit("k");
    CHECK(errorOf(running) == "409 in_progress unknown");
    CHECK(findHeader(running.headers, "Retry-After") == "1");
    fixture.records.forcedDecision = RecordUnknown {};
    CHECK(errorOf(fixture.deposit("k")) == "409 outcome_unknown unknown");
    fixture.records.forcedDecision = RecordMismatch {};
    CHECK(errorOf(fixture.deposit("k")) == "422 idempotency_key_reused no");
    fixture.records.forcedDecision = RecordUnavailable {};
    const auto unavailable = fixture.deposit("k");
    CHECK(errorOf(unavailable) == "503 records_unavailable no");
    CHECK(findHeader(unavailable.headers, "Retry-After"));
    CHECK(ledger.runs() == 0);
}

// Guards against a response that is withheld because it could not be stored, although the call was executed.
TEST_CASE("a response that cannot be stored still reaches the caller")
{
    Fixture fixture;
    FakeService ledger(fixture.threads);
    fixture.harness.addBackend("ledger-1", "ledger", ledger.endpoint());
    fixture.records.canFinish = false;
    CHECK(fixture.deposit("k1").status == 201);
    CHECK(errorOf(fixture.deposit("k1")) == "409 in_progress unknown");
    CHECK(ledger.runs() == 1);
}

// Guards against a lookup that fails although another backend server would execute it.
TEST_CASE("a repeatable call is retried on another backend server")
{
    Fixture fixture;
    FakeService dropping(fixture.threads, Behaviour::DropConnection);
    FakeService leaving(fixture.threads, Behaviour::Leaving);
    FakeService good(fixture.threads);
    fixture.harness.addBackend("ledger-1", "ledger", dropping.endpoint());
    fixture.harness.addBackend("ledger-2", "ledger", leaving.endpoint());
    fixture.harness.addBackend("ledger-3", "ledger", good.endpoint());
    for (auto count = 0; count < 6; ++count) {
        const auto answer = fixture.harness.call({ "GET", "/services/coop-ledger/items?q=1", {}, {} });
        CHECK(answer->status == 201);
        CHECK(answer->body.starts_with("GET /items?q=1 run"));
    }
}

// Guards against a trial that is used up without a run because it waited for a server, so that a harmless call stays
// blocked until the next trial.
TEST_CASE("the trial of a blocked call waits until a server is free")
{
    Fixture fixture;
    FakeService slow(fixture.threads, Behaviour::Slow);
    fixture.harness.addBackend("ledger-1", "ledger", slow.endpoint());
    const std::vector<std::string> items { "/items?q=1", "/items?q=2" };
    fixture.blockForTrial(items);
    auto first = std::async(std::launch::async, [&] { return fixture.lookUp(items.front()); });
    const auto second = fixture.lookUp(items.back());
    CHECK(first.get() == 201);
    CHECK(second == 201);
    CHECK(slow.runs() == 2);
}

// Guards against a trial that is used up by a server that rejected the call without running it.
TEST_CASE("the trial of a blocked call goes on after a server that did not run it")
{
    Fixture fixture;
    FakeService leaving(fixture.threads, Behaviour::Leaving);
    fixture.harness.addBackend("ledger-1", "ledger", leaving.endpoint());
    fixture.harness.addBackend("ledger-2", "ledger", leaving.endpoint());
    FakeService ledger(fixture.threads);
    fixture.harness.addBackend("ledger-3", "ledger", ledger.endpoint());
    for (auto number = 0; number < 8; ++number) {
        const std::vector<std::string> items { "/items?q=" + std::to_string(number) };
        fixture.blockForTrial(items);
        CHECK(fixture.lookUp(items.front()) == 201);
    }
}

// Guards against a trial that is used up while no server can take it, so that a harmless call stays blocked for minutes after
// the servers are back.
TEST_CASE("the trial of a blocked call is kept while there is no server")
{
    Fixture fixture;
    const std::vector<std::string> items { "/items?q=1" };
    fixture.blockForTrial(items);
    CHECK(fixture.lookUp(items.front()) == 503);
    FakeService ledger(fixture.threads);
    fixture.harness.addBackend("ledger-1", "ledger", ledger.endpoint());
    CHECK(fixture.lookUp(items.front()) == 201);
}

// Guards against a second server that runs a call that was found to crash servers while its first server was silent.
TEST_CASE("a silent call that has been blocked meanwhile is not sent to another server")
{
    Fixture fixture;
    FakeService silent(fixture.threads, Behaviour::Silent);
    fixture.harness.addBackend("ledger-1", "ledger", silent.endpoint());
    auto call = std::async(std::launch::async, [&] { return fixture.lookUp("/items?q=1"); });
    std::this_thread::sleep_for(100ms);
    FakeService other(fixture.threads);
    fixture.harness.addBackend("ledger-2", "ledger", other.endpoint());
    fixture.harness.services().updateBlockedParts("coop-ledger", { { callSignature({}, "members", { "GET", "/items?q=1", {}, {} }) } });
    CHECK(call.get() == 201);
    CHECK(other.runs() == 0);
    CHECK(silent.runs() == 1);
}

// Guards against requests that are accepted without a key, and against an instance that reports itself as
// ready while it knows no backend servers or is draining.
TEST_CASE("requests are refused without a key and while draining")
{
    Fixture fixture;
    auto& threads = fixture.harness.threads();
    const auto get = [&](std::string target) {
        return *runOn(threads, 0, threads.client(0).request(fixture.harness.endpoint(), { "GET", std::move(target), {}, {} }, 2s));
    };
    CHECK(errorOf(get("/services/coop-ledger/items")) == "401 unauthenticated no");
    CHECK(get("/readyz").status == 503);
    fixture.harness.context().hasBackendList = true;
    CHECK(get("/readyz").status == 200);
    CHECK(get("/metrics").body.find("jayhold_requests_total{service=\"coop-ledger\"} 0") != std::string::npos);
    fixture.harness.context().isDraining = true;
    CHECK(get("/readyz").status == 503);
    CHECK(get("/healthz").status == 200);
    CHECK(errorOf(fixture.deposit("k")) == "503 draining no");
}

// Guards against a call that ends without an answer because its attempt throws, against an answer that claims that
// it did not run, and against a slot of the backend server that is never released.
TEST_CASE("an exception in an attempt is a failure of the call whose outcome is unknown")
{
    auto backends = nativeBackendProtocol();
    backends.plainCall = [](HttpClient&, BackendServer, const PlainCallInfo&, Duration) -> boost::asio::awaitable<HttpResult<HttpResponse>> {
        throw std::runtime_error("a fault of the attempt");
        co_return HttpResponse {};
    };
    FakeRecords records;
    EntryHarness harness { records, backends };
    harness.addBackend("ledger-1", "ledger", { "127.0.0.1", 1 });
    const auto answer = harness.call({ "GET", "/services/coop-ledger/items?q=1", {}, {} });
    REQUIRE(answer.has_value());
    CHECK(errorOf(*answer) == "503 no_backend unknown");
    for (const auto& backend : harness.services().plainService("coop-ledger")->backends())
        CHECK(backend.inFlight == 0);
}

// Guards against a call that is sent although its instance ends before the call can be answered.
TEST_CASE("a call that arrives after the end of a drain is refused as not run")
{
    Fixture fixture;
    FakeService ledger(fixture.threads);
    fixture.harness.addBackend("ledger-1", "ledger", ledger.endpoint());
    fixture.harness.context().requestsEndAt = monotonicNow().time_since_epoch().count();
    const auto refused = fixture.deposit("k");
    CHECK(errorOf(refused) == "503 draining no");
    CHECK(findHeader(refused.headers, "Retry-After"));
    CHECK(ledger.runs() == 0);
}
