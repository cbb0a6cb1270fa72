#include "StreamTakeUp.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

constexpr TimePoint start { 1'000s };

/// @return what an instance knows that has read the store and the list of servers.
auto viewOf(const std::set<std::string>& versions, const StreamVersionState& state = {}, std::int64_t history = 1) -> StreamVersionView
{
    StreamVersionView view;
    updateHistory(view, start, history);
    updateListedVersions(view, start, versions);
    updateState(view, start, state);
    return view;
}

auto listOf(const std::map<std::string, StreamRecord>& records) -> StreamVersionList
{
    StreamVersionList list;
    list.records = records;
    return list;
}

const StreamVersionState defaultV1 { 1, "v1", false, 1 };
const StreamVersionState closingV1 { 2, "v1", true, 1 };
const StreamVersionState noDefault { 3, std::nullopt, false, 1 };

}

// Guards against a write for each stream, or for each check, while one version is in service.
TEST_CASE("with one version in service the state is created once and nothing is recorded")
{
    auto view = viewOf({ "v1" });
    CHECK(dueState(view, start) == defaultV1);
    CHECK(recordNeed(view, start, "v1") == RecordNeed::Strict);
    updateState(view, start, defaultV1);
    CHECK_FALSE(dueState(view, start + 24h));
    CHECK(recordNeed(view, start + 24h, "v1") == RecordNeed::None);
}

// Guards against a default while streams of several versions are begun without a record.
TEST_CASE("a release passes through the states")
{
    auto view = viewOf({ "v1" }, defaultV1);
    updateListedVersions(view, start + 1s, { "v1", "v2" });
    CHECK(recordNeed(view, start + 1s, "v2") == RecordNeed::Strict);
    CHECK(dueState(view, start + 1s) == closingV1);
    updateState(view, start + 2s, closingV1);
    CHECK(recordNeed(view, start + 2s, "v1") == RecordNeed::Bounded);
    CHECK(recordNeed(view, start + 2s, "v2") == RecordNeed::Strict);
    CHECK(versionWithoutRecord(view) == "v1");
    CHECK_FALSE(dueState(view, start + 2s + view.times.streamLifetime - 1ms));
    CHECK(dueState(view, start + 2s + view.times.streamLifetime) == noDefault);
    updateState(view, start + 30s, noDefault);
    CHECK_FALSE(versionWithoutRecord(view));
    CHECK(recordNeed(view, start + 30s, "v2") == RecordNeed::Bounded);
    CHECK(recordNeed(view, start + 30s, "v3") == RecordNeed::Strict);
    updateListedVersions(view, start + 40s, { "v2" });
    CHECK_FALSE(dueState(view, start + 99s));
    CHECK(dueState(view, start + 100s) == StreamVersionState { 4, "v2", false, 1 });
}

// Guards against a default that is based on a list which could not change.
TEST_CASE("time without the store does not count for a default")
{
    auto view = viewOf({ "v2" }, noDefault);
    updateAvailability(view, start + 50s, false);
    CHECK_FALSE(dueState(view, start + 70s));
    updateAvailability(view, start + 80s, true);
    CHECK_FALSE(dueState(view, start + 139s));
    CHECK(dueState(view, start + 140s));
}

// Guards against streams of another version that are attributed to the default because a restore lost their records.
TEST_CASE("after a restore the default counts only when no other version was listed for the life of a stream")
{
    auto view = viewOf({ "v1" }, defaultV1);
    updateHistory(view, start + 100s, 2);
    CHECK_FALSE(versionWithoutRecord(view));
    CHECK(recordNeed(view, start + 100s, "v1") == RecordNeed::Bounded);
    CHECK_FALSE(dueState(view, start + 100s));
    CHECK(dueState(view, start + 100s + view.times.streamLifetime) == StreamVersionState { 2, "v1", false, 2 });
    updateListedVersions(view, start + 101s, { "v1", "v2" });
    CHECK(dueState(view, start + 101s) == StreamVersionState { 2, std::nullopt, false, 2 });
    CHECK(dueState(viewOf({ "v1" }, {}, 2), start) == std::nullopt);
    CHECK(dueState(viewOf({ "v1" }, closingV1, 2), start) == StreamVersionState { 3, std::nullopt, false, 2 });
}

// Guards against streams without a record at an instance that is cut off from the store while another version becomes the
// default.
TEST_CASE("an instance that knows of a newer state records all streams before that can have another default")
{
    auto view = viewOf({ "v1" }, defaultV1);
    updateBehind(view, start + 30s, true);
    updateBehind(view, start + 31s, true);
    CHECK(recordNeed(view, start + 31s, "v1") == RecordNeed::None);
    CHECK(recordNeed(view, start + 30s + view.times.streamLifetime, "v1") == RecordNeed::Strict);
    updateBehind(view, start + 60s, false);
    CHECK(recordNeed(view, start + 60s, "v1") == RecordNeed::None);
    for (const auto& state : { closingV1, noDefault }) {
        auto later = viewOf({ "v1", "v2" }, state);
        CHECK(recordNeed(later, start + 30s, "v1") == RecordNeed::Bounded);
        updateBehind(later, start + 30s, true);
        CHECK(recordNeed(later, start + 30s, "v1") == RecordNeed::Strict);
    }
}

