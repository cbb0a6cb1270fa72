#include "BackendDirectory.h"
#include "PlainBalancer.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

using Entries = std::map<std::string, BackendServer>;
using Process = std::pair<std::string, std::string>;

/// Later than the settling times of the directory, and earlier than it forgets a removed server.
constexpr Duration settlingTime = 5s;
constexpr Duration outageTime = 2s;

/// Servers that start, leave and restart, a store that lists them late or as they were, and an instance that knows of them
/// by the store and by answers.
struct Simulation {
    BackendDirectory directory;
    PlainBalancer balancer;
    TimePoint now { 1'000s };
    std::int64_t history = 1;
    std::int64_t lastStart = 900;
    /// The processes that run.
    std::map<std::string, BackendServer> running;
    /// The entries of the store, and those of its older copy.
    Entries store;
    Entries copy;
    /// Entries that were written at some time, which an instance may see late.
    std::vector<BackendServer> written;
    /// Processes that have said to the instance that they are leaving.
    std::set<Process> said;

    auto write(const BackendServer& server) -> void
    {
        store[server.id] = server;
        written.push_back(server);
    }

    auto start(const std::string& id) -> void
    {
        running[id] = { .id = id, .endpoint = { "server-" + id, 1 }, .pool = "pool", .incarnation = std::to_string(++lastStart) };
        write(running[id]);
    }

    auto readStore() -> void
    {
        beginHistory(directory, now, history);
        std::vector<BackendServer> listed;
        for (const auto& [id, server] : store)
            listed.push_back(server);
        replaceAll(directory, now, listed);
        publish();
    }

    auto publish() -> void
    {
        expire(directory, now);
        std::vector<PlainBackend> list;
        for (auto& server : servers(directory))
            list.push_back({ .server = std::move(server), .slots = 100 });
        balancer.update(std::move(list));
    }

    /// Sends a call if a server can take it.
    /// @return the process that got it.
    auto call() -> std::optional<Process>
    {
        const auto server = balancer.acquire(now, {});
        if (!server)
            return std::nullopt;
        balancer.release(now, server->id, true);
        return Process { server->id, server->incarnation };
    }

    /// A call that was sent to a process before it was known to leave is answered.
    auto answer(const BackendServer& server) -> void
    {
        markLeaving(directory, server);
        for (const auto& known : servers(directory)) {
            if (known.id == server.id && known.incarnation == server.incarnation)
                said.insert({ server.id, server.incarnation });
        }
        publish();
    }
};

auto step(Simulation& simulation) -> void
{
    const auto id = *rc::gen::element<std::string>("a", "b", "c");
    auto& running = simulation.running.at(id);
    switch (*rc::gen::inRange(0, 10)) {
    case 0:
        simulation.answer(running);
        break;
    case 1:
        // A former process may still answer.
        simulation.answer(*rc::gen::elementOf(simulation.written));
        break;
    case 2:
        // A heartbeat writes the entry again.
        simulation.write(running);
        simulation.readStore();
        break;
    case 3: {
        auto draining = running;
        draining.state = ReplicaState::Leaving;
        simulation.write(draining);
        simulation.readStore();
        break;
    }
    case 4:
        simulation.store.erase(id);
        simulation.readStore();
        break;
    case 5:
        simulation.start(id);
        simulation.readStore();
        break;
    case 6: {
        // A change arrives late.
        upsert(simulation.directory, *rc::gen::elementOf(simulation.written));
        simulation.publish();
        break;
    }
    case 7:
        simulation.copy = simulation.store;
        break;
    case 8:
        simulation.store = simulation.copy;
        ++simulation.history;
        simulation.readStore();
        break;
    default:
        storeFailed(simulation.directory, simulation.now);
        simulation.now += outageTime;
        simulation.store.erase(id);
        storeAnswered(simulation.directory, simulation.now);
        simulation.readStore();
        break;
    }
    simulation.now += *rc::gen::element<Duration>(0s, 500ms, settlingTime);
    simulation.publish();
}

}

// Guards against work for a process that has said that it is leaving, after any sequence of answers, entries, restarts and
// restores, and against a process that gets none because another one with its id was leaving.
TEST_CASE("no call is sent to a process that has said that it is leaving, and the next process is served")
{
    CHECK(rc::check("any sequence of answers, entries, restarts and restores", [] {
        Simulation simulation;
        for (const auto* id : { "a", "b", "c" })
            simulation.start(id);
        simulation.copy = simulation.store;
        simulation.readStore();
        const auto steps = *rc::gen::inRange(1, 60);
        for (auto index = 0; index < steps; ++index) {
            step(simulation);
            for (auto call = 0; call < 3; ++call) {
                const auto process = simulation.call();
                const auto isLeaving = process && simulation.said.contains(*process);
                RC_ASSERT_FALSE(isLeaving);
            }
        }
        // New processes of all servers, in the same store.
        for (const auto* id : { "a", "b", "c" })
            simulation.start(id);
        simulation.readStore();
        std::set<Process> served;
        for (auto call = 0; call < 6; ++call) {
            if (const auto process = simulation.call())
                served.insert(*process);
        }
        for (const auto& [id, server] : simulation.running)
            RC_ASSERT(served.contains({ id, server.incarnation }));
    }));
}
