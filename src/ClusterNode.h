#pragma once

/// An entry instance's interface to the cluster: the active configuration, the lists of backend servers
/// and peers, at-most-once records, and signatures of crashing requests. All members are thread-safe.
/// Callbacks run on one of the I/O threads.

#include "ApplyOutcome.h"
#include "BackendServer.h"
#include "ClusterSettings.h"
#include "CrashSuspect.h"
#include "EventLog.h"
#include "HttpExchange.h"
#include "IoThreads.h"
#include "Member.h"
#include "PromptReport.h"
#include "RecordDecision.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jayhold {

class LeaseManager;

class ClusterNode {
public:
    ClusterNode(IoThreads& threads, ClusterSettings settings, EventLog& log);
    ~ClusterNode();
    ClusterNode(const ClusterNode&) = delete;
    auto operator=(const ClusterNode&) -> ClusterNode& = delete;

    /// Starts watching the platform and gossiping. All callbacks must be registered before.
    auto start() -> void;

    /// Registers a callback for each configuration that becomes active here, in increasing version order.
    auto onConfiguration(std::function<void(std::shared_ptr<const Configuration>)> callback) -> void;
    /// Registers a callback that gets the complete list whenever a backend server is added, changed or
    /// removed.
    auto onBackends(std::function<void(const std::vector<BackendServer>&)> callback) -> void;
    /// Registers a callback for each new crash signature of a request.
    auto onCrashSignature(std::function<void(std::uint64_t)> callback) -> void;
    /// Registers a callback for peers that are declared dead.
    auto onMemberLost(std::function<void(const Member&)> callback) -> void;

    /// @return the active configuration, or null before the first is known.
    auto configuration() const -> std::shared_ptr<const Configuration>;
    /// @return the live instances, including this one, sorted by id.
    auto members() const -> std::vector<Member>;
    auto backends() const -> std::vector<BackendServer>;
    /// @return the owner of a name by rendezvous hashing over the live members.
    auto ownerOf(std::string_view name) const -> std::string;

    /// Checks the peer key and responds to a request on a `/internal/v1/` route.
    /// @return whether the target was such a route.
    auto handlePeerRequest(HttpExchange& exchange) -> boost::asio::awaitable<bool>;

    /// Commits the at-most-once record of a call, which must happen before the call is sent.
    /// @param key the caller's idempotency key, qualified by customer and service.
    /// @param requestDigest digest of the request, to detect a key that is reused for another request.
    /// @param attemptId unique to this attempt.
    auto beginRecord(HttpClient& client, std::string key, std::string requestDigest, std::string attemptId) -> boost::asio::awaitable<RecordDecision>;
    /// Stores the response to a call whose record this attempt started.
    /// @return whether the response is stored. If not, repeats of the request get "unknown".
    auto finishRecord(HttpClient& client, std::string key, std::string attemptId, StoredResponse response) -> boost::asio::awaitable<bool>;
    /// Withdraws the record of a call that certainly did not run, so that the key can be used again.
    auto abandonRecord(HttpClient& client, std::string key, std::string attemptId) -> boost::asio::awaitable<bool>;

    /// Applies an operator's configuration by a conditional update.
    /// @param expectedVersion the version that the operator's change is based on, 0 for none.
    auto applyConfiguration(HttpClient& client, Configuration next, std::int64_t expectedVersion) -> boost::asio::awaitable<ApplyOutcome>;

    /// Acquires a lease and renews it until it is released. Include LeaseManager.h to use the result.
    /// @param name the lease is stored in the platform's object `leases/NAME`.
    /// @param leaseTime time after which another instance can acquire the lease of a holder that died.
    auto manageLease(std::string name, Duration leaseTime) -> std::shared_ptr<LeaseManager>;

    /// Registers a callback for each new crash suspect that a peer reports.
    auto onCrashSuspect(std::function<void(const CrashSuspect&)> callback) -> void;
    /// Spreads a crash suspect to the peers.
    auto reportCrashSuspect(const CrashSuspect& suspect) -> void;
    /// Registers a callback for each new report of a peer on the prompt of a request.
    auto onPromptReport(std::function<void(const PromptReport&)> callback) -> void;
    /// Spreads a report on the prompt of a request to the peers.
    auto reportPrompt(const PromptReport& report) -> void;
    /// Spreads a crash signature to the peers.
    auto reportCrashSignature(std::uint64_t signature) -> void;
    /// Reports to the peers that a backend server has announced that it is leaving.
    auto reportLeaving(std::string_view backendId) -> void;
    /// Announces to the peers that this instance is draining, which hands its partitions over to them.
    auto startDraining() -> void;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

}
