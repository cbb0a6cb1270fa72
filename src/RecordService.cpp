#include "RecordService.h"

#include "HttpStatus.h"
#include "MembershipOwners.h"
#include "RecordMessages.h"
#include "Rendezvous.h"
#include "Sha256.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace jayhold {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Maximum number of operations that are retried in the background at the same time, which bounds the
/// memory used during an outage of the platform. The records of further operations stay started, so
/// repeats of their calls get "unknown".
constexpr int maxBackgroundRetries = 2'048;
constexpr int maxRetries = 12;
constexpr auto initialRetryDelay = std::chrono::milliseconds(500);
constexpr auto maxRetryDelay = std::chrono::seconds(30);

struct PartitionOwner {
    std::string id;
    HttpEndpoint endpoint;
    bool isSelf;
};

auto ownerOfPartition(const ClusterCore& core, std::size_t partition) -> PartitionOwner
{
    const std::lock_guard guard(core.lock);
    auto id = rendezvousOwner(recordObjectName(partition), ownerCandidates(core.membership));
    const auto isSelf = id == core.settings.instance;
    auto endpoint = endpointOf(core.membership, id);
    return { std::move(id), std::move(endpoint), isSelf };
}

auto parseReply(const std::string& body) -> std::optional<RecordAction>
{
    boost::system::error_code code;
    const auto document = json::parse(body, code);
    return code ? std::nullopt : replyFromJson(document);
}

}

auto recordObjectName(std::size_t partition) -> std::string
{
    constexpr std::size_t firstTwoDigitNumber = 10;
    return (partition < firstTwoDigitNumber ? "records/0" : "records/") + std::to_string(partition);
}

/// Result of forwarding an operation to the owner.
struct RecordService::ForwardResult {
    /// Absent if the owner gave no valid reply.
    std::optional<RecordAction> reply;
    /// Whether the owner may have run the operation although it gave no reply.
    bool mayHaveRun = false;
};

RecordService::RecordService(ClusterPointer core)
    : m_core(std::move(core))
{
    const auto count = std::max<std::size_t>(1, m_core->settings.recordPartitions);
    for (std::size_t index = 0; index < count; ++index)
        m_partitions.push_back(std::make_shared<RecordDriver>(m_core, recordObjectName(index), index % m_core->threads.size()));
}

auto RecordService::partitionOf(std::string_view key) const -> std::size_t
{
    return stableHash(key) % m_partitions.size();
}

auto RecordService::forward(HttpClient& client, const RecordOperation& operation, HttpEndpoint owner) -> asio::awaitable<ForwardResult>
{
    auto request = peerRequest(*m_core, "POST", "/internal/v1/records/" + std::string(routeOf(operation)), json::serialize(operationToJson(operation)));
    // The other half of the time remains for running the operation here.
    const auto timeout = m_core->settings.recordTimeout / 2;
    const auto response = co_await client.request(std::move(owner), std::move(request), timeout);
    if (response.has_error())
        co_return ForwardResult { std::nullopt, response.error().kind != HttpErrorKind::NotConnected };
    if (response->status != statusOk)
        co_return ForwardResult { std::nullopt, response->status != statusMisdirected };
    co_return ForwardResult { parseReply(response->body), true };
}

auto RecordService::runOperation(HttpClient& client, RecordOperation operation) -> asio::awaitable<RecordAction>
{
    const auto partition = partitionOf(operation.key);
    operation.deadline = monotonicNow() + m_core->settings.recordTimeout;
    auto owner = ownerOfPartition(*m_core, partition);
    if (!owner.isSelf && owner.endpoint.port != 0) {
        auto forwarded = co_await forward(client, operation, std::move(owner.endpoint));
        if (forwarded.reply)
            co_return std::move(*forwarded.reply);
        // It is safe if another instance runs the operation as well: the conditional update allows only
        // one of them to take effect, and the record shows the attempt.
        operation.mayBeCommitted = forwarded.mayHaveRun;
    }
    co_return co_await m_partitions[partition]->run(std::move(operation));
}

