#include "QuotaExchange.h"
#include "LoadExchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace jayhold;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

auto grocer() -> std::vector<Customer>
{
    Customer customer;
    customer.name = "grocer";
    customer.quota = { .perSecond = 1'000, .burst = 1'000, .unit = QuotaUnit::Tokens };
    return { customer };
}

/// An instance with a real socket.
struct Instance {
    explicit Instance(const std::string& name)
        : log(name, 64)
    {
        quotas = std::make_shared<QuotaExchange>(threads, QuotaExchangeSettings { name, "alpine", "run", {} }, log, [this](const QuotaExchange::Endpoint& target, const std::string& text) { loads->sendTo(target, text); });
        LoadExchangeCallbacks callbacks {
            .ownUsage = [] { return std::vector<BackendUsage>(); },
            .onPresence = [this](const PeerPresence& presence, const QuotaExchange::Endpoint& sender) { quotas->handlePresence(presence, sender); },
            .onQuotaMessage = [this](std::string_view text, const QuotaExchange::Endpoint& sender) { quotas->handleDatagram(text, sender); },
            .onPeerUsage = [](const std::vector<BackendUsage>&) {},
            .backendsChangingRole = [] { return std::vector<std::string>(); },
            .onRevision = [](const std::string&, std::int64_t) {},
            .onCrashSignature = [](std::uint64_t) {},
            .onCrashSuspect = [](const CrashSuspect&) {},
            .onBackendsChangingRole = [](const std::vector<std::string>&) {},
        };
        loads = std::make_shared<LoadExchange>(threads, LoadExchangeSettings { { "127.0.0.1", 0 }, name, "run", "alpine" }, log, std::move(callbacks));
        loads->start();
    }
    ~Instance() { threads.stop(); }
    Instance(const Instance&) = delete;
    auto operator=(const Instance&) -> Instance& = delete;

    auto update(const std::vector<PeerAddress>& instances) -> void
    {
        asio::post(threads.context(0), [this, instances] {
            loads->updatePeers(instances);
            quotas->updateInstances(instances);
            quotas->updateCustomers(grocer());
        });
    }

    auto take(std::int64_t amount) -> QuotaDecision
    {
        return asio::co_spawn(threads.context(0), quotas->take("grocer", amount), asio::use_future).get();
    }

    auto isDecidedBy(const std::string& owner) const -> bool
    {
        std::string last;
        for (const auto& event : log.after(0, 64)) {
            if (event.event == "quota_owner_changed")
                last = event.fields.at(2).value;
        }
        return last == owner;
    }

    EventLog log;
    IoThreads threads { 1 };
    std::shared_ptr<QuotaExchange> quotas;
    std::shared_ptr<LoadExchange> loads;
};

}

// Guards against messages that don't reach the owner over real sockets, against a customer that gets its quota once from
// each instance, and against an owner that still grants while it drains.
TEST_CASE("instances share the quota of a customer over their sockets")
{
    Instance first("edge-1");
    Instance second("edge-2");
    const std::vector<PeerAddress> instances { { first.loads->endpoint(), "alpine", "edge-1" }, { second.loads->endpoint(), "alpine", "edge-2" } };
    first.update(instances);
    second.update(instances);
    const auto waitFor = [](const auto& condition) {
        for (const auto end = monotonicNow() + 10s; monotonicNow() < end; std::this_thread::sleep_for(10ms)) {
            if (condition())
                return true;
        }
        return false;
    };
    const auto isOwnedBy = [&](const std::string& owner) { return first.isDecidedBy(owner) && second.isDecidedBy(owner); };
    REQUIRE(waitFor([&] { return isOwnedBy("edge-1") || isOwnedBy("edge-2"); }));
    auto& owner = isOwnedBy("edge-1") ? first : second;
    auto& other = isOwnedBy("edge-1") ? second : first;
    std::this_thread::sleep_for(1'500ms);
    const auto granted = other.take(900);
    REQUIRE(granted.isGranted);
    CHECK(granted.grant.grantor == owner.log.instance());
    CHECK_FALSE(owner.take(1'000).isGranted);
    other.quotas->giveBack(granted.grant);
    CHECK(waitFor([&] { return owner.take(900).isGranted; }));
    asio::post(owner.threads.context(0), [&] {
        owner.quotas->startDraining();
        owner.loads->announceDraining();
    });
    CHECK(waitFor([&] { return isOwnedBy(other.log.instance()); }));
    CHECK(waitFor([&] { return owner.take(100).grant.grantor == other.log.instance(); }));
}

// Guards against messages of earlier versions that are not read, and against a zone or state of the sender that gets lost.
TEST_CASE("load messages state the zone of their sender and whether it is draining")
{
    const auto earlier = parseLoadMessage(R"({"instance":"a","run":"r","sequence":1,"uses":[],"later_field":[1]})");
    REQUIRE(earlier);
    CHECK(earlier->availabilityZone.empty());
    CHECK_FALSE(earlier->isDraining);
    const auto message = parseLoadMessage(serializeLoadMessage({ .instance = "a", .incarnation = "r", .sequence = 1, .availabilityZone = "alpine", .isDraining = true }));
    REQUIRE(message);
    CHECK(message->availabilityZone == "alpine");
    CHECK(message->isDraining);
}
