#pragma once

/// A model in virtual time of instances that share the versions of streams through a store. It runs the pure code of the
/// instances, with kills, outages, lost answers and restores of the store, releases of servers, and take-ups.

#include "PeerInquiry.h"
#include "StreamTakeUp.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jayhold {

class StreamVersionModel {
public:
    static constexpr Duration tickTime = std::chrono::milliseconds(250);
    /// Time within which a caller takes a stream up.
    static constexpr Duration callerTime = std::chrono::seconds(14);

    /// @param random returns a number below its argument.
    /// @param version version of the first servers.
    StreamVersionModel(std::size_t instances, std::function<int(int)> random, const std::string& version);

    /// Lets time pass: servers and instances do their regular work, and waiting first events are sent.
    auto tick() -> void;
    auto run(Duration time) -> void;
    /// Begins a stream at an instance and a server that it may use.
    auto begin() -> void;
    /// Takes a stream up at any instance.
    auto takeUp() -> void;
    auto kill(std::size_t instance) -> void;
    auto killAll() -> void;
    /// Replaces the version of one server.
    auto restartServer(std::size_t server, const std::string& version) -> void;
    auto serverCount() const -> std::size_t { return m_servers.size(); }
    auto setStoreDown(bool isDown) -> void { m_isDown = isDown; }
    /// Cuts an instance off from the store, but not from its peers.
    /// Cuts an instance off from the store and from its peers, but not from callers and engines.
    auto isolate(std::size_t instance, bool isIsolated) -> void { m_instances[instance].isIsolated = isIsolated; }
    auto cutOff(std::size_t instance, bool isCutOff) -> void { m_instances[instance].isCutOff = isCutOff; }
    auto saveCopy() -> void { m_copy = m_store; }
    auto restore() -> void;

    /// Streams that a take-up gave to another version than the one that began them.
    auto joined() const -> int { return m_joined; }
    auto takeUps() const -> int { return m_takeUps; }
    /// Take-ups whose version was found.
    auto found() const -> int { return m_found; }
    auto writes() const -> int { return m_writes; }
    auto stateWrites() const -> int { return m_stateWrites; }
    auto state() const -> const StreamVersionState& { return m_store.state; }
    /// First events that wait for their record.
    auto waiting() const -> std::size_t { return m_waiting.size(); }

private:
    struct Entry {
        std::string version;
        /// Number of the process; another one with the same id is not used with the entry.
        int process = 0;

        auto operator==(const Entry&) const -> bool = default;
    };
    struct Server {
        Entry entry;
        TimePoint nextWrite {};
    };
    struct Store {
        std::int64_t revision = 1;
        StreamVersionState state;
        /// Rises with each state, also over restores.
        std::int64_t stateRevision = 0;
        /// The objects with the records, by name of the instance.
        std::map<std::string, boost::json::value> records;
        /// Entries of the registered servers, by index.
        std::map<std::size_t, Entry> servers;
    };
    struct Instance {
        std::string name;
        StreamVersionView view;
        StreamRecordTable table;
        std::map<std::string, std::string> memory;
        std::map<std::size_t, Entry> servers;
        std::int64_t serversRevision = 0;
        std::int64_t stateRevision = 0;
        /// Greatest revisions that peers have reported.
        std::int64_t reportedServers = 0;
        std::int64_t reportedState = 0;
        bool isCutOff = false;
        /// Whether it reaches no peer either.
        bool isIsolated = false;
        bool isLoaded = false;
    };
    struct Waiting {
        std::string request;
        std::size_t instance;
        std::string version;
        std::uint64_t change = 0;
        /// When the server sends the first event.
        TimePoint arrivesAt;
        TimePoint endsAt;
        bool hasWaited = false;
    };
    struct Stream {
        std::string request;
        std::string version;
        TimePoint endsAt;
    };

    auto reaches(const Instance& instance) const -> bool { return !m_isDown && !instance.isCutOff && !instance.isIsolated; }
    auto load(Instance& instance) -> void;
    auto work(Instance& instance, bool isFirst) -> void;
    auto writeState(Instance& instance) -> void;
    auto writeRecords(Instance& instance) -> void;
    auto sendFirstEvents() -> void;
    /// @return the version of a server that the instance may use, or nothing.
    auto anyVersion(const Instance& instance) -> std::optional<std::string>;
    /// Records the stream, if it needs that.
    auto announce(Waiting& waiting) -> void;
    /// Places the stream at another server.
    auto move(Waiting& waiting) -> void;
    auto readState(Instance& instance) -> void;
    /// Lets the instance know of restores of the store.
    auto learnHistory(Instance& instance) -> void;
    auto readServers(Instance& instance) -> void;
    auto list() const -> StreamVersionList;
    /// Receives the reports of the peers.
    auto hearPeers(Instance& instance) const -> void;
    /// @return whether all peers confirm that the instance knows the last change of the servers.
    auto isConfirmedByPeers(const Instance& instance) const -> bool;
    auto registerServers() -> void;

    std::function<int(int)> m_random;
    TimePoint m_now { std::chrono::seconds(1'000) };
    std::int64_t m_history = 1;
    bool m_isDown = false;
    Store m_store;
    Store m_copy;
    std::vector<Server> m_servers;
    std::vector<Instance> m_instances;
    std::vector<Waiting> m_waiting;
    std::vector<Stream> m_streams;
    int m_processes = 0;
    int m_requests = 0;
    int m_joined = 0;
    int m_takeUps = 0;
    int m_found = 0;
    int m_writes = 0;
    int m_stateWrites = 0;
};

}
