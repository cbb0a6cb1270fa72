// One part of long prompts crashes each replica that begins an answer on it. Requests with that part come at any
// instance, no two alike; sound requests share the other parts.
#include "Lab.hh"

using namespace lab;

namespace {

constexpr int instances = 2;
constexpr int replicaCount = 6;
/// Parts of a prompt before the one that belongs to the request.
constexpr int sharedParts = 40;
constexpr long backAfterMs = 2'000;
constexpr long stableWindowMs = 3'000;
constexpr int crashingRequests = 24;
constexpr long crashingGapMs = 1'200;
constexpr long soundGapMs = 200;
constexpr auto crashingPart = "bad0bad0";

/// Position of the part in the prompt, from 0.
auto positionOfPart() -> int
{
    const auto* text = std::getenv("POSITION");
    return text ? std::atoi(text) : 36;
}

auto promptParts(const std::string& request, bool isCrashing) -> std::string
{
    std::string text = "Prompt-Prefix: ";
    char part[32];
    for (auto index = 0; index < sharedParts; ++index) {
        std::snprintf(part, sizeof(part), "5c1e0%03x", static_cast<unsigned>(index));
        text += (isCrashing && index == positionOfPart() ? std::string(crashingPart) : std::string(part)) + ":4,";
    }
    std::snprintf(part, sizeof(part), "%08zx", std::hash<std::string>()(request) & 0xffffffffU);
    return text + part + ":40\r\n";
}

/// The replicas of the run, which a crash ends and which are back some seconds later.
struct Fleet {
    explicit Fleet(Case& caseRun, Store& objects, const std::string& net)
        : run(caseRun)
        , store(objects)
    {
        for (auto index = 0; index < replicaCount; ++index) {
            settings.push_back({ .id = "d-" + std::to_string(index), .service = "llm", .endpoint = { net + std::to_string(11 + index), 8080 }, .gapMs = 20 });
            replicas.push_back(nullptr);
            start(index);
        }
        restarts = std::thread([this] { restartCrashed(); });
    }
    ~Fleet()
    {
        isOver = true;
        restarts.join();
    }

    auto start(int index) -> void
    {
        auto replica = std::make_unique<Replica>(store, settings[index], [](const Run&) {});
        replica->intercept = [this, index](const Request& request) -> std::optional<std::string> {
            const auto hasPart = request.headers.value("Prompt-Prefix").find(crashingPart) != std::string::npos;
            if (!hasPart || !troubles())
                return std::nullopt;
            {
                const std::lock_guard guard(lock);
                // The process has ended already.
                if (crashed.contains(index))
                    return std::string();
                arrivals.push_back(nowMs());
            }
            // The time to read the prompt.
            sleepMs(30);
            {
                const std::lock_guard guard(lock);
                if (crashed.contains(index))
                    return std::string();
                run.line("replica " + settings[index].id + " begins an answer to " + request.headers.value("Request-Id") + " and crashes");
                crashes.push_back(nowMs());
                crashed[index] = nowMs();
            }
            // The connection breaks when the process no longer listens, and one process crashes once.
            sleepMs(30);
            return std::string();
        };
        replica->registerEntry();
        replicas[index] = std::move(replica);
    }

    auto restartCrashed() -> void
    {
        while (!isOver) {
            std::map<int, long> found;
            {
                const std::lock_guard guard(lock);
                found = crashed;
            }
            for (const auto& [index, at] : found) {
                if (replicas[index]) {
                    replicas[index]->kill();
                    replicas[index].reset();
                } else if (nowMs() - at >= backAfterMs) {
                    {
                        const std::lock_guard guard(lock);
                        crashed.erase(index);
                    }
                    start(index);
                }
            }
            sleepMs(2);
        }
    }

    Case& run;
    Store& store;
    std::vector<Replica::Settings> settings;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::mutex lock;
    std::map<int, long> crashed;
    std::vector<long> crashes;
    std::vector<long> arrivals;
    std::atomic<bool> isOver { false };
    std::thread restarts;
};

}

auto main(int count, char** values) -> int
{
    Case run(count, values);
    const auto net = network();
    const Endpoint storeEndpoint { net + "1", 8142 };
    Store store(storeEndpoint);
    store.put("config", "main", configuration(7));
    Fleet fleet(run, store, net);
    std::vector<std::unique_ptr<Entry>> entries;
    for (auto index = 0; index < instances; ++index) {
        entries.push_back(std::make_unique<Entry>(run.program, run.temporary, "edge-" + std::to_string(index), net + std::to_string(2 + index), storeEndpoint, "", index == 0 ? "alpine" : "terlingua"));
        entries.back()->start();
    }
    for (const auto& entry : entries) {
        if (!entry->awaitReady()) {
            run.line("an instance is not ready");
            return 2;
        }
    }
    sleepMs(4'000);
    std::vector<std::thread> clients;
    std::atomic<int> sound { 0 };
    std::atomic<int> soundBroken { 0 };
    const auto soundUntil = nowMs() + crashingRequests * crashingGapMs;
    std::thread soundTraffic([&] {
        std::vector<std::thread> callers;
        for (auto index = 0; nowMs() < soundUntil; ++index) {
            callers.emplace_back([&, index] {
                const auto id = "sound-" + std::to_string(index);
                const auto answer = call(entries[index % instances]->front(), streamRequest("resume", id, promptParts(id, false), 30), milliseconds(14'000));
                ++sound;
                soundBroken += !answer.isComplete || answer.status != 200;
            });
            sleepMs(soundGapMs);
        }
        for (auto& caller : callers)
            caller.join();
    });
    sleepMs(2'000);
    for (auto index = 0; index < crashingRequests - 2; ++index) {
        clients.emplace_back([&, index] {
            const auto id = "crashing-" + std::to_string(index);
            const auto answer = call(entries[index % instances]->front(), streamRequest("resume", id, promptParts(id, true), 30), milliseconds(14'000));
            run.line(id + ": " + describe(answer));
        });
        sleepMs(crashingGapMs);
    }
    for (auto& client : clients)
        client.join();
    soundTraffic.join();
    long after = 0;
    std::size_t crashes = 0;
    {
        const std::lock_guard guard(fleet.lock);
        crashes = fleet.crashes.size();
        if (crashes >= 5)
            after = std::ranges::count_if(fleet.arrivals, [&](long at) { return at > fleet.crashes[4] + stableWindowMs; });
    }
    run.line("crashes: " + std::to_string(crashes) + ", requests with the part that reached replicas later than " + std::to_string(stableWindowMs) + " ms after the fifth: " + std::to_string(after));
    run.line("sound streams: " + std::to_string(sound) + ", not served: " + std::to_string(soundBroken));
    const auto isBroken = after > 3;
    run.line(isBroken ? "BUDGET broken" : "BUDGET kept");
    return isBroken ? 1 : 0;
}
