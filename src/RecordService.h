#pragma once

/// The at-most-once record service of one instance. Operations are forwarded to the owner of the key's
/// partition. They run here if this instance is the owner or the owner can't be reached. Private to the
/// cluster library.

#include "ClusterCore.h"
#include "RecordDriver.h"

#include <memory>
#include <vector>

namespace jayhold {

class RecordService : public std::enable_shared_from_this<RecordService> {
public:
    explicit RecordService(ClusterPointer core);

    auto begin(HttpClient& client, std::string key, std::string requestDigest, std::string attemptId) -> boost::asio::awaitable<RecordDecision>;
    auto finish(HttpClient& client, std::string key, std::string attemptId, StoredResponse response) -> boost::asio::awaitable<bool>;
    auto abandon(HttpClient& client, std::string key, std::string attemptId) -> boost::asio::awaitable<bool>;

    /// Runs an operation that a peer has forwarded.
    /// @param route last segment of the request target.
    /// @return the response, which is "misdirected" if this instance is not the owner.
    auto handleForwarded(std::string route, std::string body) -> boost::asio::awaitable<HttpResponse>;

private:
    struct ForwardResult;

    auto runOperation(HttpClient& client, RecordOperation operation) -> boost::asio::awaitable<RecordAction>;
    auto forward(HttpClient& client, const RecordOperation& operation, HttpEndpoint owner) -> boost::asio::awaitable<ForwardResult>;
    /// Runs a finish or an abandon operation, and retries it in the background if it can't be stored now.
    /// @return whether it is stored.
    auto runWithRetry(HttpClient& client, RecordOperation operation) -> boost::asio::awaitable<bool>;
    auto retryInBackground(RecordOperation operation) -> boost::asio::awaitable<void>;
    auto partitionOf(std::string_view key) const -> std::size_t;

    const ClusterPointer m_core;
    std::vector<std::shared_ptr<RecordDriver>> m_partitions;
    /// Number of operations that retryInBackground() is retrying.
    std::atomic<int> m_backgroundRetries { 0 };
};

/// @return the object name of a partition, such as `records/07`.
auto recordObjectName(std::size_t partition) -> std::string;

}
