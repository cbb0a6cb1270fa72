#include "../RawBackend.h"
#include "../RouterFixture.h"

#include <boost/json/parse.hpp>

#include <vector>

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// Prompt tokens of the requests of streamCall().
constexpr std::uint32_t promptTokens = 100;

auto isDecode(const RawRequest& request) -> bool
{
    return !request.target.starts_with("/-/") && request.stage.empty();
}

/// Answers a decode with two events, and all other calls with success.
auto answerTo(const RawRequest& request) -> std::string
{
    if (!isDecode(request))
        return validControlResponse(request);
    return rawResponse(200, idField(request) + "Server-Seal: s\r\nContent-Type: text/event-stream\r\n", streamText(1, 2));
}

/// A router whose model service has one engine of each role. The engines record the slots that they are asked for, the
/// slots that are released and those with which a decode begins.
struct SlotFixture : RouterFixture {
    /// @param freeTokens memory that the decode engine has.
    explicit SlotFixture(std::uint32_t freeTokens = 1'000'000, bool canRelease = true)
        : backend(threads, [this, freeTokens, canRelease](const RawRequest& request) { return answer(request, freeTokens, canRelease); })
    {
        for (const auto* id : { "prefill-1", "decode-1", "decode-2" })
            platform.remove("servers", id);
        platform.put("servers", "raw-prefill", serverEntry(backend.endpoint(), "llm", "prefill"));
        platform.put("servers", "raw-decode", serverEntry(backend.endpoint(), "llm", "decode"));
        startAndWait();
    }

    auto answer(const RawRequest& request, std::uint32_t freeTokens, bool canRelease) -> RawReply
    {
        constexpr std::string_view releaseTarget = "/-/hold-drop/";
        if (isDecode(request))
            used.push_back(request.cacheHold);
        if (request.target.starts_with(releaseTarget)) {
            released.push_back(request.target.substr(releaseTarget.size()));
            return RawReply { canRelease ? answerTo(request) : rawResponse(500, "") };
        }
        if (request.target != "/-/hold-take")
            return RawReply { answerTo(request) };
        asked.push_back(boost::json::parse(request.body).at("tokens").to_number<std::uint32_t>());
        if (asked.back() > freeTokens)
            return RawReply { rawResponse(503, "Not-Executed: 1\r\n") };
        return RawReply { rawResponse(200, "", R"({"hold":"slot-)" + std::to_string(asked.size()) + R"("})") };
    }

    std::vector<std::uint32_t> asked;
    std::vector<std::string> released;
    std::vector<std::string> used;
    /// Destroyed first, because its script uses the lists.
    RawBackend backend;
};

}

// Guards against holding the memory into which running answers grow: the engine would preempt them.
TEST_CASE("a stream begins with a slot for its prompt, on an engine that had room for more")
{
    SlotFixture fixture;
    CHECK(fixture.streamCall("/once/x")->body == streamText(1, 2));
    REQUIRE(fixture.asked.size() == 2);
    CHECK(fixture.asked[0] > promptTokens);
    CHECK(fixture.asked[1] == promptTokens);
    CHECK(fixture.released == std::vector<std::string> { "slot-1" });
    CHECK(fixture.used == std::vector<std::string> { "slot-2" });
}

// Guards against a stream that starts on an engine whose answers have no room to grow.
TEST_CASE("an engine that has room for the prompt only gets no stream")
{
    SlotFixture fixture(promptTokens);
    const auto response = fixture.streamCall("/once/x");
    REQUIRE(response.has_value());
    CHECK(response->status == 503);
    CHECK(fixture.used.empty());
    CHECK(fixture.released.empty());
}

// Guards against a second reservation beside one that the engine may still hold.
TEST_CASE("a slot that can't be released is used as it is")
{
    SlotFixture fixture(1'000'000, false);
    CHECK(fixture.streamCall("/once/x")->body == streamText(1, 2));
    CHECK(fixture.asked.size() == 1);
    CHECK(fixture.used == std::vector<std::string> { "slot-1" });
}
