#include "../DirectoryEntries.h"

#include "InstanceCount.h"
#include "PeerLoads.h"
#include "StoreRevision.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace jayhold;
using namespace jayhold::test;
using namespace std::chrono_literals;

// Guards against new work for a server that left the list, and against ending the requests that it still
// runs.
TEST_CASE("a server that leaves the list gets no new work and is kept for its running requests")
{
    BackendDirectory directory;
    replaceAll(directory, start, { server("a"), server("b") });
    remove(directory, start + 1s, "a");
    CHECK(stateOf(directory, "a") == ReplicaState::Leaving);
    CHECK(stateOf(directory, "b") == ReplicaState::Live);
    CHECK_FALSE(expire(directory, start + 20s));
    CHECK(expire(directory, start + 21s));
    CHECK_FALSE(stateOf(directory, "a"));
}

// Guards against losing every server when the store drops their entries during an outage.
TEST_CASE("after an outage missing entries are removed only after the re-registration deadline")
{
    BackendDirectory directory;
    replaceAll(directory, start, { server("lives"), server("gone") });
    storeFailed(directory, start + 1s);
    storeAnswered(directory, start + 6s);
    replaceAll(directory, start + 6s, {});
    CHECK(stateOf(directory, "lives") == ReplicaState::Live);
    upsert(directory, server("lives"));
    CHECK_FALSE(expire(directory, start + 7s));
    CHECK(stateOf(directory, "gone") == ReplicaState::Live);
    CHECK(expire(directory, start + 8s));
    CHECK(stateOf(directory, "lives") == ReplicaState::Live);
    CHECK(stateOf(directory, "gone") == ReplicaState::Leaving);
}

// Guards against the order of start times being lost when incarnations have a software version, so that the older copy of a
// restored store brings back an earlier process, and against a changed version under the same start time that is ignored.
TEST_CASE("processes with a software version are ordered by their start times")
{
    BackendDirectory directory;
    beginHistory(directory, start, 1);
    replaceAll(directory, start, { server("a", "1000/v2"), server("b", "1000/v1"), server("c", "1000/v1", ReplicaState::Leaving) });
    beginHistory(directory, start + 2s, 2);
    CHECK(replaceAll(directory, start + 2s, { server("a", "900/v1"), server("b", "1000/v2"), server("c", "1000/v2") }) == std::vector<std::string> { "a" });
    CHECK(stateOf(directory, "b") == ReplicaState::Live);
    CHECK(stateOf(directory, "c") == ReplicaState::Live);
}

