#include "../StreamVersionModel.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <random>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t instances = 3;
constexpr int steps = 400;
/// 20 s and 300 s; a release may end within the second.
constexpr int shortCutTicks = 80;
constexpr int longCutTicks = 1'200;
/// 10 s, half of a stream's life. An instance that reaches nobody for a whole release may begin streams of the old version
/// without a record.
constexpr int isolationTicks = 40;

/// The steps are drawn from one generated seed, because a sequence draws thousands of numbers.
auto randomFrom(std::uint32_t seed) -> std::function<int(int)>
{
    return [generator = std::mt19937(seed)](int end) mutable { return static_cast<int>(generator() % static_cast<std::uint32_t>(std::max(end, 1))); };
}

struct Sequence {
    explicit Sequence(std::uint32_t seed)
        : anyBelow(randomFrom(seed))
        , model(instances, randomFrom(seed + 1), version)
    {
    }

    auto step() -> void
    {
        const auto instance = static_cast<std::size_t>(anyBelow(instances));
        switch (anyBelow(20)) {
        case 0:
            model.kill(instance);
            break;
        case 1:
            if (anyBelow(3) == 0)
                model.killAll();
            break;
        case 2:
            model.setStoreDown(anyBelow(3) == 0);
            break;
        case 3:
            if (anyBelow(3) == 0)
                isolatedTicks[instance] = anyBelow(isolationTicks);
            else
                cutTicks[instance] = anyBelow(anyBelow(4) == 0 ? longCutTicks : shortCutTicks);
            break;
        case 4:
            model.saveCopy();
            break;
        case 5:
            if (anyBelow(4) == 0)
                model.restore();
            break;
        case 6:
            if (anyBelow(3) == 0)
                version = "v" + std::to_string(anyBelow(3));
            model.restartServer(static_cast<std::size_t>(anyBelow(static_cast<int>(model.serverCount()))), version);
            break;
        case 7:
            pass(anyBelow(120));
            break;
        case 8:
        case 9:
        case 10:
        case 11:
        case 12:
            model.begin();
            break;
        case 13:
        case 14:
        case 15:
        case 16:
            model.takeUp();
            break;
        default:
            pass(1 + anyBelow(4));
            break;
        }
    }

    auto pass(int ticks) -> void
    {
        for (int tick = 0; tick < ticks; ++tick) {
            for (std::size_t index = 0; index < instances; ++index) {
                model.cutOff(index, cutTicks[index]-- > 0);
                model.isolate(index, isolatedTicks[index]-- > 0);
            }
            model.tick();
        }
    }

    std::function<int(int)> anyBelow;
    std::string version = "v0";
    StreamVersionModel model;
    std::array<int, instances> cutTicks {};
    std::array<int, instances> isolatedTicks {};
};

/// Begins and takes up streams for some time.
auto serve(StreamVersionModel& model, Duration time) -> void
{
    for (Duration passed {}; passed < time; passed += StreamVersionModel::tickTime) {
        model.begin();
        model.takeUp();
        model.tick();
    }
}

}

// Guards against a stream that goes on at another version after any combination of kills, outages, restores and
// releases.
TEST_CASE("no take-up is given a version that did not begin the stream")
{
    CHECK(rc::check("any sequence", [] {
        const auto seed = *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
        Sequence sequence(seed);
        for (int step = 0; step < steps; ++step) {
            sequence.step();
            RC_ASSERT(sequence.model.joined() == 0);
        }
    }));
}

// Guards against streams that are refused although nothing has failed but the instances, and against writes in calm
// times.
TEST_CASE("in calm times and during a release nearly all streams go on")
{
    const auto seed = GENERATE(range(1U, 41U));
    CAPTURE(seed);
    StreamVersionModel model(instances, randomFrom(seed), "v0");
    // The state of the service is created first.
    model.run(5s);
    serve(model, 30s);
    model.killAll();
    serve(model, 30s);
    CHECK(model.found() == model.takeUps());
    CHECK(model.writes() == 0);
    CHECK(model.stateWrites() == 1);
    for (std::size_t server = 0; server < model.serverCount(); ++server) {
        model.restartServer(server, "v1");
        serve(model, 10s);
        model.killAll();
    }
    serve(model, 120s);
    CHECK(model.joined() == 0);
    CHECK(model.state().defaultVersion == "v1");
    constexpr int lostDivisor = 20;
    CHECK(model.takeUps() - model.found() <= model.takeUps() / lostDivisor);
    const auto writes = model.writes();
    serve(model, 60s);
    CHECK(model.writes() == writes);
}

// Guards against a stream of a release that is taken up at an instance which was cut off from the store and from its peers
// meanwhile, and goes on at the only version that this instance knows.
TEST_CASE("an instance that is cut off during a release takes up no stream of the new version at the old one")
{
    const auto seed = GENERATE(range(1U, 21U));
    CAPTURE(seed);
    StreamVersionModel model(instances, randomFrom(seed), "v0");
    model.run(5s);
    serve(model, 30s);
    model.isolate(0, true);
    for (std::size_t server = 0; server + 1 < model.serverCount(); ++server) {
        model.restartServer(server, "v1");
        serve(model, 2s);
        model.kill(1 + server % 2);
    }
    CHECK(model.joined() == 0);
    model.isolate(0, false);
    serve(model, 30s);
    CHECK(model.joined() == 0);
}