// Guards against take-ups that are refused for seconds after a restore although one version alone has been in service.
TEST_CASE("an instance that knew the servers long before a restore confirms the default soon after it")
{
    auto view = viewOf({ "v1" }, defaultV1);
    const auto restoredAt = start + view.times.streamLifetime;
    updateHistory(view, restoredAt, 2);
    CHECK_FALSE(dueState(view, restoredAt + 2s));
    CHECK(dueState(view, restoredAt + 3s) == StreamVersionState { 2, "v1", false, 2 });
    // Servers of another version may have been in service before this instance knew of any.
    auto started = viewOf({ "v1" }, defaultV1);
    updateHistory(started, start + 5s, 2);
    CHECK_FALSE(dueState(started, start + 8s));
    CHECK_FALSE(dueState(started, start + 18s));
}

// Guards against an older copy that replaces what is known.
TEST_CASE("an older state of the store is not adopted and is written again")
{
    auto view = viewOf({ "v1", "v2" }, noDefault);
    updateHistory(view, start + 1s, 2);
    CHECK_FALSE(updateState(view, start + 1s, defaultV1));
    CHECK(view.state == noDefault);
    CHECK(dueState(view, start + 1s) == StreamVersionState { 4, std::nullopt, false, 2 });
}

// Guards against streams that go on at a version that did not begin them.
TEST_CASE("the version of a stream is that of its record, else the default")
{
    const auto view = viewOf({ "v1" }, closingV1);
    const auto list = listOf({ { "a", { "llm", "v2", 7 } }, { "b", { "other", "v2", 7 } } });
    const auto recorded = findStreamVersion(view, list, "llm", "a");
    CHECK(recorded.version == "v2");
    CHECK(recorded.source == StreamVersionSource::Record);
    CHECK(findStreamVersion(view, list, "llm", "c").source == StreamVersionSource::Default);
    CHECK(findStreamVersion(view, list, "llm", "c").version == "v1");
    CHECK_FALSE(findStreamVersion(viewOf({ "v1" }, noDefault), list, "llm", "c").version);
    auto contradictory = list;
    contradictory.contradictory.insert("a");
    CHECK_FALSE(findStreamVersion(view, contradictory, "llm", "a").version);
    auto incomplete = list;
    incomplete.unreadable = 1;
    CHECK_FALSE(findStreamVersion(view, incomplete, "llm", "c").version);
    CHECK(findStreamVersion(view, incomplete, "llm", "a").version == "v2");
}

// Guards against a caller that names no request, or one of another service, and whose stream another version began.
TEST_CASE("a stream that is not named has the default version only if there is no other")
{
    const auto view = viewOf({ "v1" }, closingV1);
    const auto elsewhere = listOf({ { "b", { "other", "v2", 7 } } });
    CHECK(findStreamVersion(view, elsewhere, "llm", "").version == "v1");
    CHECK(findStreamVersion(view, elsewhere, "llm", "b").version == "v1");
    CHECK_FALSE(findStreamVersion(view, listOf({ { "a", { "llm", "v2", 7 } } }), "llm", "").version);
    CHECK_FALSE(findStreamVersion(viewOf({ "v1", "v2" }, closingV1), elsewhere, "llm", "").version);
    CHECK_FALSE(findStreamVersion(viewOf({ "v1", "v2" }, closingV1), elsewhere, "llm", "b").version);
}

// Guards against a guess while the store is away.
TEST_CASE("without the store only the single version of the whole life of a stream is taken")
{
    const auto view = viewOf({ "v1" }, defaultV1);
    CHECK_FALSE(findStreamVersionWithoutStore(view, start + 1s, false).version);
    CHECK(findStreamVersionWithoutStore(view, start + 1min, false).version == "v1");
    CHECK_FALSE(findStreamVersionWithoutStore(view, start + 1min, true).version);
    CHECK(findStreamVersionWithoutStore(view, start + 1min, true).isStoreAway);
    CHECK_FALSE(findStreamVersionWithoutStore(viewOf({ "v1", "v2" }, defaultV1), start + 1min, false).version);
    // A list from before an outage may lack a version that was being registered.
    auto late = view;
    updateAvailability(late, start + 5s, false);
    CHECK_FALSE(findStreamVersionWithoutStore(late, start + 1min, false).version);
}