auto RecordService::begin(HttpClient& client, std::string key, std::string requestDigest, std::string attemptId) -> asio::awaitable<RecordDecision>
{
    const auto self = shared_from_this();
    RecordOperation operation { .key = sha256Hex(key), .attemptId = std::move(attemptId) };
    {
        const std::lock_guard guard(m_core->lock);
        operation.request = BeginRecord { std::move(requestDigest), holderName(m_core->membership) };
    }
    RecordOperation withdrawal { .key = operation.key, .attemptId = operation.attemptId };
    withdrawal.request = AbandonRecord {};
    const auto action = co_await runOperation(client, std::move(operation));
    const auto* reply = std::get_if<ReplyBegin>(&action);
    if (!reply)
        co_return RecordUnavailable { std::chrono::seconds(1) };
    if (std::holds_alternative<RecordUnavailable>(reply->decision) && reply->mayBeCommitted)
        spawnOnFirstThread(m_core, retryInBackground(std::move(withdrawal)));
    co_return reply->decision;
}

auto RecordService::finish(HttpClient& client, std::string key, std::string attemptId, StoredResponse response) -> asio::awaitable<bool>
{
    const auto self = shared_from_this();
    RecordOperation operation { .key = sha256Hex(key), .attemptId = std::move(attemptId) };
    operation.request = FinishRecord { std::move(response) };
    co_return co_await runWithRetry(client, std::move(operation));
}

auto RecordService::abandon(HttpClient& client, std::string key, std::string attemptId) -> asio::awaitable<bool>
{
    const auto self = shared_from_this();
    RecordOperation operation { .key = sha256Hex(key), .attemptId = std::move(attemptId) };
    operation.request = AbandonRecord {};
    co_return co_await runWithRetry(client, std::move(operation));
}

auto RecordService::runWithRetry(HttpClient& client, RecordOperation operation) -> asio::awaitable<bool>
{
    auto retried = operation;
    const auto action = co_await runOperation(client, std::move(operation));
    const auto* reply = std::get_if<ReplyStored>(&action);
    if (reply && reply->isStored)
        co_return true;
    spawnOnFirstThread(m_core, retryInBackground(std::move(retried)));
    co_return false;
}

auto RecordService::retryInBackground(RecordOperation operation) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    if (m_backgroundRetries >= maxBackgroundRetries)
        co_return;
    ++m_backgroundRetries;
    Duration delay = initialRetryDelay;
    for (int retries = 0; retries < maxRetries && !m_core->isStopped; ++retries) {
        co_await pause(delay);
        delay = std::min<Duration>(delay * 2, maxRetryDelay);
        if (m_core->isStopped)
            break;
        const auto action = co_await runOperation(m_core->threads.client(0), operation);
        const auto* reply = std::get_if<ReplyStored>(&action);
        if (reply && reply->isStored)
            break;
    }
    --m_backgroundRetries;
}

auto RecordService::handleForwarded(std::string route, std::string body) -> asio::awaitable<HttpResponse>
{
    const auto self = shared_from_this();
    boost::system::error_code code;
    const auto document = json::parse(body, code);
    auto operation = code ? std::nullopt : operationFromJson(route, document);
    if (!operation)
        co_return HttpResponse { statusBadRequest, {}, {} };
    const auto partition = partitionOf(operation->key);
    if (!ownerOfPartition(*m_core, partition).isSelf)
        co_return HttpResponse { statusMisdirected, {}, {} };
    // The forwarding peer waits for half of the time and then runs the operation itself.
    operation->deadline = monotonicNow() + m_core->settings.recordTimeout / 2;
    const auto reply = co_await m_partitions[partition]->run(std::move(*operation));
    co_return jsonResponse(statusOk, json::serialize(replyToJson(reply)));
}

}
