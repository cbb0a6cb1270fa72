#include "LoadExchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <future>
#include <optional>
#include <thread>

using namespace jayhold;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

const PromptReport crashedPrompt { "service", "edge-1", ~0ULL, false, { ~1ULL, 3, { 7, ~2ULL } } };

const std::vector<LimitReport> reportedLimits { { "server-1", "run", 1.5, 20ms }, { "server-2", "run", std::nullopt, 0ms } };

struct Instance {
    explicit Instance(const std::string& name, std::size_t maxUnlistedPeers = 1'024)
        : log(name, 16)
    {
        LoadExchangeCallbacks callbacks {
            .ownUsage = [] { return std::vector<BackendUsage>(); },
            .limitReports = [this] { return ownLimits; },
            .onLimitReports = [this](const std::vector<LimitReport>& reports) { limits += reports == reportedLimits ? 1 : 100; },
            .onPeerUsage = [](const std::vector<BackendUsage>&) {},
            .backendsChangingRole = [] { return std::vector<std::string>(); },
            .onRevision = [](const std::string&, std::int64_t) {},
            .onCrashSignature = [this](std::uint64_t signature) { signatures += signature == ~0ULL ? 1 : 100; },
            .onCrashSuspect = [this](const CrashSuspect& suspect) { suspects += suspect == CrashSuspect { 55, "engine-3", "run-2", "edge-1" } ? 1 : 100; },
            .onPromptReport = [this](const PromptReport& report) { promptReports += report == crashedPrompt ? 1 : 100; },
            .onBackendsChangingRole = [](const std::vector<std::string>&) {},
            .onReply = [this](const PeerReply& reply) { replies += reply.question.number == ~0ULL && reply.instance == "edge-2" && reply.revisions == std::map<std::string, std::int64_t> { { "servers", 7 } } ? 1 : 100; },
        };
        exchange = std::make_shared<LoadExchange>(threads, LoadExchangeSettings { { "127.0.0.1", 0 }, name, "run", "alpine", maxUnlistedPeers }, log, std::move(callbacks));
        exchange->start();
    }
    ~Instance() { threads.stop(); }
    Instance(const Instance&) = delete;
    auto operator=(const Instance&) -> Instance& = delete;

    EventLog log;
    IoThreads threads { 1 };
    std::atomic<int> signatures { 0 };
    std::atomic<int> suspects { 0 };
    /// Set before the exchange has a peer.
    std::vector<LimitReport> ownLimits;
    std::atomic<int> limits { 0 };
    std::atomic<int> promptReports { 0 };
    std::atomic<int> replies { 0 };
    std::shared_ptr<LoadExchange> exchange;
};

auto addPeer(Instance& instance, const Instance& peer) -> void
{
    asio::post(instance.threads.context(0), [&instance, address = PeerAddress { peer.exchange->endpoint(), "alpine" }] { instance.exchange->updatePeers({ address }); });
}

/// @return the next message that arrives; nothing if none does in time.
auto receiveWithin(asio::io_context& context, asio::ip::udp::socket& socket, Duration time) -> std::optional<LoadMessage>
{
    std::array<char, 4'096> buffer {};
    std::optional<LoadMessage> message;
    socket.async_receive(asio::buffer(buffer), [&](boost::system::error_code code, std::size_t size) {
        if (!code)
            message = parseLoadMessage({ buffer.data(), size });
    });
    context.restart();
    context.run_for(time);
    socket.cancel();
    context.restart();
    context.run();
    return message;
}

}

// Guards against crash reports that wait for the next regular message, get lost, or are counted twice
// because they are repeated.
TEST_CASE("crash reports reach peers at once and are counted once")
{
    Instance first("edge-1");
    Instance second("edge-2");
    addPeer(first, second);
    first.exchange->reportCrashSuspect({ 55, "engine-3", "run-2", "edge-1" });
    first.exchange->reportCrashSignature(~0ULL);
    first.exchange->reportPrompt(crashedPrompt);
    const auto deadline = monotonicNow() + 80ms;
    while ((second.suspects == 0 || second.signatures == 0 || second.promptReports == 0) && monotonicNow() < deadline)
        std::this_thread::sleep_for(1ms);
    CHECK(second.suspects == 1);
    CHECK(second.signatures == 1);
    CHECK(second.promptReports == 1);
    std::this_thread::sleep_for(600ms);
    CHECK(second.suspects == 1);
    CHECK(second.signatures == 1);
    CHECK(second.promptReports == 1);
    CHECK(first.suspects == 0);
}

// Guards against limits of backend servers that reach the peers late or changed.
TEST_CASE("limits of backend servers reach peers within a message interval")
{
    Instance first("edge-1");
    Instance second("edge-2");
    asio::post(first.threads.context(0), [&] { first.ownLimits = reportedLimits; });
    addPeer(first, second);
    const auto deadline = monotonicNow() + 400ms;
    while (second.limits == 0 && monotonicNow() < deadline)
        std::this_thread::sleep_for(1ms);
    CHECK(second.limits > 0);
    CHECK(second.limits < 100);
}

