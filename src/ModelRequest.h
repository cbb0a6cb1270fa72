#pragma once

/// The life cycle of one model request at an entry instance: it carries out what the shard decides
/// for the request, reports what comes of it, and answers the caller. Everything but deliver()
/// runs on the I/O thread of the exchange.

#include "ActionReceiver.h"
#include "DecodeRelay.h"
#include "EngineCall.h"
#include "EngineError.h"
#include "HttpExchange.h"
#include "ModelRequestInfo.h"
#include "ModelService.h"
#include "PrefillResult.h"
#include "RequestStateMachine.h"
#include "ResponseWriter.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <variant>

namespace jayhold {

class ModelRequest : public ActionReceiver, public std::enable_shared_from_this<ModelRequest> {
public:
    ModelRequest(EntryContext& context, std::shared_ptr<ModelService> service, HttpExchange& exchange, ModelRequestInfo info);
    ~ModelRequest() override;
    ModelRequest(const ModelRequest&) = delete;
    auto operator=(const ModelRequest&) -> ModelRequest& = delete;

    /// Runs the request until the caller has its final answer or is gone.
    auto run() -> boost::asio::awaitable<void>;

    auto deliver(const DecisionAction& action) -> void override;

private:
    struct CallerDisconnected { };
    /// The shard has not ended the request although its deadline is long past.
    struct DeadlineExpired { };
    struct PrefillEnded {
        std::uint64_t task;
        EngineResult<PrefillResult> result;
        /// Whether the decode engine had no room, so that the prefill was not sent.
        bool isSlotRefused = false;
    };
    /// A seat that a decode engine keeps for the request.
    struct ReservedSlot {
        BackendServer server;
        ReplicaId replica;
        std::string name;
    };
    struct DecodeEnded {
        std::uint64_t task;
        RelayResult outcome;
        /// Whether the decode engine had no room, so that the decode was not sent.
        bool isSlotRefused = false;
    };
    using RequestEvent = std::variant<DecisionAction, CallerDisconnected, DeadlineExpired, PrefillEnded, DecodeEnded>;
    struct Tasks;

    auto enqueue(RequestEvent command) -> void;
    auto nextEvent() -> boost::asio::awaitable<RequestEvent>;
    auto handle(RequestEvent command) -> boost::asio::awaitable<void>;
    auto handleAction(DecisionAction action) -> boost::asio::awaitable<void>;
    auto beginPrefill(StartPrefill action) -> boost::asio::awaitable<void>;
    auto beginDecode(StartDecode action) -> boost::asio::awaitable<void>;
    auto endPrefill(PrefillEnded ended) -> void;
    auto endDecode(DecodeEnded ended) -> boost::asio::awaitable<void>;
    auto finish() -> boost::asio::awaitable<void>;
    auto refuse(ApiError error) -> boost::asio::awaitable<void>;
    auto cancel() -> boost::asio::awaitable<void>;

    /// Starts the task of an attempt; at most one runs at a time.
    auto spawnTask(boost::asio::awaitable<void> task) -> void;
    /// Makes the running task fail at once and closes its connection to the engine.
    auto interruptTask() -> void;
    /// Ends the running task, closes its connection and waits until it is gone.
    auto stopTask() -> boost::asio::awaitable<void>;
    auto runPrefill(std::uint64_t task, ReplicaStatus replica, std::optional<ReplicaStatus> decode, EngineCall call) -> boost::asio::awaitable<void>;
    /// Asks the decode engine to keep a seat, where engines do that.
    /// @return the failure where it refused.
    auto reserveSlot(const std::optional<ReplicaStatus>& decode) -> boost::asio::awaitable<std::optional<EngineError>>;
    auto recordSlotRefusal(const EngineError& error) -> void;
    auto releaseSlot() -> void;
    /// Frees something at an engine in the background, and says where that fails.
    auto releaseInBackground(std::string_view what, const BackendServer& server, boost::asio::awaitable<bool> call) -> void;
    /// @param needsSlot whether the engine is asked to keep a seat first.
    auto runDecode(std::uint64_t task, ReplicaStatus replica, EngineCall call, bool needsSlot) -> boost::asio::awaitable<void>;
    auto relay(HttpStream& stream) -> boost::asio::awaitable<RelayResult>;

    /// @param resumedFrom tokens that the caller had before this attempt.
    auto recordFirstToken(std::uint32_t resumedFrom) -> void;
    auto engineCall() const -> EngineCall;
    auto recordAttemptFailure(std::string_view phase, const EngineError& error) -> void;
    /// @return the name under which the request is logged.
    auto callerRequestId() const -> std::string;
    auto record(LogLevel level, std::string_view event, std::initializer_list<LogField> details = {}) -> void;
    /// Records what places or refuses the request, with the age of what it rests on.
    auto recordDecision(LogLevel level, std::string_view event, std::initializer_list<LogField> details) -> void;
    auto fieldsOf(std::initializer_list<LogField> details) const -> std::vector<LogField>;
    /// Frees the prefill result where no decode has fetched it.
    auto releasePrefillResult() -> void;
    auto usage() const -> CompletionUsage;
    /// @return tokens that the caller has, as the decision code counts them.
    auto tokensSent() const -> std::uint32_t { return m_relay.tokens() * m_tokensPerEvent; }

    EntryContext& m_context;
    const std::shared_ptr<ModelService> m_service;
    HttpExchange& m_exchange;
    const ModelRequestInfo m_info;
    const std::unique_ptr<Tasks> m_tasks;
    RequestStateMachine m_machine;
    const std::unique_ptr<ResponseWriter> m_writer;
    const EntryTimeouts m_timeouts;
    const std::uint32_t m_tokensPerEvent;
    DecodeRelay m_relay;
    RequestId m_id {};
    Attempt m_attempt = 0;
    /// Backend server of the present attempt, for the event log.
    std::string m_backend;
    ReplicaId m_prefillReplica {};
    std::optional<PrefillResult> m_prefill;
    bool m_isPrefillFetched = false;
    std::optional<ReservedSlot> m_slot;
    std::uint32_t m_decodeTokens = 0;
    std::uint32_t m_slotRefusals = 0;
    /// What the last engine answered that failed the request by itself; null otherwise.
    std::shared_ptr<const HttpResponse> m_failedResponse;
    RefusalInputs m_refusalInputs;
    std::uint32_t m_promptTokens;
    std::uint32_t m_cachedTokens = 0;
    bool m_hasRun = false;
    bool m_hasEnded = false;
};

}
