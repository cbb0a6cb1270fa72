#include "../HttpTestServer.h"

#include "AwaitToken.h"
#include "CallRunner.h"
#include "CompletionReader.h"
#include "ExpectedTokens.h"
#include "LoadMix.h"
#include "LoadReport.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

auto makeChunk(const std::string& text) -> std::string
{
    const json::object chunk { { "choices", json::array { json::object { { "text", text } } } } };
    return "data: " + json::serialize(chunk) + "\n\n";
}

/// The fault that a FakeEntry simulates.
enum class EntryFault {
    None,
    WrongToken,
    MissingToken,
    RepeatsAnswer,
    NoEndMarker,
    DropsConnection,
    RefusesOnce,
    RefusesUnknown,
    /// Sends half of the response and waits until the caller closes the connection.
    StopsHalfway,
};

/// A fake entry instance that streams completions with one fault.
class FakeEntry {
public:
    explicit FakeEntry(EntryFault fault)
        : m_fault(fault)
    {
    }
    ~FakeEntry() { m_threads.stop(); }
    FakeEntry(const FakeEntry&) = delete;
    auto operator=(const FakeEntry&) -> FakeEntry& = delete;

    auto run(bool isCancelled = false) -> CallResult
    {
        LoadItem item;
        item.name = "kind";
        item.model = "m";
        item.outputTokens = 8;
        auto plan = planCall(item, 1, 1, isCancelled);
        LoadSettings settings;
        settings.entries = { m_server.endpoint() };
        settings.retriesRefusals = m_fault == EntryFault::RefusesOnce;
        std::atomic<std::size_t> nextEntry { 0 };
        return runOn(m_threads, 1, runCall(m_threads.client(1), settings, std::move(plan), nextEntry));
    }

private:
    auto refuse(HttpExchange& exchange, std::string_view ran) -> asio::awaitable<void>
    {
        const json::object error { { "type", "overloaded" }, { "message", "" }, { "ran", ran }, { "retry_after_ms", 10 } };
        auto response = jsonResponse(503, json::serialize(json::object { { "error", error } }));
        co_await exchange.respond(std::move(response));
    }

    static auto waitForClose(HttpExchange& exchange) -> asio::awaitable<void>
    {
        boost::system::error_code ignored;
        asio::steady_timer timer(exchange.executor(), 30s);
        exchange.onClose([&timer] { timer.cancel(); });
        co_await timer.async_wait(awaitInto(ignored));
        exchange.abort();
    }

    auto handle(HttpExchange& exchange) -> asio::awaitable<void>
    {
        ++m_calls;
        if (m_fault == EntryFault::RefusesUnknown || (m_fault == EntryFault::RefusesOnce && m_calls == 1)) {
            const std::string_view ran = m_fault == EntryFault::RefusesOnce ? "no" : "unknown";
            co_await refuse(exchange, ran);
            co_return;
        }
        const auto body = json::parse(exchange.request().body).as_object();
        const std::string prompt(body.at("prompt").as_string());
        auto tokens = expectedTokens("m", prompt, body.at("max_tokens").to_number<std::int64_t>());
        if (m_fault == EntryFault::WrongToken)
            tokens[3] = " wrong";
        if (m_fault == EntryFault::MissingToken)
            tokens.erase(tokens.begin() + 3);
        co_await exchange.startStream(200, {});
        if (m_fault == EntryFault::StopsHalfway) {
            tokens.resize(tokens.size() / 2);
            for (const auto& token : tokens)
                co_await exchange.write(makeChunk(token));
            co_await waitForClose(exchange);
            co_return;
        }
        const auto copies = m_fault == EntryFault::RepeatsAnswer ? 2 : 1;
        for (auto copy = 0; copy < copies; ++copy) {
            for (const auto& token : tokens)
                co_await exchange.write(makeChunk(token));
        }
        if (m_fault == EntryFault::DropsConnection) {
            exchange.abort();
            co_return;
        }
        if (m_fault != EntryFault::NoEndMarker)
            co_await exchange.write("data: [DONE]\n\n");
        co_await exchange.finishStream();
    }

    const EntryFault m_fault;
    int m_calls = 0;
    IoThreads m_threads { 2 };
    HttpServer m_server { m_threads, {}, [this](HttpExchange& exchange) { return handle(exchange); } };
};

}

// Guards against a load tool that accepts an incomplete, wrong or repeated response.
TEST_CASE("only a complete, correct response counts as whole")
{
    CHECK(FakeEntry(EntryFault::None).run().outcome == CallOutcome::Whole);
    CHECK(FakeEntry(EntryFault::WrongToken).run().outcome == CallOutcome::Wrong);
    CHECK(FakeEntry(EntryFault::MissingToken).run().outcome == CallOutcome::Wrong);
    CHECK(FakeEntry(EntryFault::RepeatsAnswer).run().outcome == CallOutcome::Doubled);
    CHECK(FakeEntry(EntryFault::NoEndMarker).run().outcome == CallOutcome::Wrong);
}

// Guards against calls that may have run being reported as not run.
TEST_CASE("refusals and lost connections are distinguished")
{
    const auto refused = FakeEntry(EntryFault::RefusesOnce).run();
    CHECK(refused.outcome == CallOutcome::Whole);
    CHECK(refused.attempts == 2);
    CHECK(FakeEntry(EntryFault::RefusesUnknown).run().outcome == CallOutcome::Unknown);
    CHECK(FakeEntry(EntryFault::DropsConnection).run().outcome == CallOutcome::Unknown);
}

// Guards against a cancellation that is counted but not carried out.
TEST_CASE("a stream is cancelled halfway")
{
    CHECK(FakeEntry(EntryFault::StopsHalfway).run(true).outcome == CallOutcome::Cancelled);
}

// Guards against a reader that treats each chunk from the network as one event.
TEST_CASE("events are parsed wherever the chunks are split")
{
    const auto events = makeChunk("a") + makeChunk(" b") + "data: [DONE]\n\n";
    for (std::size_t split = 0; split <= events.size(); ++split) {
        CompletionReader reader;
        reader.append(std::string_view(events).substr(0, split));
        reader.append(std::string_view(events).substr(split));
        CHECK(reader.text() == "a b");
        CHECK(reader.doneEvents() == 1);
    }
}

// Guards against results that the report loses or counts under the wrong name.
TEST_CASE("the report counts every outcome once and evaluates the targets")
{
    LoadItem item;
    item.name = "kind";
    item.firstTokenTarget = 100ms;
    item.tokenGapTarget = 10ms;
    LoadReport report({ item });
    report.add(item, { CallOutcome::Whole, {}, 1, 50ms, { 5ms, 14ms } });
    report.add(item, { CallOutcome::Whole, {}, 1, 150ms, { 5ms } });
    report.add(item, { CallOutcome::Lost, {}, 2, 0ms, {} });
    const auto total = report.toJson(1s).at("total").as_object();
    CHECK(total.at("sent") == 3);
    CHECK(total.at("attempts") == 4);
    CHECK(total.at("whole") == 2);
    CHECK(total.at("lost") == 1);
    CHECK(total.at("within_targets") == 1);
    const auto p99 = report.toJson(1s).at("items").at("kind").at("first_token_ms").at("p99").as_double();
    CHECK(p99 == Approx(150).epsilon(0.03));
}
