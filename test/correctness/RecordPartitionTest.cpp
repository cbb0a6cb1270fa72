#include "../RecordSimulation.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t stepsPerRun = 400;

auto submitBegin(RecordPartition& partition, RecordTime time, std::uint64_t operationId, const std::string& key) -> RecordActions
{
    RecordActions actions;
    RecordOperation operation { operationId, key, "attempt-" + std::to_string(operationId), time.now + 2s, BeginRecord { "digest", "holder/1" } };
    submit(partition, time, std::move(operation), actions);
    return actions;
}

auto decisionOf(const RecordActions& actions) -> const RecordDecision&
{
    return std::get<ReplyBegin>(actions.at(0)).decision;
}

}

// Guards against a call that runs twice, an answer that changes, and a refused call that ran, under lost
// replies, late writes, outages, and crashes and pauses of any of several owners.
TEST_CASE("records are safe under any interleaving of owners and faults")
{
    rc::prop("at most one attempt runs and its answer does not change", [] {
        const auto owners = *rc::gen::inRange<std::size_t>(1, 4);
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(stepsPerRun, rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, 1U << 30U)));
        RecordSimulation simulation(owners, {});
        for (const auto choice : steps) {
            simulation.step(choice);
            if (!simulation.violation().empty())
                RC_FAIL(simulation.violation());
        }
        simulation.runToCompletion();
        if (!simulation.violation().empty())
            RC_FAIL(simulation.violation());
        RC_CLASSIFY(simulation.startedCount() > 0, "some call ran");
        RC_CLASSIFY(simulation.doneCount() > 0, "some answer was replayed");
    });
}

// Guards against one platform write per call, which would exceed the platform's rate limit.
TEST_CASE("operations that arrive during a write are committed together")
{
    RecordSimulation simulation(1, {});
    simulation.beginCall(0, "key-0", "digest");
    simulation.deliver(0);
    for (int call = 1; call <= 50; ++call)
        simulation.beginCall(0, "key-" + std::to_string(call), "digest");
    simulation.deliver(0);
    simulation.deliver(0);
    CHECK(simulation.startedCount() == 51);
    CHECK(simulation.writes() == 2);
}

// Guards against records that are kept forever, and against a value above the platform's size limit.
TEST_CASE("a full partition refuses new records and expired records are removed")
{
    RecordPartition partition;
    partition.settings.maxBytes = 10'000;
    RecordTime time { TimePoint(1'000s), 1'000'000 };
    auto actions = submitBegin(partition, time, 1, "key-1");
    REQUIRE(std::holds_alternative<LoadTable>(actions.at(0)));
    actions.clear();
    tableLoaded(partition, time, 0, {}, actions);
    std::int64_t revision = 0;
    auto acceptedCount = 0;
    for (std::uint64_t operationId = 2; operationId < 20; ++operationId) {
        if (!actions.empty() && std::holds_alternative<WriteTable>(actions.back())) {
            CHECK(boost::json::serialize(toJson(*partition.proposed)).size() <= partition.settings.maxBytes);
            actions.clear();
            updateApplied(partition, time, ++revision, actions);
            ++acceptedCount;
        }
        actions = submitBegin(partition, time, operationId, "key-" + std::to_string(operationId));
    }
    CHECK(acceptedCount > 1);
    CHECK(acceptedCount < 10);
    CHECK(std::holds_alternative<RecordUnavailable>(decisionOf(actions)));
    time.wallMs += partition.settings.retentionMs + 1;
    actions = submitBegin(partition, time, 99, "key-99");
    REQUIRE(std::holds_alternative<WriteTable>(actions.at(0)));
    CHECK(partition.proposed->entries.size() == 1);
}

// Guards against an answer that can't be stored because it is not text, and against a size estimate below
// the actual size.
TEST_CASE("tables survive a round trip and their size is not underestimated")
{
    rc::prop("a table with any answer survives", [](const std::string& body) {
        RecordTable table;
        putEntry(table, "k", { RecordState::Done, "digest", "attempt", "holder", 5, { 200, "text/plain", body } });
        putEntry(table, "other", { RecordState::Started, "digest", "attempt", "holder", 6, {} });
        const auto text = boost::json::serialize(toJson(table));
        const auto copy = recordTableFromJson(boost::json::parse(text));
        RC_ASSERT(copy.has_value());
        RC_ASSERT(copy->entries == table.entries);
        RC_ASSERT(text.size() <= table.bytes);
    });
}

// Guards against a repeat that runs a call again after its holder died, or waits for it forever.
TEST_CASE("a started record is unknown once its holder is lost or the started limit has passed")
{
    RecordPartition partition;
    auto isLive = true;
    partition.isHolderLive = [&](std::string_view) { return isLive; };
    RecordTime time { TimePoint(1'000s), 1'000'000 };
    RecordTable table;
    putEntry(table, "key", { RecordState::Started, "digest", "first", "holder/1", time.wallMs, {} });
    auto actions = submitBegin(partition, time, 1, "key");
    actions.clear();
    tableLoaded(partition, time, 1, table, actions);
    CHECK(std::holds_alternative<RecordInProgress>(decisionOf(actions)));
    isLive = false;
    CHECK(std::holds_alternative<RecordUnknown>(decisionOf(submitBegin(partition, time, 2, "key"))));
    isLive = true;
    time.wallMs += partition.settings.startedLimitMs + 1;
    CHECK(std::holds_alternative<RecordUnknown>(decisionOf(submitBegin(partition, time, 3, "key"))));
}
