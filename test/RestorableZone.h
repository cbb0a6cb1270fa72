#pragma once

/// Instances of one zone whose directories read a store that can be restored from an older copy.

#include "RestorableStore.h"

#include "BlockedPartsWriter.h"
#include "StoreDirectory.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <thread>

namespace jayhold {

class RestorableZone {
public:
    struct Timing {
        Duration maxPropagationDelay;
        Duration backendLapseTime;
    };

    struct Instance {
        Instance(RestorableZone& zone, std::string name, const Timing& timing)
            : store(zone.store)
            , log(name)
        {
            DirectoryFormat format { .configurationKind = "config", .configurationName = "main", .backendKind = "servers", .instanceKind = "instances", .leaseKind = "leases", .blockedPartsKind = "blocked" };
            format.readConfiguration = [](const StoredItem& item) { return std::optional(Configuration { .version = item.value.as_int64() }); };
            format.readBackend = [](const StoredItem& item) {
                const auto& fields = item.value.as_object();
                return std::optional(BackendServer { .id = item.name, .state = fields.contains("leaving") ? ReplicaState::Leaving : ReplicaState::Live, .incarnation = std::string(fields.at("born").as_string()) });
            };
            DirectoryCallbacks callbacks {
                .configuration = [this](const Configuration& configuration) {
                    isVersionReversed = isVersionReversed || configuration.version < version;
                    version = configuration.version; },
                .backends = [this](const std::vector<BackendServer>& next) {
                    const std::lock_guard guard(lock);
                    backends = next; },
                .instanceCount = [](std::uint32_t) {},
                .peers = [](const std::vector<PeerAddress>&) {},
                .blockedParts = [this](const std::string&, const std::vector<ListedPart>& parts) {
                    const std::lock_guard guard(lock);
                    blockedParts = parts; },
                .lostBlockedParts = [this](const std::string& service, std::vector<ListedPart> parts) { writer->restore(service, std::move(parts)); },
                .changed = [this, &zone](const std::string& kind, std::int64_t revision) { zone.report(*this, kind, revision); },
                .revisionRefuted = [this](const std::string& kind) {
                    const std::lock_guard guard(lock);
                    refuted = kind; },
                .publishToZone = [this, &zone](const DirectoryUpdate& update) { zone.publish(*this, update); },
            };
            BlockedPartsCallbacks writerCallbacks { [this](std::int64_t revision) { directory->handlePeerRevision("blocked", revision); }, [](const std::string&, std::uint64_t) {} };
            writer = std::make_shared<BlockedPartsWriter>(threads, store, "blocked", log, std::move(writerCallbacks));
            directory = std::make_shared<StoreDirectory>(threads, store, std::move(format), DirectorySettings { .instance = std::move(name), .availabilityZone = "alpine", .maxPropagationDelay = timing.maxPropagationDelay, .backendLapseTime = timing.backendLapseTime }, log, std::move(callbacks));
            directory->start();
        }
        ~Instance() { threads.stop(); }
        Instance(const Instance&) = delete;
        auto operator=(const Instance&) -> Instance& = delete;

        auto post(std::function<void(StoreDirectory&)> task) -> void
        {
            boost::asio::post(threads.context(0), [this, task = std::move(task)] { task(*directory); });
        }
        /// @return whether the server is known and live.
        auto isLive(const std::string& id) const -> bool
        {
            const std::lock_guard guard(lock);
            return std::ranges::any_of(backends, [&](const BackendServer& server) { return server.id == id && server.state == ReplicaState::Live; });
        }
        auto parts() const -> std::vector<ListedPart>
        {
            const std::lock_guard guard(lock);
            return blockedParts;
        }
        /// @return the last kind of which an applied revision was wrong; empty if none.
        auto refutedKind() const -> std::string
        {
            const std::lock_guard guard(lock);
            return refuted;
        }
        auto hasLogged(std::string_view event) const -> bool
        {
            return std::ranges::any_of(log.after(0, EventLog::defaultCapacity), [&](const LoggedEvent& logged) { return logged.event == event; });
        }

