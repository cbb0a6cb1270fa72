// An instance shuts down gracefully. Meanwhile engines fall silent for a second or so when a stream has made its last
// event and not yet ended. Exit code 1 if the rule LOST was broken.

#include "../standin/Config.h"
#include "../standin/Engine.h"
#include "../standin/Fleet.h"
#include "../standin/Store.h"
#include "../standin/StreamClient.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <thread>

using namespace review;

namespace {

constexpr double streamsPerSecond = 5;
constexpr double firstAt = 4;
constexpr double termAt = 24;
constexpr double graceSeconds = 8;
constexpr int silentMs = 1'400;
constexpr int eventMs = 60;
constexpr int deadlineMs = 14'000;

auto sleepUntil(double time) -> void
{
    while (elapsed() < time)
        sleepMs(2);
}

}

auto main(int argumentCount, char** arguments) -> int
{
    if (argumentCount != 3)
        return 2;
    const std::string temporary = arguments[2];
    Record record(arguments[1]);
    Store store({ loopbackIp(1), 8'142 });
    store.put("config", "main", modelConfiguration());
    const std::vector<std::string> zones { "alpine", "terlingua", "marfa" };
    std::vector<std::unique_ptr<Engine>> engines;
    for (auto number = 0; number < 6; ++number) {
        const auto& zone = zones[static_cast<std::size_t>(number % 3)];
        EngineSettings settings { .id = "i-eng" + std::to_string(number), .service = modelService, .zone = zone, .phase = number < 2 ? "prefill" : "decode", .address = { loopbackIp(20 + number), 8'080 }, .slots = 48, .eventMs = eventMs };
        engines.push_back(std::make_unique<Engine>(std::move(settings), record));
        engines.back()->onChange([&store, engine = engines.back().get()] { store.put("servers", engine->settings().id, engine->entry()); });
        engines.back()->start("v1");
        store.put("servers", engines.back()->settings().id, engines.back()->entry());
    }
    // The second instance serves what comes after the shutdown of the first.
    std::vector<std::unique_ptr<Instance>> instances;
    for (auto number = 0; number < 2; ++number) {
        const auto& zone = zones[static_cast<std::size_t>(number)];
        instances.push_back(std::make_unique<Instance>(InstanceSettings { .name = "edge-" + zone + "-1", .zone = zone, .ip = loopbackIp(10 + number), .store = store.address() }, temporary, record));
        instances.back()->start();
    }
    for (const auto& instance : instances) {
        if (!instance->waitUntilReady(4'000))
            return 2;
    }
    std::atomic<int> complete { 0 };
    std::atomic<int> lost { 0 };
    std::vector<std::thread> clients;
    // All requests reach the first instance, whole, before its SIGTERM.
    for (auto number = 0; firstAt + number / streamsPerSecond < termAt - 0.2; ++number) {
        clients.emplace_back([&, number] {
            sleepUntil(firstAt + number / streamsPerSecond);
            const auto id = "r" + std::to_string(number);
            const auto sentAt = elapsed();
            record.line("request " + id + " sent to " + instances[0]->name());
            const auto result = runStream(instances[0]->front(), id, "/blurb/" + std::to_string(number), deadlineMs);
            const auto endedAt = elapsed();
            // Planned work lasts until 1 s after graceS. The rule excuses what the replica works on in the last sixth of
            // graceS, so nothing from there on counts here. The deadline, which is also the route's timeout, was not
            // reached. No engine breaks a run off in this case: they end one only after its connection was closed.
            const auto isCut = !result.isComplete && result.status == 200;
            const auto isLost = isCut && endedAt > termAt && endedAt < termAt + graceSeconds * 5 / 6 && endedAt - sentAt < deadlineMs / 1'000.0;
            complete += result.isComplete;
            lost += isLost;
            record.line("request " + id + " ended: " + describe(result) + (isLost ? ", CUT" : ""));
        });
    }
    sleepUntil(termAt);
    instances[0]->signal(SIGTERM);
    if (isTroubled()) {
        // One after the other, so that each time the other engines have room.
        for (auto number = 2; number < 5; ++number) {
            engines[static_cast<std::size_t>(number)]->fallSilentAtEnd(silentMs);
            sleepMs(silentMs + 100);
        }
    }
    for (auto& client : clients)
        client.join();
    while (!instances[0]->hasEnded() && elapsed() < termAt + graceSeconds)
        sleepMs(10);
    const auto isBroken = lost > 0;
    record.line("streams " + std::to_string(clients.size()) + ", complete " + std::to_string(complete) + ", cut around the shutdown " + std::to_string(lost));
    record.line(isBroken ? "LOST: broken" : "LOST: held");
    instances.clear();
    std::fflush(nullptr);
    std::_Exit(isBroken ? 1 : 0);
}
