#pragma once

/// A plain service at an entry instance. Calls of repeatable kinds may be retried on another backend
/// server. Other calls are executed at most once, which at-most-once records guarantee for the kinds that
/// are recorded.

#include "AtMostOnceRecords.h"
#include "EntryContext.h"
#include "HttpExchange.h"
#include "PlainAttempt.h"
#include "PlainBalancer.h"
#include "PlainCallInfo.h"
#include "PlainPlacement.h"
#include "PlainWaiting.h"
#include "PromptPartCrashes.h"
#include "PromptReport.h"
#include "RecentDurations.h"
#include "RetryBudget.h"
#include "Service.h"
#include "SpeedReference.h"
#include "SpeedReport.h"
#include "SpeedSummary.h"
#include "UpdateBlockedPart.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <span>
#include <string>

namespace jayhold {

struct PlainReplacement;

class PlainService : public std::enable_shared_from_this<PlainService> {
public:
    /// @param instanceCount number of entry instances that use the same backend servers, including this one,
    /// or 0 if it is not known yet.
    PlainService(EntryContext& context, const Service& service, AtMostOnceRecords& records, std::uint32_t instanceCount = 0);

    auto name() const -> const std::string& { return m_name; }
    auto metrics() -> ServiceMetrics& { return *m_metrics; }

    auto updateConfiguration(const Service& service) -> void;
    /// Replaces the list of backend servers; those of other services are ignored.
    /// @param pauses the known pauses of backend servers.
    auto updateBackends(std::span<const BackendServer> backends, const BackendPauses& pauses = {}) -> void;
    /// Sends no calls to a backend server before the end of its pause; ignored if the server is of another service.
    auto applyPause(const BackendServer& server, const BackendPause& pause) -> void;
    /// Limits the calls to the backend servers. Those without a rate are not limited.
    auto updateRates(const CallRates& rates) -> void;
    /// @return a copy of the retry budget's state.
    auto retryBudget() const -> RetryBudget;
    auto updateInstanceCount(std::uint32_t instanceCount) -> void;
    auto backends() const -> std::vector<PlainBackend>;

    /// @return the speeds of backend servers that this instance has observed recently.
    auto observedSpeeds() const -> std::vector<SpeedReport>;
    /// Processes the speeds that another instance has observed; backend servers of other services are ignored.
    /// @param sender identifies the instance.
    auto handleSpeedReports(std::uint64_t sender, std::span<const SpeedReport> reports) -> void;
    /// @return how the expected speeds of the live backend servers differ.
    auto speedSummary() const -> SpeedSummary;

    /// Processes a peer's report of a call that was in flight on a server that crashed, or has got an answer since.
    auto handleCrashReport(const PromptReport& report) -> void;
    /// Applies the list of blocked crash signatures that all instances share.
    auto updateBlockedCalls(std::span<const ListedPart> listed) -> void;
    /// Allows this instance to run one call with a blocked crash signature.
    auto allowTrial(std::uint64_t signature) -> void;

    /// Explains where a call that arrives now would be sent. Nothing changes.
    auto explainPlacement(PlainCallInfo call) const -> PlainPlacement;

    /// Executes a call and responds to the caller.
    auto serve(HttpExchange& exchange, PlainCallInfo call) -> boost::asio::awaitable<void>;

private:
    /// Includes the backend servers that reject the call. A call that has waited after it was rejected may try as many again.
    static constexpr std::size_t maxBackendsPerCall = 3;

    /// The state that the coroutines of one call share.
    struct CallState {
        bool isCallerDisconnected = false;
        /// Number of attempts that may have been executed.
        std::int64_t executions = 0;
        /// Ids of the backend servers that were tried.
        std::vector<std::string> triedBackends;
        /// Number of the first of them that may be tried again, because the call waits for a slot after every server has
        /// rejected it. This happens once for each call.
        std::size_t retriableBackends = 0;
        /// Whether the next attempt waits for a slot because of that, and not before this time.
        bool isRejectedByAll = false;
        TimePoint retryAt {};
        /// Interrupts the running attempt.
        boost::asio::cancellation_signal interrupt;
        /// The attempt on another server while the running one is silent; null if there is none.
        std::shared_ptr<PlainReplacement> replacement;
        /// Whether the running attempt has the final response, so that its replacement is not needed.
        bool isAnswered = false;
        /// Whether the running attempt may crash its server.
        bool isSuspect = false;
        /// Whether the call has the permission to run although its crash signature is blocked.
        bool isTrial = false;