// Guards against an event that is sent although the store lacks the record or has one of another version.
TEST_CASE("records count as stored when a write contains their last change")
{
    StreamRecordTable table;
    const auto first = addRecord(table, "a", { "llm", "v1", 7 }, start + 20s);
    CHECK(addRecord(table, "a", { "llm", "v1", 8 }, start + 20s) == first);
    const auto written = table.lastChange;
    const auto corrected = addRecord(table, "a", { "llm", "v2", 9 }, start + 20s);
    confirmWrite(table, written, 5);
    CHECK(isStored(table, first));
    CHECK_FALSE(isStored(table, corrected));
    CHECK(needsWrite(table));
    confirmWrite(table, corrected, 6);
    CHECK_FALSE(needsWrite(table));
    auto view = viewOf({ "v1" }, defaultV1);
    CHECK(recordNeed(view, table, start, "a", "v1") == RecordNeed::Strict);
    CHECK(recordNeed(view, table, start, "b", "v1") == RecordNeed::None);
}

// Guards against a first event that is sent while the store has, or may get, the record of its stream with another version.
TEST_CASE("a correction needs to be stored as long as the store may contain the record with another version")
{
    StreamRecordTable table;
    const auto view = viewOf({ "v1", "v2" }, noDefault);
    const auto needs = [&](std::string_view version) { return recordNeed(view, table, start + 24h, "a", version); };
    const auto record = [&](const std::string& version) { return addRecord(table, "a", { "llm", version, 7 }, start + 48h); };
    record("v2");
    record("v1");
    CHECK(needs("v1") != RecordNeed::Strict);
    // The answer to the first write is lost, and the correction is not sent.
    record("v2");
    beginWrite(table);
    record("v1");
    CHECK(needs("v1") == RecordNeed::Strict);
    // The correction is sent and not confirmed.
    const auto corrected = beginWrite(table);
    CHECK(needs("v1") == RecordNeed::Strict);
    confirmWrite(table, corrected, 5);
    CHECK(needs("v1") != RecordNeed::Strict);
    // Moved away and back: the write with the other version may have been applied.
    record("v2");
    beginWrite(table);
    record("v1");
    CHECK(needs("v1") == RecordNeed::Strict);
    confirmWrite(table, beginWrite(table), 6);
    CHECK(needs("v1") != RecordNeed::Strict);
    // An older copy of the store may contain a record that was corrected since.
    loseStored(table);
    CHECK(needs("v1") == RecordNeed::Strict);
    confirmWrite(table, beginWrite(table), 7);
    CHECK(needs("v1") != RecordNeed::Strict);
    mergeStored(table, { { "a", { "llm", "v2", 1 } } }, 9, start + 48h);
    CHECK(needs("v1") == RecordNeed::Strict);
}

// Guards against records that an earlier run or a restore of the store takes away.
TEST_CASE("stored records of an earlier run are kept, and lost ones are written again")
{
    StreamRecordTable table;
    addRecord(table, "a", { "llm", "v2", 7 }, start + 20s);
    confirmWrite(table, table.lastChange, 5);
    mergeStored(table, { { "a", { "llm", "v1", 1 } }, { "b", { "llm", "v1", 2 } } }, 9, start + 30s);
    CHECK(findRecord(table, "a")->version == "v2");
    CHECK(findRecord(table, "b")->version == "v1");
    CHECK(needsWrite(table));
    CHECK(table.revision == 9);
    confirmWrite(table, table.lastChange, 10);
    loseStored(table);
    CHECK(needsWrite(table));
    confirmWrite(table, table.lastChange, 11);
    removeExpired(table, start + 30s);
    CHECK(table.entries.empty());
    CHECK(needsWrite(table));
    confirmWrite(table, table.lastChange, 12);
    loseStored(table);
    CHECK_FALSE(needsWrite(table));
}

// Guards against objects that lose a field in their JSON form, and against entries of another writer.
TEST_CASE("states and records survive their conversion to JSON")
{
    for (const auto& state : { defaultV1, closingV1, noDefault })
        CHECK(streamVersionStateFromJson(streamVersionStateToJson(state)) == state);
    for (const auto* text : { "7", "{}", R"({"epoch":0,"closing":false,"history":1})", R"({"epoch":1,"closing":false,"history":1,"default":7})" })
        CHECK_FALSE(streamVersionStateFromJson(json::parse(text)));
    StreamRecordTable table;
    addRecord(table, "a", { "llm", "v1", 7 }, start);
    const auto records = streamRecordsFromJson(streamRecordsToJson(table));
    CHECK(records == std::map<std::string, StreamRecord> { { "a", { "llm", "v1", 7 } } });
    for (const auto* text : { "7", "{}", R"({"streams":[7]})", R"({"streams":[{"request":"a"}]})" })
        CHECK_FALSE(streamRecordsFromJson(json::parse(text)));
    ItemList list;
    list.items = { { "instance-x", 2, streamRecordsToJson(table) }, { "service-llm", 3, streamVersionStateToJson(closingV1) }, { "service-bad", 4, 7 }, { "other", 5, 7 } };
    list.revision = 9;
    const auto versions = readStreamVersions(list);
    CHECK(versions.records == *records);
    CHECK(versions.states == std::map<std::string, StreamVersionState> { { "llm", closingV1 } });
    CHECK(versions.unreadable == 2);
    CHECK(versions.revision == 9);
}
