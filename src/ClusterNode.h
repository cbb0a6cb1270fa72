#pragma once

/// An entry instance's part in what the instances share: the configuration in force, the lists of
/// backend servers and peers, at-most-once records, and signatures of crashing requests. All
/// members are thread-safe; callbacks run on one of the I/O threads.

#include "ApplyOutcome.h"
#include "BackendServer.h"
#include "ClusterSettings.h"
#include "CrashSuspect.h"
#include "EventLog.h"
#include "HttpExchange.h"
#include "IoThreads.h"
#include "Member.h"
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

    /// Starts watching the platform and gossiping. Register callbacks before.
    auto start() -> void;

    /// Calls back with each configuration that comes into force here, in rising version order.
    auto onConfiguration(std::function<void(std::shared_ptr<const Configuration>)> callback) -> void;
    /// Calls back with the whole list whenever a backend server is new, changed or gone.
    auto onBackends(std::function<void(const std::vector<BackendServer>&)> callback) -> void;
    /// Calls back with each newly learned signature of a crashing request.
    auto onSignature(std::function<void(std::uint64_t)> callback) -> void;
    /// Calls back when a peer is declared dead.
    auto onMemberLost(std::function<void(const Member&)> callback) -> void;

    /// @return the configuration in force, or null before the first is known.
    auto configuration() const -> std::shared_ptr<const Configuration>;
    /// @return live peers, this instance included, in order of id.
    auto members() const -> std::vector<Member>;
    auto backends() const -> std::vector<BackendServer>;
    /// @return the instance that rendezvous hashing over the live members gives for a name.
    auto ownerOf(std::string_view name) const -> std::string;

    /// Answers a request on a `/internal/v1/` route after checking the peer key.
    /// @return whether the target was such a route.
    auto handlePeerRequest(HttpExchange& exchange) -> boost::asio::awaitable<bool>;

    /// Commits the at-most-once record of a call before it may leave.
    /// @param key the caller's idempotency key, qualified by customer and service.
    /// @param requestDigest digest of the request, to recognise a key used for another one.
    /// @param attemptId unique to this attempt.
    auto beginRecord(HttpClient& client, std::string key, std::string requestDigest, std::string attemptId) -> boost::asio::awaitable<RecordDecision>;
    /// Stores the answer of a call whose record this attempt started.
    /// @return whether the answer is stored; otherwise repeats get "unknown".
    auto finishRecord(HttpClient& client, std::string key, std::string attemptId, StoredAnswer answer) -> boost::asio::awaitable<bool>;
    /// Withdraws a record whose call certainly did not run, so that the key can be used again.
    auto abandonRecord(HttpClient& client, std::string key, std::string attemptId) -> boost::asio::awaitable<bool>;

    /// Applies an operator's configuration by conditional update.
    /// @param expectedVersion the version that the operator's change is based on, 0 for none.
    auto applyConfiguration(HttpClient& client, Configuration next, std::int64_t expectedVersion) -> boost::asio::awaitable<ApplyOutcome>;

    /// Acquires a lease and keeps it until it is released; include LeaseManager.h to use it.
    /// @param name the lease is stored in the platform's object `leases/NAME`.
    /// @param leaseTime how long others wait after a holder that died.
    auto manageLease(std::string name, Duration leaseTime) -> std::shared_ptr<LeaseManager>;

    /// Calls back with each newly learned suspect of a crash.
    auto onSuspect(std::function<void(const CrashSuspect&)> callback) -> void;
    /// Passes a suspect of a crash on to the peers.
    auto reportSuspect(const CrashSuspect& suspect) -> void;
    /// Passes a signature on to the peers.
    auto reportSignature(std::uint64_t signature) -> void;
    /// Tells the peers that a backend server says it is leaving.
    auto reportLeaving(std::string_view backendId) -> void;
    /// Tells the peers that this instance is draining and hands its partitions over.
    auto startDraining() -> void;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

}
