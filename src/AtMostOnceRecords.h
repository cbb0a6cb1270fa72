#pragma once

/// Interface through which a plain service stores at-most-once records: records of calls that must not
/// run twice. The daemon's implementation forwards to ClusterNode.

#include "HttpClient.h"
#include "RecordDecision.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace jayhold {

class AtMostOnceRecords {
public:
    virtual ~AtMostOnceRecords() = default;

    virtual auto begin(HttpClient& client, std::string key, std::string digest, std::string attemptId) -> boost::asio::awaitable<RecordDecision> = 0;
    /// @return whether the response is stored.
    virtual auto finish(HttpClient& client, std::string key, std::string attemptId, StoredResponse response) -> boost::asio::awaitable<bool> = 0;
    /// @return whether the record is withdrawn.
    virtual auto abandon(HttpClient& client, std::string key, std::string attemptId) -> boost::asio::awaitable<bool> = 0;
};

}
