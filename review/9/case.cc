// Streams are recorded with the version of a replica that crashes before their first event. They go on at replicas of
// another version while the store turns their instance away, and are taken up elsewhere after the instance has ended.
#include "Lab.hh"

using namespace lab;

namespace {

constexpr int instances = 3;
constexpr int firstVersionReplicas = 6;
constexpr int secondVersionReplicas = 2;
constexpr int streams = 40;
constexpr long backAfterMs = 2'000;

struct Stream {
    std::string id;
    Answer began;
    Answer takenUp;
    int lastEvent = -1;
};

auto holds(const Stream& stream, const std::string& version) -> bool
{
    const auto mark = " " + version + "\n";
    return stream.began.body.find(mark) != std::string::npos || stream.takenUp.body.find(mark) != std::string::npos;
}

}

auto main(int count, char** values) -> int
{
    Case run(count, values);
    const auto net = network();
    const Endpoint storeEndpoint { net + "1", 8142 };
    const Endpoint otherEndpoint { net + "40", 8142 };
    Store store(storeEndpoint);
    store.listenForSome(otherEndpoint);
    store.put("config", "main", configuration(7));
    const auto note = [&](const Run& what) {
        if (what.request.starts_with("stream"))
            run.line("replica " + what.replica + " " + what.version + ": " + what.request + " " + what.what);
    };
    std::vector<Replica::Settings> settings;
    std::vector<std::unique_ptr<Replica>> replicas;
    for (auto index = 0; index < firstVersionReplicas + secondVersionReplicas; ++index) {
        settings.push_back({ .id = "d-" + std::to_string(index), .service = "llm", .endpoint = { net + std::to_string(11 + index), 8080 }, .version = index < firstVersionReplicas ? "v1" : "v2", .firstMs = 1'000 });
        replicas.push_back(std::make_unique<Replica>(store, settings.back(), note));
        replicas.back()->registerEntry();
    }
    const std::string zones[] = { "alpine", "terlingua", "marfa" };
    std::vector<std::unique_ptr<Entry>> entries;
    for (auto index = 0; index < instances; ++index) {
        entries.push_back(std::make_unique<Entry>(run.program, run.temporary, "edge-" + std::to_string(index), net + std::to_string(2 + index), index == 0 ? otherEndpoint : storeEndpoint, "", zones[index]));
        entries.back()->start();
    }
    for (const auto& entry : entries) {
        if (!entry->awaitReady()) {
            run.line("an instance is not ready");
            return 2;
        }
    }
    sleepMs(7'000);
    // Ordinary requests, from which the retry budget earns.
    std::vector<std::thread> clients;
    for (auto index = 0; index < 80; ++index) {
        clients.emplace_back([&, index] { call(entries[0]->front(), streamRequest("whole", "before-" + std::to_string(index), {}, 1), milliseconds(14'000)); });
        sleepMs(10);
    }
    for (auto& client : clients)
        client.join();
    clients.clear();
    std::vector<Stream> all(streams);
    for (auto index = 0; index < streams; ++index) {
        clients.emplace_back([&, index] {
            auto& stream = all[index];
            stream.id = "stream-" + std::to_string(index);
            stream.began = call(entries[0]->front(), streamRequest("resume", stream.id, {}, 60), milliseconds(14'000));
            const auto position = stream.began.body.rfind("id: ");
            stream.lastEvent = position == std::string::npos ? -1 : std::atoi(stream.began.body.c_str() + position + 4);
            run.line(stream.id + ": " + describe(stream.began));
        });
        sleepMs(2);
    }
    if (troubles()) {
        sleepMs(350);
        run.line("the store turns edge-0 away");
        store.setTurnsSomeAway(true);
        sleepMs(150);
        run.line("the replicas of v2 crash");
        for (auto index = firstVersionReplicas; index < firstVersionReplicas + secondVersionReplicas; ++index)
            replicas[index]->kill();
        sleepMs(backAfterMs);
        for (auto index = firstVersionReplicas; index < firstVersionReplicas + secondVersionReplicas; ++index) {
            replicas[index] = std::make_unique<Replica>(store, settings[index], note);
            replicas[index]->registerEntry();
        }
        run.line("the replicas of v2 are back");
        sleepMs(500);
        run.line("edge-0 is killed");
        entries[0]->signal(SIGKILL);
    }
    for (auto& client : clients)
        client.join();
    clients.clear();
    for (auto& stream : all) {
        if (stream.lastEvent < 0 || stream.began.isComplete)
            continue;
        clients.emplace_back([&] {
            const auto headers = "Last-Event-Id: " + std::to_string(stream.lastEvent) + "\r\nResumes: " + stream.id + "\r\n";
            stream.takenUp = call(entries[1]->front(), streamRequest("resume", stream.id + "-again", headers, 60), milliseconds(10'000));
            run.line(stream.id + "-again: " + describe(stream.takenUp));
        });
    }
    for (auto& client : clients)
        client.join();
    const auto mixed = std::ranges::count_if(all, [](const Stream& stream) { return holds(stream, "v1") && holds(stream, "v2"); });
    const auto whole = std::ranges::count_if(all, [](const Stream& stream) { return stream.began.isComplete || stream.takenUp.isComplete; });
    run.line("streams: " + std::to_string(streams) + ", taken up: " + std::to_string(clients.size()) + ", complete in the end: " + std::to_string(whole) + ", with events of two software versions: " + std::to_string(mixed));
    const auto isBroken = mixed > 2;
    run.line(isBroken ? "ORDER broken" : "ORDER kept");
    return isBroken ? 1 : 0;
}
