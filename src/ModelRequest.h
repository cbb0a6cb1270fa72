#pragma once

/// The life cycle of one model request at an entry instance: it carries out the shard's decisions for the
/// request, reports the results to the shard, and responds to the caller. All member functions except
/// deliver() run on the I/O thread of the exchange.

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

    /// Runs the request until the caller has the final response or has disconnected.
    auto run() -> boost::asio::awaitable<void>;

    auto deliver(const DecisionAction& action) -> void override;

private:
    struct CallerDisconnected { };
    /// The shard has not ended the request within the grace period after its deadline.
    struct DeadlineExpired { };
    struct PrefillEnded {
        std::uint64_t task;
        EngineResult<PrefillResult> result;
        /// Whether the decode engine refused a slot, so that the prefill was not sent.
        bool isSlotRefused = false;
    };
    /// A slot that is reserved for the request at a decode engine.
    struct SlotHandle {
        BackendServer server;
        ReplicaId replica;
        std::string name;
    };
    /// A slot for the attempt that would replace a silent one; not granted yet while it has no handle.
    struct ReplacementSlot {
        ReplacementNumber number;
        std::optional<SlotHandle> slot;
    };
    struct DecodeEnded {
        std::uint64_t task;
        RelayResult outcome;
        /// Whether the decode engine refused a slot, so that the decode was not sent.
        bool isSlotRefused = false;
    };
    using RequestEvent = std::variant<DecisionAction, CallerDisconnected, DeadlineExpired, PrefillEnded, DecodeEnded>;
    struct Task;
    struct Tasks;

    auto enqueue(RequestEvent requestEvent) -> void;
    auto nextEvent() -> boost::asio::awaitable<RequestEvent>;
    auto handle(RequestEvent requestEvent) -> boost::asio::awaitable<void>;
    auto handleAction(DecisionAction action) -> boost::asio::awaitable<void>;
    /// Handles the results of tasks that have ended, if they wait behind other events. The state machine knows the
    /// end of an attempt only then, and rejects the start of another one before.
    auto handleEndedTasks() -> boost::asio::awaitable<void>;
    auto beginPrefill(StartPrefill action) -> boost::asio::awaitable<void>;
    auto beginDecode(StartDecode action) -> boost::asio::awaitable<void>;
    auto endPrefill(PrefillEnded ended) -> void;
    auto endDecode(DecodeEnded ended) -> boost::asio::awaitable<void>;
    /// Handles the result of the fallback.
    auto endFallback(DecodeEnded ended) -> boost::asio::awaitable<void>;
    /// @param completion reports to the shard that the response is complete.
    auto finish(DecisionEvent completion) -> boost::asio::awaitable<void>;
    auto refuse(ApiError error) -> boost::asio::awaitable<void>;
    auto cancel() -> boost::asio::awaitable<void>;

    /// @return a task that takes the place of the current one, and has not started.
    auto addTask(ReplicaId replica, bool isPrefill) -> std::shared_ptr<Task>;
    /// Starts the task of the current attempt.
    auto spawnTask(std::shared_ptr<Task> task, boost::asio::awaitable<void> call) -> void;
    auto isCurrent(const Task& task) const -> bool;
    /// Reports a task that ended with an exception as a failed attempt whose outcome is unknown.
    auto failTask(const Task& task, const std::exception_ptr& thrown) -> void;
    /// Reports to the shard when the engine of the running attempt sends nothing for longer than its timeout.
    auto watchSilence(TimePoint checkAt) -> void;
    auto checkSilence() -> void;
    /// @return when the engine will have been silent for too long.
    auto silenceEnd(const Task& task) const -> TimePoint;
    /// Ends the task of the current attempt because the shard has cancelled it.
    auto cancelTask() -> boost::asio::awaitable<void>;
    /// Makes a task fail immediately and closes its connection to the engine.
    static auto interrupt(Task& task) -> void;
    /// If the shard cancels the attempt because it refuses the request, but its caller has a part of the answer, waits
    /// until the attempt has ended: up to the deadline if that was the reason, otherwise until what has arrived was sent.
    auto awaitBegunAnswer() -> boost::asio::awaitable<void>;
    /// Interrupts the task of the current attempt and waits until it has ended. The fallback goes on.
    auto stopTask() -> boost::asio::awaitable<void>;
    /// Interrupts all tasks and waits until they have ended.
    auto stopTasks() -> boost::asio::awaitable<void>;
    auto awaitTaskEnd() -> boost::asio::awaitable<void>;
    /// Notes in the state machine that the current attempt, if one runs, does not go on.
    auto recordInterruption() -> void;
    /// Keeps the current attempt, whose engine is silent, as the fallback of the one that replaces it.
    auto keepAsFallback() -> void;
    /// Makes the fallback the current attempt again.
    auto continueFallback(ReturnToFallback action) -> boost::asio::awaitable<void>;
    /// Gives the fallback up, if there is one.
    auto dropFallback(std::string_view reason) -> void;
    auto runPrefill(std::shared_ptr<Task> task, ReplicaStatus replica, std::optional<ReplicaStatus> decode, EngineCall call) -> boost::asio::awaitable<void>;
    /// Reserves a slot at the decode engine, if engines support reservations.
    /// @return the error if the reservation failed.
    auto reserveSlot(const std::optional<ReplicaStatus>& decode) -> boost::asio::awaitable<std::optional<EngineError>>;
    /// @return the error if the replica has begun to leave, or has asked for a pause, since it was chosen, so that the
    /// call must not be sent.
    auto checkAccepting(ReplicaId replica) const -> std::optional<EngineError>;
    /// @return the error of a call that is not sent because its engine has asked for a pause.
    static auto pausedError() -> EngineError;
    /// Keeps the request at the version of the engine whose first event goes to the caller.
    auto bindToVersion(const std::string& version) -> void;
    /// Tells the shard of the version if the request is bound. The shard has not learned of it if it ended the attempt before
    /// the first event arrived.
    auto reportBinding() -> void;
    /// @return the error if the request is bound to another version than the replica's, so that the call must not be sent.
    auto checkVersion(const ReplicaStatus& replica) -> std::optional<EngineError>;
    /// Starts to record the version of a new stream that is to begin at the replica, if that is needed.
    auto announceVersion(const std::optional<ReplicaStatus>& replica) -> void;
    /// Waits until the first event of a new stream may be sent to the caller.
    /// @return whether it may be sent; false if the attempt was interrupted.
    auto waitForRecord(Task& task, std::string version) -> boost::asio::awaitable<bool>;
    /// @return whether the caller may take the response up later.
    auto canBeTakenUp() const -> bool;
    /// @return the version to which the request is bound, or nothing, for the log.
    auto boundVersionText() const -> std::string;
    auto recordSlotRefusal(const EngineError& error) -> void;
    auto releaseSlot() -> void;
    auto releaseSlotAt(HttpClient& client, const SlotHandle& slot) -> void;
    /// Reserves a slot for the attempt that would replace the running one, which goes on meanwhile.
    auto beginReservation(const ReserveReplacement& action) -> void;
    /// @param client used instead of the exchange's, because the request may end before the engine answers.
    auto runReservation(HttpClient& client, ReserveReplacement action, ReplicaStatus decode) -> boost::asio::awaitable<void>;
    /// Asks a decode engine for a slot.
    /// @return the slot with the memory that the request takes at its start, or FailureKind::Busy if the engine lacks
    /// the free memory.
    auto requestSlot(HttpClient& client, ReplicaStatus decode, SlotMemory memory) -> boost::asio::awaitable<EngineResult<SlotHandle>>;
    /// Reports that a slot for a replacement was refused; the running attempt goes on.
    auto refuseReplacement(ReplacementNumber number, const EngineError& error) -> void;
    /// Gives up the slot of a replacement, or its reservation if it is still asked for.
    auto releaseReplacement() -> void;
    /// Releases the slot of the former attempt, and takes the slot that is reserved for the new one, if one is.
    auto takeSlot(ReplacementNumber number) -> void;
    /// Releases a reservation or result at an engine in the background, and logs a failure.
    /// @param what name of the resource, for the log.
    auto releaseInBackground(std::string_view what, const BackendServer& server, boost::asio::awaitable<bool> call) -> void;
    /// @param needsSlot whether a slot has to be reserved first.
    auto runDecode(std::shared_ptr<Task> task, ReplicaStatus replica, EngineCall call, bool needsSlot) -> boost::asio::awaitable<void>;
    /// Asks an engine that had nothing to add for the last token once more. Only an engine that repeats it shows that nothing
    /// follows; a broken one may answer any request without an event.
    /// @return the outcome of that call; nothing if the engine was not called, or gave no stream.
    auto confirmEnd(std::shared_ptr<Task> task, ReplicaStatus replica) -> boost::asio::awaitable<std::optional<RelayResult>>;
    /// @param version software version of the engine.
    auto relay(std::shared_ptr<Task> task, std::string version) -> boost::asio::awaitable<RelayResult>;

    /// @param resumedFrom number of tokens that the caller had before this attempt.
    auto recordFirstToken(std::uint32_t resumedFrom) -> void;
    /// @param resumeFrom number of tokens that the engine need not send.
    /// @return the parameters of a call, except for its deadline, which depends on when it is sent.
    auto engineCall(std::uint32_t resumeFrom) const -> EngineCall;
    /// Sets the functions that receive the responses to the call.
    auto observeResponses(EngineCall& call) -> void;
    /// @return the time until the caller's deadline.
    auto remainingMs() const -> std::int64_t;
    /// Takes a retry from the budget for a call that would be sent again because a reused connection had
    /// closed.
    /// @return whether the budget allows it.
    auto tryConsumeResend() -> bool;
    /// Counts a prefill or decode call, unless it did not reach the engine.
    template <typename Result>
    auto countBackendCall(const Result& result) -> void
    {
        if (result.has_value() || result.error().failure != FailureKind::NotConnected)
            m_service->metrics().backendCalls.fetch_add(1, std::memory_order_relaxed);
    }
    /// Counts and logs the refusal, and whether the request was refused in favour of a more costly one.
    auto recordRefusal(const ApiError& error) -> void;
    auto recordAttemptFailure(std::string_view phase, const EngineError& error) -> void;
    /// Logs a failed attempt and reports it to the shard.
    /// @param isSlotRefused whether the decode engine refused a slot, so that the engine was not called.
    auto reportFailure(bool isPrefill, const EngineError& error, bool isSlotRefused) -> void;
    /// @return the request id for the log.
    auto callerRequestId() const -> std::string;
    auto record(LogLevel level, std::string_view event, std::initializer_list<LogField> details = {}) -> void;
    /// Logs a placement or refusal, with the configuration version and the age of the lists on which it is
    /// based.
    auto recordDecision(LogLevel level, std::string_view event, std::initializer_list<LogField> details) -> void;
    auto fieldsOf(std::initializer_list<LogField> details) const -> std::vector<LogField>;
    /// Releases the prefill result unless a decode has fetched it.
    auto releasePrefillResult() -> void;
    auto usage() const -> CompletionUsage;
    /// @return the number of tokens that the caller has. The relay counts events, which may carry several
    /// tokens.
    auto tokensSent() const -> std::uint32_t { return m_relay.tokens() * m_tokensPerEvent; }

    EntryContext& m_context;
    const std::shared_ptr<ModelService> m_service;
    HttpExchange& m_exchange;
    const ModelRequestInfo m_info;
    const std::unique_ptr<Tasks> m_tasks;
    RequestStateMachine m_machine;
    const std::unique_ptr<ResponseWriter> m_writer;
    const EntryTimeouts m_timeouts;
    const EntryTimeouts m_silenceTimeouts;
    const std::uint32_t m_tokensPerEvent;
    DecodeRelay m_relay;
    RequestId m_id {};
    Attempt m_attempt = 0;
    /// Backend server of the current attempt, for the event log.
    std::string m_backend;
    /// The software version at which the stream must go on: that of the engine whose first event has gone to the caller, or of
    /// the one that began the stream which the caller takes up.
    std::optional<std::string> m_boundVersion;
    ReplicaId m_prefillReplica {};
    std::optional<PrefillResult> m_prefill;
    bool m_isPrefillFetched = false;
    std::optional<SlotHandle> m_slot;
    std::optional<ReplacementSlot> m_replacement;
    SlotMemory m_slotMemory;
    std::uint32_t m_slotRefusals = 0;
    /// The response of the engine that failed last, if the engine itself reported the failure; null
    /// otherwise.
    std::shared_ptr<const HttpResponse> m_failedResponse;
    RefusalInputs m_refusalInputs;
    std::uint32_t m_promptTokens;
    std::uint32_t m_cachedTokens = 0;
    bool m_hasStartedAttempt = false;
    bool m_hasEnded = false;
};

}
