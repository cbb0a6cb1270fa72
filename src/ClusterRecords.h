#pragma once

/// At-most-once records that the cluster keeps, partitioned over its members.

#include "AtMostOnceRecords.h"
#include "ClusterNode.h"

namespace jayhold {

class ClusterRecords final : public AtMostOnceRecords {
public:
    explicit ClusterRecords(ClusterNode& node)
        : m_node(node)
    {
    }

    auto begin(HttpClient& client, std::string key, std::string digest, std::string attemptId) -> boost::asio::awaitable<RecordDecision> override;
    auto finish(HttpClient& client, std::string key, std::string attemptId, StoredResponse response) -> boost::asio::awaitable<bool> override;
    auto abandon(HttpClient& client, std::string key, std::string attemptId) -> boost::asio::awaitable<bool> override;

private:
    ClusterNode& m_node;
};

}