        /// @return ids of the servers that the next attempt avoids.
        auto excludedBackends() const -> std::span<const std::string> { return std::span(triedBackends).subspan(retriableBackends); }
    };

    /// What a call does that needs a slot.
    struct SlotCheck {
        SlotDecision decision;
        CallerCost cost {};
        /// Number of calls that get a slot earlier.
        std::size_t before = 0;
    };

    struct SlotAttempt {
        SlotCheck check;
        /// The server whose slot the call has taken.
        std::optional<BackendServer> server {};
    };

    /// How the next server of a call is chosen.
    struct FirstStep {
        /// Whether the call may crash its server.
        bool isSuspect = false;
        /// Whether the call waits for a slot in the order of the costs if it gets no server at once.
        bool mayAwaitSlot = false;
        /// Whether it gets a server at once if one is available.
        bool takesServer = false;
    };

    /// What other instances have to be told; sent without the lock.
    struct CrashUpdates {
        std::vector<PromptReport> reports;
        std::vector<UpdateBlockedPart> blocked;
    };

    /// A call whose connection broke before its answer, on a server that was answering and is not known to have crashed.
    struct LostCall {
        BackendServer server;
        std::uint64_t signature = 0;
        TimePoint time {};
    };

    /// Chooses the server of the next attempt. One that may crash its server waits for a short time until a server has no
    /// other such call.
    /// @return nothing if no server is available or the call is blocked.
    auto acquireFor(const PlainCallInfo& call, CallState& state, PlainAttempt& last) -> boost::asio::awaitable<std::optional<BackendServer>>;
    /// Waits for a slot as long as the call can still meet its target, in the order of the costs of the calls that wait.
    /// @return the server; nothing if the call can't be served any more, and at once if no slot is expected in time.
    auto awaitSlot(const PlainCallInfo& call, const CallState& state, PlainAttempt& last) -> boost::asio::awaitable<std::optional<BackendServer>>;
    /// Takes a slot for the call if it is the next one, or lets it wait if one is expected in time.
    /// @param id identifies the call among those that wait.
    auto tryTakeSlot(const PlainCallInfo& call, const CallState& state, std::uint64_t id) -> SlotAttempt;
    /// Lets the next attempt wait for a slot, also of a server that has been tried, if every server that could take the call
    /// now has rejected it.
    /// @return false if the call doesn't wait: it may have run, has waited for this reason before, has no order among other
    /// calls, or there is no estimate of its duration or no retry in the budget.
    auto awaitsSlotAgain(const PlainCallInfo& call, CallState& state, const PlainAttempt& last) -> bool;
    auto recordSlotRefusal(const PlainCallInfo& call, const SlotCheck& check) -> void;
    /// @return the median duration of such a call; nothing after too few calls. Requires the lock.
    auto medianDurationLocked(const PlainCallInfo& call) const -> std::optional<Duration>;
    /// @return whether calls wait for slots in the order of their costs; requires the lock. Without customers and priorities
    /// there is no order.
    auto ordersCallsLocked(const PlainCallInfo& call) const -> bool;
    /// @return what the place of the call among those that wait is computed from; requires the lock.
    auto workOfLocked(const PlainCallInfo& call, Duration duration, std::uint64_t id) const -> RequestWork;
    /// @param isBlocked whether the call is refused because it crashes servers.
    auto firstStepLocked(const PlainCallInfo& call, const CallState& state, bool isBlocked) const -> FirstStep;
    /// Decides by decideSlot() what a call does that waits for a slot, or begins to; requires the lock.
    /// @param id identifies the call among those that wait.
    auto checkSlotLocked(const PlainCallInfo& call, const CallState& state, std::uint64_t id, TimePoint now) const -> SlotCheck;
    /// @return the decision on a call without a crash signature; requires the lock.
    auto decisionLocked(const PlainCallInfo& call, TimePoint now) const -> decltype(PlainPlacement::decision);
    /// @return whether the call has to be refused because it crashes servers; requires the lock.
    auto isBlockedLocked(const PlainCallInfo& call, CallState& state, CrashUpdates& updates) -> bool;
    /// @return whether the call may crash its server; requires the lock.
    auto isSuspectLocked(const PlainCallInfo& call) const -> bool;
    /// @return whether the last contact with the server process was an answer.
    auto isAnswering(const BackendServer& server) const -> bool;
    /// Finds out whether a server has crashed after the connection of a call broke before its answer.
    /// @param wasAnswering whether the process was answering when the call was sent. Otherwise it may have ended before: its
    /// address may accept and break connections, and its entry may be old.
    auto hasCrashed(HttpClient& client, const BackendServer& server, const PlainCallInfo& call, bool wasAnswering) -> boost::asio::awaitable<bool>;
    /// @param time when the connection of the call broke.
    auto recordCrashLocked(const BackendServer& server, std::uint64_t signature, TimePoint time, CrashUpdates& updates) -> void;
    /// Tells the peers that a call with the signature has got an answer here; requires the lock.
    /// @param age time since the answer.
    auto addHarmlessReportLocked(std::uint64_t signature, Duration age, CrashUpdates& updates) -> void;
    /// Records that the server has run the call without a crash.
    auto recordAnswer(const BackendServer& server, const PlainCallInfo& call) -> void;
    /// Replaces the list of backend servers; takes the lock.
    auto applyBackends(std::span<const BackendServer> backends, const BackendPauses& pauses, CrashUpdates& updates) -> void;
    /// Finds the calls on servers whose process has been replaced since their connection broke; requires the lock.
    auto findReplacedServersLocked(std::span<const BackendServer> backends, CrashUpdates& updates) -> void;
    /// Blocks the calls that the crashes show to be their cause; requires the lock.
    auto decideCrashesLocked(CrashUpdates& updates) -> void;
    /// Decides again when the peers' reports of a crash have arrived.
    auto scheduleCrashDecision() -> void;
    auto decideAfterReports() -> boost::asio::awaitable<void>;
    auto publish(const CrashUpdates& updates) -> void;

