#include "PlainBalancer.h"
#include "SpeedReporter.h"

#include <catch2/catch.hpp>

#include <map>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1'000s };
constexpr Duration callTime = 30ms;

auto server(const std::string& id, bool isLocal, std::string incarnation = "1") -> PlainBackend
{
    return { .server = { .id = id, .incarnation = std::move(incarnation) }, .isLocal = isLocal, .slots = 100 };
}

/// Makes calls one after the other for the given time and counts them by server.
/// @param speeds relative speeds; 1 for servers that are not named.
auto callFor(PlainBalancer& balancer, TimePoint& now, Duration time, const std::map<std::string, double>& speeds) -> std::map<std::string, int>
{
    std::map<std::string, int> calls;
    for (const auto end = now + time; now < end; now += callTime) {
        const auto chosen = balancer.acquire(now, {}, callTime);
        REQUIRE(chosen);
        ++calls[chosen->id];
        const auto speed = speeds.contains(chosen->id) ? speeds.at(chosen->id) : 1;
        balancer.recordSpeed(now, *chosen, 0.03, 0.03 / speed);
        balancer.release(now, chosen->id, true);
    }
    return calls;
}

}

// Load pattern: the plain server of the zone has slow phases of 600 ms in which calls take 2.5 times as long.
// Guards against calls that wait for it while another zone would complete them earlier, and that stay there afterwards.
TEST_CASE("plain calls leave a slow server and return")
{
    PlainBalancer balancer;
    balancer.update({ server("near", true), server("far", false) });
    auto now = start;
    CHECK(callFor(balancer, now, 5s, {})["far"] == 0);
    auto slowPhase = callFor(balancer, now, 600ms, { { "near", 0.4 } });
    CHECK(slowPhase["far"] > slowPhase["near"]);
    callFor(balancer, now, 1s, {});
    CHECK(callFor(balancer, now, 1s, {})["far"] == 0);
}

// Load pattern: a quarter of the servers of a zone run at 0.55 of the speed.
// Guards against slow servers that get as many concurrent calls as fast ones.
TEST_CASE("concurrent plain calls are divided by speed")
{
    PlainBalancer balancer;
    balancer.update({ server("a", true), server("b", true), server("c", true), server("slow", true) });
    for (std::uint64_t sender = 1; sender <= 3; ++sender)
        balancer.addReportedSpeed(start, "slow", "1", { sender, 0.55, 2, start });
    std::map<std::string, int> calls;
    for (int count = 0; count < 70; ++count)
        ++calls[balancer.acquire(start, {}, callTime)->id];
    CHECK(calls["slow"] < 14);
    CHECK(calls["slow"] > 6);
}

// Load pattern: a server is replaced under the same id. Guards against a replacement judged by its predecessor.
TEST_CASE("a replaced plain server starts without earlier observations")
{
    PlainBalancer balancer;
    balancer.update({ server("a", true), server("b", true) });
    balancer.addReportedSpeed(start, "a", "1", { 1, 0.2, 2, start });
    balancer.update({ server("a", true), server("b", true) });
    CHECK(expectedSpeed(balancer.backends().front().speed, start, 0ms) < 0.5);
    balancer.update({ server("a", true, "2"), server("b", true) });
    CHECK(expectedSpeed(balancer.backends().front().speed, start, 0ms) == 1);
    balancer.addReportedSpeed(start, "a", "1", { 1, 0.2, 2, start });
    balancer.recordSpeed(start, server("a", true).server, 1, 5);
    CHECK(expectedSpeed(balancer.backends().front().speed, start, 0ms) == 1);
}

// Load pattern: few calls, and servers faster than the mean, which has slow phases. Guards against a server that joins and
// gets no calls, so that its speed remains unknown.
TEST_CASE("a new plain server gets calls beside idle servers that are faster than the mean")
{
    PlainBalancer balancer;
    balancer.update({ server("a", true), server("b", true) });
    auto now = start;
    callFor(balancer, now, 3s, { { "a", 1.3 }, { "b", 1.3 } });
    balancer.update({ server("a", true), server("b", true), server("new", true) });
    CHECK(callFor(balancer, now, 3s, { { "a", 1.3 }, { "b", 1.3 }, { "new", 1.3 } })["new"] > 25);
    // Once its speed is known, a slow server is left alone.
    balancer.update({ server("a", true), server("b", true), server("slow", true) });
    CHECK(callFor(balancer, now, 3s, { { "a", 1.3 }, { "b", 1.3 }, { "slow", 0.6 } })["slow"] < 10);
}

// Guards against load messages that grow with the number of servers, and servers that are never reported.
TEST_CASE("each message reports a few speeds in turn")
{
    SpeedReporter reporter;
    std::vector<SpeedReport> observed;
    observed.reserve(20);
    for (int id = 0; id < 20; ++id)
        observed.push_back({ "engine-" + std::to_string(id), "1", WorkType::Decode, 0.5, 1s, 0ms });
    std::map<std::string, int> reports;
    for (auto now = start; now < start + 10s; now += 200ms) {
        const auto selected = selectReports(reporter, now, observed);
        REQUIRE(selected.size() <= maxSpeedReportsPerMessage);
        for (const auto& report : selected)
            ++reports[report.backend];
    }
    CHECK(reports.size() == 20);
    for (const auto& [backend, count] : reports)
        CHECK(count == 10);
    CHECK(isToBeLogged(reporter, start + 10s, observed[0]));
    CHECK_FALSE(isToBeLogged(reporter, start + 30s, observed[0]));
}
