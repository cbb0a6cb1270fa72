#include "../RouterFixture.h"

#include <algorithm>
#include <array>
#include <future>

using namespace jayhold;
using namespace jayhold::test;

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
    std::vector<std::future<unsigned>> calls;
    calls.reserve(engines.size());
    for (auto number = 0; number < static_cast<int>(engines.size()); ++number)
        calls.push_back(std::async(std::launch::async, call, number));
    for (auto& result : calls)
        CHECK(result.get() >= 500);
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
