#include "../RouterFixture.h"

#include <algorithm>
#include <array>
#include <functional>
#include <future>
#include <latch>

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// Makes calls with the numbers from 0 on. All threads have started when the first call begins, because the part is
/// blocked 30 ms after the second crash.
/// @return the status of each answer.
auto callAtOnce(std::size_t count, const std::function<unsigned(int)>& call) -> std::vector<unsigned>
{
    std::latch start(static_cast<std::ptrdiff_t>(count));
    std::vector<std::future<unsigned>> calls;
    calls.reserve(count);
    for (auto number = 0; number < static_cast<int>(count); ++number) {
        calls.push_back(std::async(std::launch::async, [&, number] {
            start.arrive_and_wait();
            return call(number);
        }));
    }
    std::vector<unsigned> results;
    results.reserve(count);
    for (auto& result : calls)
        results.push_back(result.get());
    return results;
}

}

// Guards against a prompt part that goes on crashing engines because it has crashed several engines of a zone at once,
// which looks like a network failure until other processes have taken their places.
TEST_CASE("a prompt part that crashes the engines of a zone at once is refused when they have been replaced")
{
    RouterFixture fixture;
    FakeBackendServer decode3 { fixture.threads, "decode-3" };
    const std::array engines { &fixture.decode1, &fixture.decode2, &decode3 };
    fixture.registerServer(decode3, "llm", "decode");
    for (auto* engine : engines)
        engine->setBehaviour(Behaviour::DropConnection);
    // All three are placed before the first one crashes its engine.
    fixture.prefill.setTiming(100ms, Duration::zero());
    fixture.startAndWait();
    const auto call = [&](int number) {
        return fixture.call("POST", "/once/x", "prompt " + std::to_string(number), { { "Model", "m" }, { "Token-Counts", "100,200" }, { "Prompt-Prefix", "a1:30,b2:20,ff" + std::to_string(number) + ":50" } })->status;
    };
    for (const auto status : callAtOnce(engines.size(), call))
        CHECK(status >= 500);
    REQUIRE(std::ranges::all_of(engines, [](const auto* engine) { return engine->runs() == 1; }));
    for (auto* engine : engines) {
        auto entry = serverEntry(engine->endpoint(), "llm", "decode");
        entry["born"] = 1'700'000'000'001;
        fixture.platform.put("servers", engine->id(), std::move(entry));
    }
    CHECK(fixture.waitUntil([&] { return call(3) == 503; }));
    CHECK(std::ranges::all_of(engines, [](const auto* engine) { return engine->runs() == 1; }));
    fixture.stop();
}

// Guards against a prompt part that goes on crashing engines when the engines of a zone that it has crashed at once are
// not replaced soon.
TEST_CASE("a prompt part that crashes the engines of a zone at once is refused when they refuse connections")
{
    RouterFixture fixture;
    FakeBackendServer decode3 { fixture.threads, "decode-3" };
    FakeBackendServer decode4 { fixture.threads, "decode-4", Behaviour::Crash };
    const std::array engines { &fixture.decode1, &fixture.decode2, &decode3 };
    fixture.registerServer(decode3, "llm", "decode");
    for (auto* engine : engines)
        engine->setBehaviour(Behaviour::Crash);
    // All three are placed before the first one crashes its engine.
    fixture.prefill.setTiming(100ms, Duration::zero());
    fixture.startAndWait();
    const auto call = [&](const std::string& target, const std::string& part, int number) {
        return fixture.call("POST", target, "prompt " + std::to_string(number), { { "Model", "m" }, { "Token-Counts", "100,200" }, { "Prompt-Prefix", "a1:30," + part + ":20,ff" + std::to_string(number) + ":50" } })->status;
    };
    for (const auto status : callAtOnce(engines.size(), [&](int number) { return call("/once/crash", "b2", number); }))
        CHECK(status >= 500);
    REQUIRE(std::ranges::all_of(engines, [](const auto* engine) { return engine->hasCrashed(); }));
    fixture.registerServer(decode4, "llm", "decode");
    CHECK(fixture.waitUntil([&] { return call("/once/x", "c3", 3) == 200; }));
    const auto harmlessRuns = decode4.runs();
    CHECK(call("/once/crash", "b2", 4) == 503);
    CHECK(decode4.runs() == harmlessRuns);
    fixture.stop();
}