    /// @return whether a call that starts now can be expected to have its answer when a draining instance ends its
    /// requests.
    auto canEndBeforeExit(const PlainCallInfo& call) const -> bool;
    /// Records the duration of a call that was executed, for the estimate of later ones.
    auto recordDuration(const PlainCallInfo& call, Duration duration) -> void;
    /// Records how long a server took for a call. An attempt that was given up took at least that long.
    auto recordSpeed(const PlainCallInfo& call, const BackendServer& server, Duration duration, const PlainAttempt& attempt, bool wasGivenUp) -> void;
    /// @return the duration of such a call at the mean speed of the servers, or zero if it is not known; requires the lock.
    auto meanCallTimeLocked(const PlainCallInfo& call) const -> Duration;
    /// Sends a call to backend servers until one returns a final response or no further attempt is allowed.
    /// @param isRepeatable whether a call that may have been executed can be sent again.
    auto runCall(HttpClient& client, const PlainCallInfo& call, bool isRepeatable, CallState& state) -> boost::asio::awaitable<PlainAttempt>;
    auto attemptOn(HttpClient& client, const BackendServer& backend, const PlainCallInfo& call, bool isRepeatable, CallState& state) -> boost::asio::awaitable<PlainAttempt>;
    /// Sends the call; ends when the server has answered or the signal of its attempt interrupts it.
    auto sendCall(HttpClient& client, const BackendServer& backend, const PlainCallInfo& call) -> boost::asio::awaitable<HttpResult<HttpResponse>>;
    /// Sends the call to one server.
    /// @param interrupt ends the attempt.
    auto callServer(HttpClient& client, const BackendServer& backend, const PlainCallInfo& call, const CallState& state, boost::asio::cancellation_signal& interrupt) -> boost::asio::awaitable<PlainAttempt>;
    /// Sends a call whose server is silent to another server too, if one can take it now. The silent attempt goes on
    /// until the other one has the final response.
    /// @return whether the silence has to be checked again.
    auto replaceSilentAttempt(HttpClient& client, const boost::asio::any_io_executor& executor, const BackendServer& silent, const PlainCallInfo& call, CallState& state) -> bool;
    auto runReplacement(HttpClient& client, const PlainCallInfo& call, CallState& state, std::shared_ptr<PlainReplacement> replacement) -> boost::asio::awaitable<void>;
    auto recordFailedAttempt(const PlainCallInfo& call, const CallState& state, const std::string& backend, const PlainAttempt& attempt) -> void;
    /// Reports an attempt that ended with an exception as failed with an unknown outcome, and releases its slot.
    auto failAttempt(const BackendServer& backend, const PlainCallInfo& call, const std::exception_ptr& thrown) -> PlainAttempt;
    /// Classifies the error of a call and releases its slot.
    /// @return whether most calls of the kind end within the duration; true if too few have ended.
    auto hadEnoughTime(const PlainCallInfo& call, Duration duration) const -> bool;
    /// @param duration time from the begin of the attempt to the error.
    auto attemptFromError(const BackendServer& backend, const PlainCallInfo& call, const HttpError& error, Duration duration, const CallState& state) -> PlainAttempt;
    /// Classifies a backend server's response and releases its slot.
    auto attemptFromResponse(const BackendServer& backend, const PlainCallInfo& call, HttpResponse response) -> PlainAttempt;
    /// @return whether the attempt has the response that the caller gets.
    static auto isFinal(const PlainAttempt& attempt) -> bool { return attempt.response && attempt.isFinal; }
    /// @return whether another attempt may follow.
    auto mayTryAgain(const PlainCallInfo& call, const CallState& state, const PlainAttempt& last, bool isRepeatable) -> bool;
    /// Takes a retry from the budget for a call that would be sent again because a reused connection had
    /// closed.
    /// @return whether the call may be repeated, the server is not leaving, and the budget and its limit allow it.
    auto tryConsumeResend(const PlainCallInfo& call, const BackendServer& server) -> bool;
    /// Serves a call without a record. It is executed at most once per request, unless its kind is
    /// repeatable.
    auto serveUnrecorded(HttpExchange& exchange, const PlainCallInfo& call) -> boost::asio::awaitable<void>;
    auto serveRecorded(HttpExchange& exchange, const PlainCallInfo& call) -> boost::asio::awaitable<void>;
    auto runRecorded(HttpExchange& exchange, const PlainCallInfo& call, std::string key, std::string attemptId) -> boost::asio::awaitable<void>;
    auto respond(HttpExchange& exchange, const PlainCallInfo& call, HttpResponse response) -> boost::asio::awaitable<void>;
    auto refuse(HttpExchange& exchange, const PlainCallInfo& call, ApiError error) -> boost::asio::awaitable<void>;
    /// @return the time after which a call that no server takes now can be sent again.
    /// @param delay the delay if nothing is known about the servers' next calls; it is added to the end of pauses.
    auto retryDelayOfCallLocked(TimePoint now, Duration delay) const -> Duration;
    auto noResponseError(const PlainCallInfo& call, const PlainAttempt& attempt) const -> ApiError;