// Guards against a leaving server that stays live because a connection to the store failed for a moment.
TEST_CASE("missing entries are removed after a short failure of the store")
{
    BackendDirectory directory;
    replaceAll(directory, start, { server("a") });
    storeFailed(directory, start + 1s);
    storeAnswered(directory, start + 1'200ms);
    replaceAll(directory, start + 1'200ms, {});
    CHECK(stateOf(directory, "a") == ReplicaState::Leaving);
}

// Guards against new work for a server that left, because a restored store lists it as it was before.
TEST_CASE("a server that is known to leave or to be removed stays so when the store is restored")
{
    BackendDirectory directory;
    beginHistory(directory, start, 1);
    replaceAll(directory, start, { server("leaves", "900"), server("removed", "900"), server("stays", "900") });
    upsert(directory, server("leaves", "900", ReplicaState::Leaving));
    remove(directory, start + 1s, "removed");
    beginHistory(directory, start + 2s, 2);
    const auto outdated = replaceAll(directory, start + 2s, { server("leaves", "900"), server("removed", "900"), server("stays", "900") });
    CHECK(outdated == std::vector<std::string> { "leaves", "removed" });
    CHECK(stateOf(directory, "leaves") == ReplicaState::Leaving);
    CHECK(stateOf(directory, "removed") == ReplicaState::Leaving);
    CHECK(stateOf(directory, "stays") == ReplicaState::Live);
    // Later than any request runs, but before the copy is out of use.
    CHECK(expire(directory, start + 60s));
    CHECK_FALSE(upsert(directory, server("removed", "900")));
    CHECK_FALSE(stateOf(directory, "removed"));
    // A new process with the same id.
    CHECK(upsert(directory, server("leaves", "1000")));
    CHECK(upsert(directory, server("removed", "1000")));
    CHECK(stateOf(directory, "leaves") == ReplicaState::Live);
    CHECK(stateOf(directory, "removed") == ReplicaState::Live);
}

// Guards against requests to the address of an earlier process, and against start times that are compared as text.
TEST_CASE("an entry of an earlier incarnation is ignored")
{
    BackendDirectory directory;
    beginHistory(directory, start, 1);
    upsert(directory, server("a", "1000"));
    beginHistory(directory, start + 1s, 2);
    CHECK_FALSE(upsert(directory, server("a", "999")));
    REQUIRE(servers(directory).size() == 1);
    CHECK(servers(directory)[0].incarnation == "1000");
    CHECK(upsert(directory, server("a", "1001")));
    // Names of another form have no order.
    CHECK(upsert(directory, server("a", "run-7")));
}

// Guards against a live server that gets no work for minutes, because its clock was set back before it started again.
TEST_CASE("an earlier incarnation is applied if the store has shown it after the known one")
{
    BackendDirectory directory;
    beginHistory(directory, start, 1);
    replaceAll(directory, start, { server("lapsed", "1000"), server("restarted", "1000"), server("listed", "1000") });
    remove(directory, start + 1s, "lapsed");
    CHECK(upsert(directory, server("lapsed", "998"), EntrySource::Change));
    CHECK(replaceAll(directory, start + 2s, { server("lapsed", "998"), server("restarted", "1000"), server("listed", "998") }).empty());
    beginHistory(directory, start + 3s, 2);
    CHECK(replaceAll(directory, start + 3s, { server("lapsed", "998"), server("restarted", "998"), server("listed", "998") }) == std::vector<std::string> { "restarted" });
    CHECK(upsert(directory, server("restarted", "998"), EntrySource::Change));
    CHECK(stateOf(directory, "restarted") == ReplicaState::Live);
}

// Guards against losing live servers that the copy lacks, and against keeping those that are gone.
TEST_CASE("after a restore missing entries are removed only after the re-registration deadline")
{
    BackendDirectory directory;
    beginHistory(directory, start, 1);
    replaceAll(directory, start, { server("lives", "900"), server("gone", "900") });
    beginHistory(directory, start + 1s, 2);
    replaceAll(directory, start + 1s, {});
    CHECK(stateOf(directory, "lives") == ReplicaState::Live);
    CHECK(upsert(directory, server("lives", "900")));
    CHECK(expire(directory, start + 3s));
    CHECK(stateOf(directory, "lives") == ReplicaState::Live);
    CHECK(stateOf(directory, "gone") == ReplicaState::Leaving);
}

// Guards against a live server that gets no work for ever because it registered late before a restore.
TEST_CASE("a server that was only missing comes back")
{
    BackendDirectory directory;
    beginHistory(directory, start, 1);
    replaceAll(directory, start, { server("late", "900") });
    beginHistory(directory, start + 1s, 2);
    replaceAll(directory, start + 1s, {});
    CHECK(expire(directory, start + 3s));
    CHECK(stateOf(directory, "late") == ReplicaState::Leaving);
    beginHistory(directory, start + 4s, 3);
    CHECK(upsert(directory, server("late", "900")));
    CHECK(stateOf(directory, "late") == ReplicaState::Live);
}

// Guards against new work for a server that has said that it is leaving, because an entry that was written before, or is
// written again by a heartbeat, shows it as live.
TEST_CASE("a server that has said that it is leaving stays so whatever the store says of its process")
{
    BackendDirectory directory;
    beginHistory(directory, start, 1);
    replaceAll(directory, start, { server("a", "900"), server("b", "900") });
    CHECK(markLeaving(directory, server("a", "900")) == ReplicaState::Live);
    CHECK(stateOf(directory, "a") == ReplicaState::Leaving);
    CHECK(stateOf(directory, "b") == ReplicaState::Live);
    // Only the first answer changes anything.
    CHECK_FALSE(markLeaving(directory, server("a", "900")));
    auto moved = server("a", "900");
    moved.pool = "other";
    upsert(directory, moved);
    CHECK(stateOf(directory, "a") == ReplicaState::Leaving);
    // Requests that run there are told from others by the pool, so the rest of the entry counts.
    CHECK(servers(directory)[0].pool == "other");
    replaceAll(directory, start + 1s, { server("a", "900"), server("b", "900") });
    CHECK(stateOf(directory, "a") == ReplicaState::Leaving);
    upsert(directory, server("a", "900", ReplicaState::Leaving));
    upsert(directory, server("a", "900"));
    CHECK(stateOf(directory, "a") == ReplicaState::Leaving);
    remove(directory, start + 2s, "a");
    upsert(directory, server("a", "900"));
    CHECK(stateOf(directory, "a") == ReplicaState::Leaving);
    beginHistory(directory, start + 3s, 2);
    replaceAll(directory, start + 3s, { server("a", "900"), server("b", "900") });
    CHECK(stateOf(directory, "a") == ReplicaState::Leaving);
    CHECK(stateOf(directory, "b") == ReplicaState::Live);
}

// Guards against a server that was only missing after an outage of the store, and comes back although it leaves.
TEST_CASE("a server that has said that it is leaving stays so over an outage of the store")
{
    BackendDirectory directory;
    const std::string incarnation = GENERATE("900", "");
    replaceAll(directory, start, { server("a", incarnation) });
    storeFailed(directory, start + 1s);
    const auto isSaidBefore = GENERATE(true, false);
    if (isSaidBefore)
        CHECK(markLeaving(directory, server("a", incarnation)));
    storeAnswered(directory, start + 6s);
    replaceAll(directory, start + 6s, {});
    if (!isSaidBefore)
        CHECK(markLeaving(directory, server("a", incarnation)));
    expire(directory, start + 9s);
    CHECK(stateOf(directory, "a") == ReplicaState::Leaving);
    upsert(directory, server("a", incarnation));
    CHECK(stateOf(directory, "a") == ReplicaState::Leaving);
}

// Guards against a restarted server that gets no work because its former process was leaving, and against an answer of the
// former process that is taken for one of the new process.
TEST_CASE("another process with the id of a leaving server is served")
{
    BackendDirectory directory;
    upsert(directory, server("a", "900"));
    REQUIRE(markLeaving(directory, server("a", "900")));
    CHECK(upsert(directory, server("a", "1000")));
    CHECK(stateOf(directory, "a") == ReplicaState::Live);
    CHECK_FALSE(markLeaving(directory, server("a", "900")));
    CHECK(stateOf(directory, "a") == ReplicaState::Live);
    // The store shows the former process again, which has written its entry late.
    CHECK(upsert(directory, server("a", "900"), EntrySource::Change));
    CHECK(stateOf(directory, "a") == ReplicaState::Leaving);
    CHECK(upsert(directory, server("a", "1000"), EntrySource::Change));
    CHECK(stateOf(directory, "a") == ReplicaState::Live);
    CHECK_FALSE(markLeaving(directory, server("unknown", "900")));
    CHECK(markLeaving(directory, server("a", "1000")) == ReplicaState::Live);
}

// Guards against calls to a server under a service that an entry of another writer names, which lacks fields.
TEST_CASE("an entry that lacks what the known process has stated is ignored")
{
    const auto complete = [](const std::string& start) {
        auto full = server("a", start + "/v1");
        full.softwareVersion = "v1";
        full.slots = 6;
        return full;
    };
    const auto source = GENERATE(EntrySource::List, EntrySource::Change);
    BackendDirectory directory;
    REQUIRE(upsert(directory, complete("100"), source));
    auto entry = complete("100");
    entry.pool = "another";
    SECTION("its start") { entry.incarnation.clear(); }
    SECTION("its software version")
    {
        entry.incarnation = "100";
        entry.softwareVersion.clear();
    }
    SECTION("its slots") { entry.slots = 0; }
    CHECK_FALSE(upsert(directory, entry, source));
    REQUIRE(servers(directory).size() == 1);
    CHECK(servers(directory)[0] == complete("100"));
    // Another process may write fewer fields.
    auto later = server("a", "200");
    CHECK(upsert(directory, later, source));
    CHECK(servers(directory)[0] == later);
}

// Guards against an id that is never used again, because entries without an incarnation all look the same.
TEST_CASE("without an incarnation a server is another process after its removal or at another address")
{
    BackendDirectory directory;
    upsert(directory, server("a"));
    REQUIRE(markLeaving(directory, server("a")));
    upsert(directory, server("a"));
    CHECK(stateOf(directory, "a") == ReplicaState::Leaving);
    remove(directory, start, "a");
    upsert(directory, server("a"));
    CHECK(stateOf(directory, "a") == ReplicaState::Live);
    REQUIRE(markLeaving(directory, server("a")));
    auto moved = server("a");
    moved.endpoint.port = 2;
    upsert(directory, moved);
    CHECK(stateOf(directory, "a") == ReplicaState::Live);
    // An answer from the former address.
    CHECK_FALSE(markLeaving(directory, server("a")));
}

// Load pattern: servers crash and start again at their addresses under other ids, seconds before their old entries lapse.
// Guards against requests for a process that has ended, which the new one rejects until the retries are used up.
TEST_CASE("a server gets no new work once another one has started at its address")
{
    BackendDirectory directory;
    auto later = server("b", "2000/v1");
    later.endpoint = server("a").endpoint;
    upsert(directory, server("a", "1000/v1"));
    upsert(directory, server("other", "900/v1"));
    CHECK(stateOf(directory, "a") == ReplicaState::Live);
    upsert(directory, later);
    CHECK(stateOf(directory, "a") == ReplicaState::Leaving);
    CHECK(stateOf(directory, "b") == ReplicaState::Live);
    CHECK(stateOf(directory, "other") == ReplicaState::Live);
    CHECK(successorOf(directory, server("a", "1000/v1")) == "b");
    CHECK(successorOf(directory, later) == std::nullopt);
    // The old entry may still be in the store when the later server has left.
    remove(directory, start, "b");
    CHECK(stateOf(directory, "a") == ReplicaState::Leaving);
    // The id is used again by a process that starts after both.
    auto again = server("a", "3000/v1");
    upsert(directory, again);
    CHECK(stateOf(directory, "a") == ReplicaState::Live);
}

// Guards against healthy servers without work where entries don't tell which process is later.
TEST_CASE("servers at one address stay live if their start times are unknown or equal")
{
    BackendDirectory directory;
    for (const auto* incarnation : { "", "1000/v1", "no number" }) {
        for (const auto* other : { "", "1000/v2", "no number" }) {
            directory = {};
            auto second = server("b", std::string(other));
            second.endpoint = server("a").endpoint;
            upsert(directory, server("a", std::string(incarnation)));
            upsert(directory, second);
            CHECK(stateOf(directory, "a") == ReplicaState::Live);
            CHECK(stateOf(directory, "b") == ReplicaState::Live);
        }
    }
}

// Guards against crashed instances that are counted forever, which would reduce the retry budget.
TEST_CASE("an instance that stops writing its record is not counted")
{
    InstanceCount count;
    CHECK(liveInstances(count, start) == 1);
    recordInstance(count, start, "a", 1, HttpEndpoint { "127.0.0.1", 1 }, "alpine");
    recordInstance(count, start, "b", 2);
    recordInstance(count, start + 40s, "a", 9, HttpEndpoint { "127.0.0.1", 2 }, "alpine");
    recordInstance(count, start + 40s, "b", 2);
    CHECK(liveInstances(count, start + 59s) == 2);
    CHECK(liveInstances(count, start + 61s) == 1);
    REQUIRE(livePeers(count, start + 61s).size() == 1);
    CHECK(livePeers(count, start + 61s)[0].endpoint.port == 2);
}

// Guards against gone instances that count as live, because a restored store lists their old records.
TEST_CASE("the record of an older copy does not show that its instance lives")
{
    InstanceCount count;
    recordInstance(count, start, "a", makeRevision(1, 90), HttpEndpoint { "127.0.0.1", 2 }, "alpine");
    recordInstance(count, start, "b", makeRevision(1, 91));
    recordInstance(count, start + 50s, "a", makeRevision(2, 80), HttpEndpoint { "127.0.0.1", 1 }, "alpine");
    recordInstance(count, start + 50s, "b", makeRevision(2, 81));
    recordInstance(count, start + 55s, "a", makeRevision(2, 95), HttpEndpoint { "127.0.0.1", 2 }, "alpine");
    recordInstance(count, start + 55s, "b", makeRevision(2, 81));
    CHECK(liveInstanceNames(count, start + 61s) == std::vector<std::string> { "a" });
    REQUIRE(livePeers(count, start + 61s).size() == 1);
    CHECK(livePeers(count, start + 61s)[0].endpoint.port == 2);
}

// Guards against an old or duplicate datagram that replaces a newer one, and against a restart that is
// ignored.
TEST_CASE("only newer messages of an instance are applied")
{
    PeerLoads loads;
    CHECK(applyMessage(loads, start, { "a", "run-1", 5, { { "engine", 2, 30, 100 } } }));
    CHECK_FALSE(applyMessage(loads, start, { "a", "run-1", 4, { { "engine", 9, 90, 900 } } }));
    CHECK(applyMessage(loads, start, { "b", "run-1", 1, { { "engine", 1, 10, 0 } } }));
    const auto total = totalUsage(loads);
    REQUIRE(total.size() == 1);
    CHECK(total[0] == BackendUsage { "engine", 3, 40, 100 });
    CHECK(applyMessage(loads, start, { "a", "run-2", 1, {} }));
    CHECK(totalUsage(loads)[0] == BackendUsage { "engine", 1, 10, 0 });
    CHECK(removeSilentInstances(loads, start + 2s));
    CHECK(totalUsage(loads).empty());
}

// Guards against a message that changes when it is serialized and parsed, and against a datagram of another
// program that is accepted as a load message.
TEST_CASE("load messages survive serialization and other texts are rejected")
{
    CHECK(rc::check("any message", [] {
        const auto printable = rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
        LoadMessage message { *printable, "run", *rc::gen::arbitrary<std::uint64_t>() };
        message.usages.push_back({ "engine", *rc::gen::arbitrary<std::uint32_t>(), 3, 4 });
        message.backendsChangingRole.push_back("other");
        message.signatures.push_back(*rc::gen::arbitrary<std::uint64_t>());
        message.suspects.push_back({ *rc::gen::arbitrary<std::uint64_t>(), "engine", "run-3", "edge-1" });
        message.revisions["config"] = 7;
        const auto read = parseLoadMessage(serializeLoadMessage(message));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->instance == message.instance && read->sequence == message.sequence);
        RC_ASSERT(read->signatures == message.signatures && read->suspects == message.suspects);
        RC_ASSERT(read->usages == message.usages && read->backendsChangingRole == message.backendsChangingRole && read->revisions == message.revisions);
    }));
    CHECK(rc::check("any bytes", [] {
        parseLoadMessage(*rc::gen::arbitrary<std::string>());
    }));
    for (const auto* text : { "", "{}", "[]", R"({"instance":"a","run":"b","sequence":1})", R"({"instance":"a","run":"b","sequence":1,"uses":[["x",1,2]]})", R"({"instance":"a","run":"b","sequence":1,"uses":[["x",-1,2,3]]})" })
        CHECK_FALSE(parseLoadMessage(text));
}

// Guards against an instance of an earlier version that reads its lists for each message during an upgrade, because it
// takes revisions with a history for changes that it lacks.
TEST_CASE("load messages name revisions with a history in a field that earlier versions ignore")
{
    LoadMessage message { "a", "run-1", 1 };
    message.revisions = { { "plain", 7 }, { "restored", makeRevision(2, 5) } };
    const auto object = boost::json::parse(serializeLoadMessage(message)).as_object();
    CHECK(object.at("revisions") == boost::json::value { { "plain", 7 } });
    CHECK(parseLoadMessage(serializeLoadMessage(message))->revisions == message.revisions);
}
