#pragma once

/// Simulation of several concurrent owners of one record partition, which share one in-memory object with
/// conditional updates, and of callers whose attempts are checked. The test chooses every step, so replies
/// can be lost, writes can arrive late, and owners can crash or pause at any point.

#include "RecordPartition.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace jayhold {

class RecordSimulation {
public:
    RecordSimulation(std::size_t owners, RecordPartitionSettings settings);

    /// Executes the step that a random number selects.
    auto step(std::uint32_t choice) -> void;
    /// Ends all faults and runs until every pending operation has its reply.
    auto runToCompletion() -> void;

    /// @return description of the first violated property, or an empty string if all properties hold.
    auto violation() const -> const std::string& { return m_violation; }
    auto startedCount() const -> int { return m_startedCount; }
    auto doneCount() const -> int { return m_doneCount; }
    auto writes() const -> std::int64_t { return m_revision; }
    auto pendingOperationCount() const -> std::size_t { return m_pendingOperations.size(); }
    /// Begins the record of a new call at an owner.
    /// @return the attempt id.
    auto beginCall(std::size_t owner, const std::string& key, const std::string& digest) -> std::string;
    /// Lets the owner's pending store call reach the store and its reply arrive.
    auto deliver(std::size_t owner) -> void;

private:
    enum class AttemptState {
        Waiting,
        /// Received RecordStarted: the call is running or has run.
        Running,
        /// Refused, or withdrawn by its caller. It never runs.
        NotRun,
    };

    struct Attempt {
        std::string key;
        std::string digest;
        AttemptState state = AttemptState::Waiting;
        /// Identifier of the operation whose reply the caller is waiting for.
        std::uint64_t operationId = 0;
        bool isFinished = false;
    };

    struct PendingOperation {
        std::string attempt;
        bool isBegin;
        bool isFinish;
    };

    struct Owner {
        RecordPartition machine;
        std::int64_t wallOffsetMs = 0;
        bool hasCall = false;
        RecordAction call;
    };

    auto time(const Owner& owner) const -> RecordTime;
    auto execute(std::size_t owner, RecordActions actions) -> void;
    auto send(std::size_t owner, const std::string& attempt, std::variant<BeginRecord, FinishRecord, AbandonRecord> request) -> void;
    auto applyWrite(const WriteTable& write) -> bool;
    auto deliverRead(Owner& owner, RecordActions& actions) -> void;
    auto deliverWrite(Owner& owner, RecordActions& actions) -> void;
    auto failCall(std::size_t owner, std::uint32_t choice) -> void;
    auto crash(std::size_t owner) -> void;
    auto callerStep(std::uint32_t choice) -> void;
    auto replyBegin(const ReplyBegin& reply) -> void;
    auto started(const std::string& id) -> void;
    auto done(const std::string& key, const StoredResponse& response) -> void;
    auto reportViolation(std::string text) -> void;

    RecordPartitionSettings m_settings;
    std::vector<Owner> m_owners;
    std::int64_t m_revision = 0;
    RecordTable m_table;
    /// Writes in transit whose sender no longer waits for the reply.
    std::vector<WriteTable> m_lateWrites;
    std::map<std::string, Attempt> m_attempts;
    std::map<std::uint64_t, PendingOperation> m_pendingOperations;
    std::map<std::string, StoredResponse> m_responses;
    std::uint64_t m_lastOperationId = 0;
    TimePoint m_now { std::chrono::seconds(1'000) };
    std::uint64_t m_liveness = 0;
    int m_startedCount = 0;
    int m_doneCount = 0;
    std::string m_violation;
};

}