        RestorableStoreClient store;
        EventLog log;
        std::atomic<std::int64_t> version { 0 };
        std::atomic<bool> isVersionReversed { false };
        mutable std::mutex lock;
        std::vector<BackendServer> backends;
        std::vector<ListedPart> blockedParts;
        std::string refuted;
        IoThreads threads { 1 };
        std::shared_ptr<BlockedPartsWriter> writer;
        std::shared_ptr<StoreDirectory> directory;
    };

    explicit RestorableZone(std::size_t count, Duration maxPropagationDelay = std::chrono::seconds(2), Duration backendLapseTime = std::chrono::seconds(20))
    {
        for (std::size_t index = 0; index < count; ++index)
            instances.push_back(std::make_unique<Instance>(*this, "edge-" + std::to_string(index + 1), Timing { maxPropagationDelay, backendLapseTime }));
        m_isComplete = true;
    }
    ~RestorableZone()
    {
        m_isComplete = false;
        for (const auto& instance : instances)
            instance->threads.stop();
    }
    RestorableZone(const RestorableZone&) = delete;
    auto operator=(const RestorableZone&) -> RestorableZone& = delete;

    /// Sends the report of an instance to the others, as load messages do.
    auto report(const Instance& sender, const std::string& kind, std::int64_t revision) -> void
    {
        {
            const std::lock_guard guard(m_lock);
            auto& known = m_reports[{ &sender, kind }];
            known = std::max(known, revision);
        }
        sendToOthers(sender, [kind, revision](StoreDirectory& directory) { directory.handlePeerRevision(kind, revision); });
    }
    /// Sends the newest reports of all instances again, as the next load messages do.
    auto repeatReports() -> void
    {
        const std::lock_guard guard(m_lock);
        for (const auto& [key, revision] : m_reports)
            sendToOthers(*key.first, [kind = key.second, revision = revision](StoreDirectory& directory) { directory.handlePeerRevision(kind, revision); });
    }
    auto publish(const Instance& sender, const DirectoryUpdate& update) -> void
    {
        if (update.changes)
            publishedHistory = std::max(publishedHistory.load(), historyOf(update.changes->upTo));
        sendToOthers(sender, [update](StoreDirectory& directory) { directory.handleDirectoryUpdate(update); });
    }
    auto last() -> Instance& { return *instances.back(); }

    /// @return whether all instances fulfil the condition within the timeout.
    auto reaches(const std::function<bool(const Instance&)>& condition, Duration timeout) const -> bool
    {
        const auto deadline = monotonicNow() + timeout;
        const auto isReached = [&] { return std::ranges::all_of(instances, [&](const auto& instance) { return condition(*instance); }); };
        while (!isReached() && monotonicNow() < deadline)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return isReached();
    }
    auto reachesVersion(std::int64_t version, Duration timeout) const -> bool
    {
        return reaches([version](const Instance& instance) { return instance.version == version; }, timeout);
    }

    RestorableStore store;
    std::vector<std::unique_ptr<Instance>> instances;
    /// Greatest history of the changes in the updates that instances have sent.
    std::atomic<std::int64_t> publishedHistory { 0 };
    /// Whether no message reaches another instance.
    std::atomic<bool> dropsMessages { false };

private:
    auto sendToOthers(const Instance& sender, const std::function<void(StoreDirectory&)>& task) -> void
    {
        if (!m_isComplete || dropsMessages)
            return;
        for (const auto& instance : instances) {
            if (instance.get() != &sender)
                instance->post(task);
        }
    }

    std::atomic<bool> m_isComplete { false };
    std::mutex m_lock;
    /// Greatest revision that an instance has reported of a kind.
    std::map<std::pair<const Instance*, std::string>, std::int64_t> m_reports;
};

}
