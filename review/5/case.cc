// Another writer leaves entries of kind servers that can't be used, each within valueBytes. Exit code 1 if the processes
// of all instances end by themselves three times.

#include "../standin/Config.h"
#include "../standin/Fleet.h"
#include "../standin/PlainReplica.h"
#include "../standin/Store.h"

#include <atomic>
#include <cstdlib>
#include <thread>

using namespace review;

namespace {

constexpr int memoryMb = 110;
constexpr double requestsPerSecond = 20;
constexpr double firstAt = 3;
constexpr double entriesAt = 8;
constexpr double lastAt = 28;
constexpr int entries = 20;
/// Within valueBytes, 1,048,576.
constexpr std::size_t entryBytes = 1'000'000;
constexpr int deadlineMs = 1'500;
/// "processes end by themselves three times in the day".
constexpr int allowedEnds = 2;

auto sleepUntil(double time) -> void
{
    while (elapsed() < time)
        sleepMs(1);
}

/// An object without the fields of an entry: a list of counts.
auto otherWritersObject() -> std::string
{
    std::string object = R"({"host":"rack-7","counts":[0)";
    while (object.size() < entryBytes)
        object += ",1";
    return object + "]}";
}

}

auto main(int argumentCount, char** arguments) -> int
{
    if (argumentCount != 3)
        return 2;
    const std::string temporary = arguments[2];
    Record record(arguments[1]);
    Store store({ loopbackIp(1), 8'142 });
    store.put("config", "main", plainConfiguration());
    const std::vector<std::string> zones { "alpine", "terlingua", "marfa" };
    std::vector<std::unique_ptr<PlainReplica>> replicas;
    for (auto number = 0; number < 3; ++number) {
        const auto id = "i-ledger" + std::to_string(number);
        replicas.push_back(std::make_unique<PlainReplica>(PlainReplicaSettings { .id = id, .service = plainService, .zone = zones[static_cast<std::size_t>(number)], .address = { loopbackIp(20 + number), 8'080 } }, record, [](const std::string&) {}));
        store.put("servers", id, replicas.back()->entry());
    }
    std::vector<std::unique_ptr<Instance>> instances;
    for (auto number = 0; number < 2; ++number) {
        const auto& zone = zones[static_cast<std::size_t>(number)];
        instances.push_back(std::make_unique<Instance>(InstanceSettings { .name = "edge-" + zone + "-1", .zone = zone, .ip = loopbackIp(10 + number), .store = store.address(), .memoryMb = memoryMb }, temporary, record));
        instances.back()->start();
    }
    for (const auto& instance : instances) {
        if (!instance->waitUntilReady(4'000))
            return 2;
    }
    std::atomic<bool> isEnding { false };
    std::vector<MemoryWatch> watches(instances.size());
    std::vector<std::thread> platform;
    for (std::size_t number = 0; number < instances.size(); ++number)
        platform.emplace_back(keepRunning, std::ref(*instances[number]), std::ref(watches[number]), std::ref(record), std::cref(isEnding));
    std::thread otherWriter([&] {
        if (!isTroubled())
            return;
        sleepUntil(entriesAt);
        const auto object = otherWritersObject();
        for (auto number = 0; number < entries; ++number) {
            store.put("servers", "rack-7-" + std::to_string(100 + number), object);
            sleepMs(25);
        }
        record.line("another writer wrote " + std::to_string(entries) + " objects of " + std::to_string(object.size()) + " bytes");
    });
    std::atomic<int> answered { 0 };
    std::atomic<int> answeredLate { 0 };
    std::atomic<int> sentLate { 0 };
    std::vector<std::thread> clients;
    for (auto number = 0; firstAt + number / requestsPerSecond < lastAt; ++number) {
        clients.emplace_back([&, number] {
            const auto sentAt = firstAt + number / requestsPerSecond;
            sleepUntil(sentAt);
            const auto& instance = *instances[static_cast<std::size_t>(number % 2)];
            const auto id = "r" + std::to_string(number);
            Connection connection(connectTo(instance.front(), 1'000));
            Message answer;
            const auto isAnswered = connection.write(request("POST", "/deposit/" + std::to_string(number), { { "Host", callerHost }, { "Request-Id", id }, { "Deadline-Ms", std::to_string(deadlineMs) } }, "amount=20")) && connection.readMessage(answer, 3'000) && answer.status() == 200;
            answered += isAnswered;
            const auto isLate = sentAt > entriesAt + 4;
            sentLate += isLate;
            answeredLate += isLate && isAnswered;
            record.line("request " + id + " by way of " + instance.name() + (isAnswered ? " answered 200" : " not answered with 200"));
        });
    }
    for (auto& client : clients)
        client.join();
    otherWriter.join();
    isEnding = true;
    for (auto& thread : platform)
        thread.join();
    auto isBroken = true;
    std::string ends;
    for (std::size_t number = 0; number < instances.size(); ++number) {
        isBroken = isBroken && watches[number].kills > allowedEnds;
        ends += ", " + instances[number]->name() + " ended " + std::to_string(watches[number].kills) + " times, most memory " + std::to_string(watches[number].mostBytes >> 20U) + " MB";
    }
    record.line("requests " + std::to_string(clients.size()) + ", answered 200 " + std::to_string(answered) + ", of " + std::to_string(sentLate) + " sent 4 s after the entries " + std::to_string(answeredLate) + ends);
    record.line(isBroken ? "Fault: broken" : "Fault: held");
    instances.clear();
    std::fflush(nullptr);
    std::_Exit(isBroken ? 1 : 0);
}
