#pragma once

/// At-most-once records as one instance serves them: operations go to the owner of the key's
/// partition, and are run here where this instance is the owner or the owner can't be reached.
/// Private to the cluster library.

#include "ClusterCore.h"
#include "RecordDriver.h"

#include <memory>
#include <vector>

namespace jayhold {

class RecordService : public std::enable_shared_from_this<RecordService> {
public:
    explicit RecordService(ClusterPointer core);

    auto begin(HttpClient& client, std::string key, std::string requestDigest, std::string attemptId) -> boost::asio::awaitable<RecordDecision>;
    auto finish(HttpClient& client, std::string key, std::string attemptId, StoredAnswer answer) -> boost::asio::awaitable<bool>;
    auto abandon(HttpClient& client, std::string key, std::string attemptId) -> boost::asio::awaitable<bool>;

    /// Answers a peer that forwards an operation.
    /// @param route the last part of the target.
    auto answerPeer(std::string route, std::string body) -> boost::asio::awaitable<HttpResponse>;

private:
    struct ForwardResult;

    auto runOperation(HttpClient& client, RecordOperation operation) -> boost::asio::awaitable<RecordAction>;
    auto forward(HttpClient& client, const RecordOperation& operation, HttpEndpoint owner) -> boost::asio::awaitable<ForwardResult>;
    /// Runs a finish or an abandon, and goes on in the background where it can't be stored now.
    auto runWithRetry(HttpClient& client, RecordOperation operation) -> boost::asio::awaitable<bool>;
    auto retryInBackground(RecordOperation operation) -> boost::asio::awaitable<void>;
    auto partitionOf(std::string_view key) const -> std::size_t;

    const ClusterPointer m_core;
    std::vector<std::shared_ptr<RecordDriver>> m_partitions;
    /// Operations that retryInBackground() is repeating.
    std::atomic<int> m_backgroundRetries { 0 };
};

/// @return the object of a partition, such as `records/07`.
auto recordObjectName(std::size_t partition) -> std::string;

}
