#include "../HttpTestServer.h"
#include "../RawConnection.h"

#include "HeadShare.h"
#include "HttpClient.h"
#include "Pause.h"
#include "RequestShare.h"

#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <future>
#include <map>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t bodyBytes = 1U << 20U;

/// A caller that sends the exact bytes of its request, and leaves when it is destroyed.
struct RawCaller {
    explicit RawCaller(const HttpEndpoint& endpoint)
        : socket(test::connectTo(context, endpoint))
    {
    }
    auto send(const std::string& text) -> void { boost::asio::write(socket, boost::asio::buffer(text)); }

    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
};

/// A server with room for two large bodies, whose handler holds each request until the test lets it go.
struct BudgetServer {
    explicit BudgetServer(std::size_t limitBytes = 2 * bodyBytes)
        : budget(std::make_shared<RequestBudget>(limitBytes))
        , server(threads, settings(), [this](HttpExchange& exchange) { return handle(exchange); })
    {
    }
    ~BudgetServer()
    {
        isOpen = true;
        threads.stop();
    }

    auto settings() const -> HttpServerSettings
    {
        HttpServerSettings result;
        result.maxBodyBytes = bodyBytes;
        result.requestBudget = budget;
        return result;
    }

    auto handle(HttpExchange& exchange) -> boost::asio::awaitable<void>
    {
        ++running;
        const auto body = takesBodies ? exchange.takeBody() : nullptr;
        while (!isOpen)
            co_await jayhold::pause(5ms);
        HttpResponse response { 200, {}, std::to_string(body ? body->size() : exchange.request().body.size()) };
        co_await exchange.respond(std::move(response));
    }

    auto post(std::size_t bytes) -> std::future<HttpResult<HttpResponse>>
    {
        return std::async(std::launch::async, [this, bytes] {
            HttpRequest request { "POST", "/", {}, std::string(bytes, 'x') };
            return runOn(threads, 0, threads.client(0).request(server.endpoint(), std::move(request), 5s));
        });
    }

    template <typename Condition>
    static auto waitUntil(Condition condition) -> bool
    {
        const auto end = monotonicNow() + 3s;
        while (!condition() && monotonicNow() < end)
            std::this_thread::sleep_for(5ms);
        return condition();
    }

    IoThreads threads { 2 };
    std::atomic<bool> isOpen { false };
    std::atomic<bool> takesBodies { false };
    std::atomic<int> running { 0 };
    const std::shared_ptr<RequestBudget> budget;
    HttpServer server;
};

}

