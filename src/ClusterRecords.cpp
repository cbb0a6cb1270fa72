#include "ClusterRecords.h"

namespace jayhold {

namespace asio = boost::asio;

auto ClusterRecords::begin(HttpClient& client, std::string key, std::string digest, std::string attemptId) -> asio::awaitable<RecordDecision>
{
    return m_node.beginRecord(client, std::move(key), std::move(digest), std::move(attemptId));
}

auto ClusterRecords::finish(HttpClient& client, std::string key, std::string attemptId, StoredResponse response) -> asio::awaitable<bool>
{
    return m_node.finishRecord(client, std::move(key), std::move(attemptId), std::move(response));
}

auto ClusterRecords::abandon(HttpClient& client, std::string key, std::string attemptId) -> asio::awaitable<bool>
{
    return m_node.abandonRecord(client, std::move(key), std::move(attemptId));
}

}
