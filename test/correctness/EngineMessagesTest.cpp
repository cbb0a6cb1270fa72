#include "EngineMessages.h"
#include "LostOwners.h"
#include "OrphanDetector.h"
#include "PromptDigest.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;

// Guards against an engine call that does not follow the engine interface.
TEST_CASE("engine calls are serialized in the agreed format")
{
    EngineCall call { .requestId = "i/1/s/2.1", .owner = "i", .model = "m", .prompt = "p \"q\"", .priority = 1, .deadlineMs = 900 };
    const auto prefill = boost::json::parse(serializePrefillCall(call));
    CHECK(prefill.at("request_id") == "i/1/s/2.1");
    CHECK(prefill.at("prompt") == "p \"q\"");
    CHECK(prefill.at("deadline_ms") == 900);
    call.maxTokens = 7;
    call.resumeFrom = 3;
    CHECK(boost::json::parse(serializeDecodeCall(call)).at("kv").is_null());
    call.kv = KvSource { { "127.0.0.1", 81 }, "h" };
    const auto decode = boost::json::parse(serializeDecodeCall(call));
    CHECK(decode.at("max_tokens") == 7);
    CHECK(decode.at("resume_from") == 3);
    CHECK(decode.at("kv").at("address") == "127.0.0.1:81");
    CHECK(decode.at("kv").at("handle") == "h");
}

// Guards against an engine report that is misread, or accepted although it is malformed.
TEST_CASE("engine reports are parsed and malformed ones are rejected")
{
    const auto result = parsePrefillResult(R"({"handle":"h","prompt_tokens":9,"cached_tokens":4,"kv_bytes":100,"kept_ms":800})");
    REQUIRE(result);
    CHECK(result->cachedTokens == 4);
    CHECK(result->ttl == 800ms);
    CHECK_FALSE(parsePrefillResult(R"({"handle":7})"));
    const auto load = parseEngineLoad(R"({"id":"e","sequence":5,"running":1,"waiting":2,"free_pieces":3,"held":[{"request_id":"r","owner":"o","pieces":1,"age_ms":7}]})");
    REQUIRE(load);
    CHECK(load->held.at(0).owner == "o");
    CHECK_FALSE(parseEngineLoad("nothing"));
    const auto events = parseCacheEvents(R"({"events":[{"sequence":4,"stored":[18446744073709551615],"evicted":[]},{"sequence":5,"stored":[1],"evicted":[2]}],"last":5})");
    REQUIRE(events);
    CHECK(events->firstSequence == 4);
    CHECK(events->lastSequence == 5);
    CHECK(events->stored == std::vector<std::uint64_t> { 18446744073709551615U, 1 });
}

// Guards against the cancellation of a running request because of an outdated load report.
TEST_CASE("orphaned memory is reclaimed only after two reports show it")
{
    OrphanDetector detector;
    const auto findOrphans = [&](std::uint64_t sequence, std::vector<HeldRequest> list) {
        return detector.findOrphans({ .sequence = sequence, .held = std::move(list) }, [](const HeldRequest& request) { return request.requestId != "running"; });
    };
    CHECK(findOrphans(1, { { "gone", "o" }, { "running", "o" } }).empty());
    CHECK(findOrphans(1, { { "gone", "o" }, { "running", "o" } }).empty());
    CHECK(findOrphans(2, { { "gone", "o" }, { "new", "o" }, { "running", "o" } }) == std::vector<std::string> { "gone" });
    CHECK(findOrphans(3, {}).empty());
    CHECK(findOrphans(4, { { "gone", "o" } }).empty());
}

// Guards against memory that stays allocated for an instance that died before this one started, and
// against the cancellation of attempts of a live instance.
TEST_CASE("owners are lost when declared lost or unknown for longer than the timeout")
{
    LostOwners owners;
    const TimePoint start {};
    CHECK_FALSE(owners.isLost("a", true, start));
    CHECK_FALSE(owners.isLost("a", false, start));
    CHECK_FALSE(owners.isLost("a", false, start + LostOwners::unknownOwnerTimeout - 1ms));
    CHECK(owners.isLost("a", false, start + LostOwners::unknownOwnerTimeout));
    CHECK_FALSE(owners.isLost("a", true, start + LostOwners::unknownOwnerTimeout));
    owners.markLost("b");
    CHECK(owners.isLost("b", false, start));
    CHECK_FALSE(owners.isLost("b", true, start));
    CHECK_FALSE(owners.isLost("b", false, start));
}

// Guards against prefix hashes that differ from those of the engines, because then no placement would hit
// the prefix cache.
TEST_CASE("prompt digests count words and chain block hashes")
{
    const auto digest = digestPrompt("m", " a\tb  c ", 2);
    CHECK(digest.tokens == 3);
    REQUIRE(digest.prefixBlocks.size() == 1);
    CHECK(digestPrompt("m", "a b", 2).prefixBlocks == digest.prefixBlocks);
    CHECK(digestPrompt("m", "a b c d", 2).prefixBlocks.at(0) == digest.prefixBlocks.at(0));
    CHECK(digestPrompt("m", "b a", 2).prefixBlocks != digest.prefixBlocks);
    CHECK(digestPrompt("m", "a b", 2).signature != digestPrompt("n", "a b", 2).signature);
    CHECK(digestPrompt("m", "", 2).tokens == 0);
}