// Guards against a process that exceeds its memory because many callers send large bodies at the same time, and against
// a refusal that is not true.
TEST_CASE("bodies beyond the request budget are not read")
{
    BudgetServer fixture;
    fixture.takesBodies = GENERATE(false, true);
    auto first = fixture.post(bodyBytes);
    auto second = fixture.post(bodyBytes);
    REQUIRE(BudgetServer::waitUntil([&] { return fixture.running == 2; }));
    CHECK(fixture.budget->heldBytes() >= 2 * bodyBytes);
    const auto refused = fixture.post(bodyBytes).get();
    REQUIRE(refused.has_value());
    CHECK(refused->status == 503);
    CHECK(fixture.running == 2);
    CHECK(fixture.budget->refusals() == 1);
    // Small requests are served meanwhile.
    auto small = fixture.post(1'000);
    CHECK(BudgetServer::waitUntil([&] { return fixture.running == 3; }));
    fixture.isOpen = true;
    CHECK(first.get()->body == std::to_string(bodyBytes));
    CHECK(second.get()->body == std::to_string(bodyBytes));
    CHECK(small.get()->status == 200);
    CHECK(BudgetServer::waitUntil([&] { return fixture.budget->heldBytes() == 0; }));
    CHECK(fixture.post(bodyBytes).get()->status == 200);
}

// Guards against a refusal of a request for which there is room a moment later.
TEST_CASE("a body waits for room for a short time")
{
    BudgetServer fixture(bodyBytes);
    auto first = fixture.post(bodyBytes);
    REQUIRE(BudgetServer::waitUntil([&] { return fixture.running == 1; }));
    auto second = fixture.post(bodyBytes);
    std::this_thread::sleep_for(50ms);
    CHECK(fixture.running == 1);
    fixture.isOpen = true;
    CHECK(first.get()->status == 200);
    CHECK(second.get()->status == 200);
    CHECK(fixture.budget->refusals() == 0);
}

// Guards against a body without a stated length that is not counted, and against one that takes its room for ever.
TEST_CASE("a body in chunks counts as soon as it is large")
{
    BudgetServer fixture(2 * bodyBytes);
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    RawCaller large(fixture.server.endpoint());
    large.send(head + chunk);
    // It may still grow to the largest body that is allowed.
    CHECK(BudgetServer::waitUntil([&] { return fixture.budget->heldBytes() == 2 * bodyBytes; }));
    CHECK(fixture.post(bodyBytes).get()->status == 503);
    large.send("0\r\n\r\n");
    REQUIRE(BudgetServer::waitUntil([&] { return fixture.running == 1; }));
    CHECK(fixture.budget->heldBytes() < 4UL * 0x10000);
    RawCaller small(fixture.server.endpoint());
    small.send(head + "5\r\nhello\r\n0\r\n\r\n");
    CHECK(BudgetServer::waitUntil([&] { return fixture.running == 2; }));
    fixture.isOpen = true;
    CHECK(BudgetServer::waitUntil([&] { return fixture.budget->heldBytes() == 0; }));
}

// Guards against room that a caller keeps who leaves before its body has arrived.
TEST_CASE("a caller that leaves gives its room back")
{
    BudgetServer fixture(bodyBytes);
    {
        RawCaller leaving(fixture.server.endpoint());
        leaving.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1048576\r\n\r\nstart");
        CHECK(BudgetServer::waitUntil([&] { return fixture.budget->heldBytes() == bodyBytes; }));
    }
    CHECK(BudgetServer::waitUntil([&] { return fixture.budget->heldBytes() == 0; }));
    fixture.isOpen = true;
    CHECK(fixture.post(bodyBytes).get()->status == 200);
}

// Guards against more bytes than the limit, against a body that is overtaken without end, and against bytes that are never
// released.
TEST_CASE("the request budget holds its limit and the order of arrival")
{
    CHECK(rc::check("random bodies", [] {
        constexpr std::size_t limit = 100;
        const auto budget = std::make_shared<RequestBudget>(limit);
        std::map<int, std::pair<std::size_t, std::unique_ptr<RequestShare>>> waiting;
        std::map<int, std::pair<std::size_t, std::unique_ptr<RequestShare>>> taken;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange<std::size_t>(1, 150)));
        auto last = 0;
        for (const auto& [what, bytes] : steps) {
            if (what == 0)
                waiting.emplace(++last, std::pair(bytes, std::make_unique<RequestShare>(budget, bytes)));
            for (auto body = waiting.begin(); what == 1 && body != waiting.end();) {
                const auto isFirst = body == waiting.begin();
                const auto fits = budget->heldBytes() == 0 || budget->heldBytes() + body->second.first <= limit;
                const auto isTaken = body->second.second->tryTake();
                RC_ASSERT(isTaken == (isFirst && fits));
                if (isTaken)
                    taken.insert(waiting.extract(body++));
                else
                    ++body;
            }
            if (what == 2 && !taken.empty()) {
                auto& [held, share] = taken.begin()->second;
                held = std::min(held, bytes);
                share->shrink(bytes);
            }
            if (what == 3 && !taken.empty())
                taken.erase(taken.begin());
            else if (what == 3 && !waiting.empty())
                waiting.erase(waiting.begin());
            std::size_t sum = 0;
            for (const auto& [number, body] : taken)
                sum += body.first;
            RC_ASSERT(budget->heldBytes() == sum);
            RC_ASSERT(sum <= limit || taken.size() == 1U);
        }
        waiting.clear();
        taken.clear();
        RC_ASSERT(budget->heldBytes() == 0U);
    }));
}

// Guards against large heads that leave no room for small requests, against bodies that do, and against one request that
// is refused although nothing else is held.
TEST_CASE("small heads have a reserve that large requests leave")
{
    constexpr std::size_t limit = 3 * bodyBytes;
    constexpr std::size_t large = RequestBudget::maxSmallHeadBytes + 1;
    const auto budget = std::make_shared<RequestBudget>(limit);
    HeadShare alone(budget);
    REQUIRE(alone.resize(2 * limit));
    CHECK(alone.resize(0));
    RequestShare body(budget, limit);
    REQUIRE(body.tryTake());
    CHECK_FALSE(alone.resize(large));
    std::vector<std::unique_ptr<HeadShare>> small;
    for (auto isTaken = true; isTaken;) {
        small.push_back(std::make_unique<HeadShare>(budget));
        isTaken = small.back()->resize(RequestBudget::maxSmallHeadBytes);
    }
    CHECK(small.size() == bodyBytes / RequestBudget::maxSmallHeadBytes + 1);
    CHECK_FALSE(budget->hasRoomForHead(1));
    small.clear();
    CHECK(budget->heldHeadBytes() == 0);
}

// Guards against heads that are not counted: many short lines take many times their bytes.
TEST_CASE("a head with many lines beyond the budget is refused as not run")
{
    BudgetServer fixture(bodyBytes);
    std::string head = "GET / HTTP/1.1\r\nHost: a\r\n";
    while (head.size() < 16'000)
        head += "a:\r\n";
    RawCaller first(fixture.server.endpoint());
    first.send(head + "\r\n");
    REQUIRE(BudgetServer::waitUntil([&] { return fixture.running == 1; }));
    CHECK(fixture.budget->heldHeadBytes() > 1U << 20U);
    RawCaller second(fixture.server.endpoint());
    second.send(head + "\r\n");
    CHECK_THAT(test::readUntilClosed(second.socket), Catch::StartsWith("HTTP/1.1 503"));
    CHECK(fixture.budget->refusals() == 1);
    auto small = fixture.post(1'000);
    CHECK(BudgetServer::waitUntil([&] { return fixture.running == 2; }));
    fixture.isOpen = true;
    CHECK(small.get()->status == 200);
}
