#pragma once

/// Polls the engines of a model service for load and cache events, feeds them to the shard, and
/// cancels what the engines hold for nobody.

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
    /// @param shouldReclaimFor whether another instance is lost and this one has to clean up for it
    /// at a backend server: arguments are the owner and the backend server's id.
    using ReclaimCheck = std::function<bool(std::string_view owner, std::string_view backend)>;

    EngineMonitor(EntryContext& context, std::shared_ptr<ModelService> service, ReclaimCheck shouldReclaimFor);

    /// Starts polling; a replica that is new later is taken up by refresh().
    auto refresh() -> void;
    auto stop() -> void { m_isStopped = true; }

private:
    struct Poll;

    auto run(ReplicaId replica, std::size_t thread) -> boost::asio::awaitable<void>;
    auto pollOnce(Poll& poll, const ReplicaStatus& status) -> boost::asio::awaitable<void>;
    auto pollCache(Poll& poll, const ReplicaStatus& status) -> boost::asio::awaitable<void>;
    auto reclaim(Poll& poll, const ReplicaStatus& status, const EngineLoad& load) -> boost::asio::awaitable<void>;
    auto isAbandoned(const ReplicaStatus& status, const HeldRequest& held) -> bool;

    EntryContext& m_context;
    const std::shared_ptr<ModelService> m_service;
    const ReclaimCheck m_shouldReclaimFor;
    std::atomic<bool> m_isStopped { false };
    std::mutex m_lock;
    std::set<ReplicaId> m_polled;
};

}