// Guards against an instance that runs a call that crashes servers because it had started a moment before, and its peers
// sent it their reports only with their next regular message.
TEST_CASE("a peer that becomes known by its first datagram gets the crash reports at once")
{
    Instance first("edge-1");
    asio::io_context context;
    const asio::ip::udp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    const asio::ip::udp::endpoint target(any.address(), first.exchange->endpoint().port);
    asio::ip::udp::socket known(context, any);
    asio::ip::udp::socket added(context, any);
    const PeerAddress address { { "127.0.0.1", known.local_endpoint().port() }, "alpine" };
    asio::post(first.threads.context(0), [&first, address] { first.exchange->updatePeers({ address }); });
    first.exchange->reportCrashSignature(~0ULL);
    // The second message is a regular one, so the next one is 100 ms away.
    REQUIRE(receiveWithin(context, known, 1s));
    REQUIRE(receiveWithin(context, known, 1s));
    added.send_to(asio::buffer(std::string("{}")), target);
    const auto message = receiveWithin(context, added, 50ms);
    REQUIRE(message);
    CHECK(message->signatures == std::vector<std::uint64_t> { ~0ULL });
}

// Guards against the loss of all peers because the address of one of them is not valid.
TEST_CASE("an invalid address of a peer costs only this peer")
{
    Instance first("edge-1");
    Instance second("edge-2");
    const std::vector<PeerAddress> peers { { { "nowhere", 1 }, "alpine" }, { { "127.0.0.1", 0 }, "alpine" }, { second.exchange->endpoint(), "alpine" } };
    std::packaged_task<void()> update([&] { first.exchange->updatePeers(peers); });
    auto updated = update.get_future();
    asio::post(first.threads.context(0), std::move(update));
    CHECK_NOTHROW(updated.get());
    first.exchange->reportCrashSignature(~0ULL);
    const auto deadline = monotonicNow() + 2s;
    while (second.signatures == 0 && monotonicNow() < deadline)
        std::this_thread::sleep_for(5ms);
    CHECK(second.signatures == 1);
}

// Guards against an instance that no longer receives messages after a datagram that can't be parsed.
TEST_CASE("odd datagrams cost only themselves")
{
    Instance first("edge-1");
    Instance second("edge-2");
    asio::io_context context;
    asio::ip::udp::socket socket(context, asio::ip::udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const asio::ip::udp::endpoint target(asio::ip::make_address("127.0.0.1"), second.exchange->endpoint().port);
    const std::string nested = std::string(30'000, '[') + std::string(30'000, ']');
    const std::string start = R"({"instance":"a","run":"r","sequence":)";
    for (const auto& text : { nested, R"({"instance":"a","watching":true,"kind":"servers","after":0,"up_to":1,"changes":)" + nested + "}", start + "1e999999999999,\"uses\":[]}",
             start + "-1,\"uses\":[]}", start + R"(1,"uses":[["b",-1,1e300,0.5]]})", start + R"(1,"uses":[],"revisions":{"servers":18446744073709551615,"config":"x"}})",
             start + R"(1,"uses":[],"limits":[["b","i",1e400,-1]],"suspects":7,"prompts":[[]],"signatures":["x",-1]})", std::string("\xff\xfe"), std::string() })
        socket.send_to(asio::buffer(text), target);
    addPeer(first, second);
    first.exchange->reportCrashSignature(~0ULL);
    const auto deadline = monotonicNow() + 2s;
    while (second.signatures == 0 && monotonicNow() < deadline)
        std::this_thread::sleep_for(5ms);
    CHECK(second.signatures == 1);
    for (const auto& event : second.log.after(0, 16))
        CHECK(event.event != "task_failed");
}

// Guards against an infinite limit in the division among instances.
TEST_CASE("a limit that is not finite is not taken over")
{
    const auto limitsOf = [](const std::string& perSecond) {
        const auto message = parseLoadMessage(R"({"instance":"a","run":"r","sequence":1,"uses":[],"limits":[["b","i",)" + perSecond + ",5]]}");
        return message ? message->limits.size() : 0;
    };
    CHECK(limitsOf("1e300") == 1);
    CHECK(limitsOf("1e400") == 0);
    CHECK(limitsOf("-1") == 0);
}

// Guards against a peer that does not say what it knows when it is asked.
TEST_CASE("a peer answers a question with the revisions that it has applied")
{
    Instance first("edge-1");
    Instance second("edge-2");
    asio::post(second.threads.context(0), [&second] { second.exchange->advanceRevision("servers", 7); });
    addPeer(first, second);
    asio::post(first.threads.context(0), [&first] { first.exchange->askPeers(~0ULL); });
    const auto end = monotonicNow() + 2s;
    while (first.replies == 0 && monotonicNow() < end)
        std::this_thread::sleep_for(5ms);
    CHECK(first.replies == 1);
    CHECK(second.replies == 0);
}

// Guards against memory and datagrams without a bound because senders that no list shows are added as peers.
TEST_CASE("the number of peers that are not in the list of instances is limited")
{
    Instance first("edge-1", 2);
    asio::io_context context;
    const asio::ip::udp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    const asio::ip::udp::endpoint target(any.address(), first.exchange->endpoint().port);
    std::vector<asio::ip::udp::socket> senders;
    for (auto index = 0; index < 4; ++index)
        senders.emplace_back(context, any).send_to(asio::buffer(std::string("{}")), target);
    const auto end = monotonicNow() + 2s;
    while (first.exchange->ignoredPeers() < 2 && monotonicNow() < end)
        std::this_thread::sleep_for(5ms);
    CHECK(first.exchange->ignoredPeers() == 2);
    // A list of instances makes room.
    asio::post(first.threads.context(0), [&first] { first.exchange->updatePeers({}); });
    std::this_thread::sleep_for(50ms);
    senders.back().send_to(asio::buffer(std::string("{}")), target);
    std::this_thread::sleep_for(50ms);
    CHECK(first.exchange->ignoredPeers() == 2);
}
