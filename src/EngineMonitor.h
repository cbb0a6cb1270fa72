#pragma once

/// Polls the engines of a model service for load and prefix cache events, passes them to the shard, and
/// cancels orphaned attempts, which hold engine memory although no request waits for them.

#include "ModelService.h"
#include "OrphanDetector.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string_view>

namespace jayhold {

class EngineMonitor : public std::enable_shared_from_this<EngineMonitor> {
public:
    /// @param owner another instance.
    /// @param backend id of the backend server.
    /// @return whether the owner is lost and this instance has to cancel its attempts at the backend server.
    using ReclaimCheck = std::function<bool(std::string_view owner, std::string_view backend)>;

    EngineMonitor(EntryContext& context, std::shared_ptr<ModelService> service, ReclaimCheck shouldReclaimFor);

    /// Starts to poll the replicas that are not polled yet; called again when replicas were added.
    auto refresh() -> void;
    auto stop() -> void { m_isStopped = true; }

private:
    struct Poll;

    auto run(ReplicaId replica, std::size_t thread) -> boost::asio::awaitable<void>;
    auto pollOnce(Poll& poll, const ReplicaStatus& status) -> boost::asio::awaitable<void>;
    auto pollCache(Poll& poll, const ReplicaStatus& status) -> boost::asio::awaitable<void>;
    auto reclaim(Poll& poll, const ReplicaStatus& status, const EngineLoad& load) -> boost::asio::awaitable<void>;
    auto isOrphaned(const ReplicaStatus& status, const HeldRequest& held) -> bool;

    EntryContext& m_context;
    const std::shared_ptr<ModelService> m_service;
    const ReclaimCheck m_shouldReclaimFor;
    std::atomic<bool> m_isStopped { false };
    std::mutex m_lock;
    std::set<ReplicaId> m_polled;
};

}