    /// @return whether the server is in the list and not leaving; requires the lock.
    auto isLiveLocked(const BackendServer& server) const -> bool;
    auto release(const BackendServer& backend, bool isHealthy) -> void;
    auto releaseSuspect(const std::string& id) -> void;
    auto releaseRejected(const std::string& id) -> void;
    auto releaseCancelled(const std::string& id) -> void;
    auto tryConsumeRetry() -> bool;
    auto record(LogLevel level, const PlainCallInfo& call, std::string_view event, std::initializer_list<LogField> details = {}) -> void;
    /// Logs a placement or refusal, with the configuration version and the age of the lists on which it is
    /// based.
    auto recordDecision(const PlainCallInfo& call, std::string_view event, std::initializer_list<LogField> details) -> void;
    auto fieldsOf(const PlainCallInfo& call, std::initializer_list<LogField> details) const -> std::vector<LogField>;
    /// Applies the service's retry policy to the budget; requires the lock.
    auto updateBudgetLocked() -> void;

    EntryContext& m_context;
    AtMostOnceRecords& m_records;
    const std::string m_name;
    const std::shared_ptr<ServiceMetrics> m_metrics;

    mutable std::mutex m_lock;
    std::vector<Pool> m_pools;
    bool m_hasSeveralPriorities;
    RetryPolicy m_retry;
    std::uint32_t m_instanceCount;
    PlainBalancer m_balancer;
    RetryBudget m_budget;
    PlainWaiting m_waiting;
    std::uint64_t m_lastWaiting = 0;
    /// By name of the kind, for the kinds of the configuration.
    std::map<std::string, RecentDurations> m_durations;
    std::map<std::string, SpeedReference> m_callReferences;
    /// Crashes of servers by the signatures of the calls that had no answer. Each signature is its prompt's only part.
    PromptPartCrashes m_crashes { .rules = callCrashRules };
    /// Oldest first.
    std::deque<LostCall> m_lostCalls;
    std::mt19937_64 m_reportIds { std::random_device {}() };
    bool m_isCrashDecisionDue = false;
};

}
