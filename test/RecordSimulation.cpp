#include "RecordSimulation.h"

#include <algorithm>

namespace jayhold {

namespace {

constexpr std::size_t keyCount = 3;
constexpr std::uint32_t callerSteps = 4;
constexpr auto operationTimeout = std::chrono::seconds(2);

}

RecordSimulation::RecordSimulation(std::size_t owners, RecordPartitionSettings settings)
    : m_settings(settings)
    , m_owners(owners)
{
    for (std::size_t index = 0; index < owners; ++index)
        crash(index);
}

auto RecordSimulation::reportViolation(std::string text) -> void
{
    if (m_violation.empty())
        m_violation = std::move(text);
}

auto RecordSimulation::time(const Owner& owner) const -> RecordTime
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()).count();
    return { m_now, elapsed + owner.wallOffsetMs };
}

auto RecordSimulation::crash(std::size_t index) -> void
{
    auto& owner = m_owners[index];
    if (owner.hasCall) {
        if (const auto* write = std::get_if<WriteTable>(&owner.call))
            m_lateWrites.push_back(*write);
    }
    owner = {};
    owner.machine.settings = m_settings;
    owner.machine.isHolderLive = [this](std::string_view) { return m_liveness++ % 3 != 0; };
    // Wall clocks that differ by minutes must not affect the records.
    owner.wallOffsetMs = static_cast<std::int64_t>(index) * 100'000;
}

auto RecordSimulation::execute(std::size_t index, RecordActions actions) -> void
{
    auto& owner = m_owners[index];
    for (auto& action : actions) {
        if (const auto* begin = std::get_if<ReplyBegin>(&action)) {
            replyBegin(*begin);
        } else if (const auto* stored = std::get_if<ReplyStored>(&action)) {
            const auto found = m_pendingOperations.find(stored->operationId);
            if (found != m_pendingOperations.end() && found->second.isFinish && stored->isStored)
                m_attempts[found->second.attempt].isFinished = true;
            m_pendingOperations.erase(stored->operationId);
        } else {
            if (owner.hasCall)
                reportViolation("an owner has two store calls in flight");
            owner.hasCall = true;
            owner.call = std::move(action);
        }
    }
}

auto RecordSimulation::replyBegin(const ReplyBegin& reply) -> void
{
    const auto found = m_pendingOperations.find(reply.operationId);
    if (found == m_pendingOperations.end())
        return;
    const auto id = found->second.attempt;
    m_pendingOperations.erase(found);
    auto& attempt = m_attempts[id];
    if (const auto* replayed = std::get_if<RecordDone>(&reply.decision))
        done(attempt.key, replayed->response);
    if (attempt.operationId != reply.operationId || attempt.state != AttemptState::Waiting)
        return;
    if (std::holds_alternative<RecordStarted>(reply.decision))
        started(id);
    else
        attempt.state = AttemptState::NotRun;
}

auto RecordSimulation::started(const std::string& id) -> void
{
    auto& attempt = m_attempts[id];
    for (const auto& [otherId, other] : m_attempts) {
        if (otherId != id && other.key == attempt.key && other.state == AttemptState::Running)
            reportViolation(std::string("attempts ").append(otherId).append(" and ").append(id).append(" both run the call of ").append(attempt.key));
    }
    attempt.state = AttemptState::Running;
    ++m_startedCount;
}

auto RecordSimulation::done(const std::string& key, const StoredResponse& response) -> void
{
    ++m_doneCount;
    const auto attempt = m_attempts.find(response.body);
    if (attempt == m_attempts.end() || attempt->second.state != AttemptState::Running)
        reportViolation(std::string("the answer of attempt ").append(response.body).append(" was replayed, which did not run"));
    const auto [known, isNew] = m_responses.emplace(key, response);
    if (!isNew && known->second != response)
        reportViolation("the answer of " + key + " changed");
}

auto RecordSimulation::send(std::size_t index, const std::string& id, std::variant<BeginRecord, FinishRecord, AbandonRecord> request) -> void
{
    auto& attempt = m_attempts[id];
    const auto isBegin = std::holds_alternative<BeginRecord>(request);
    const auto isFinish = std::holds_alternative<FinishRecord>(request);
    RecordOperation operation { ++m_lastOperationId, attempt.key, id, m_now + operationTimeout, std::move(request) };
    m_pendingOperations[m_lastOperationId] = { id, isBegin, isFinish };
    if (isBegin)
        attempt.operationId = m_lastOperationId;
    RecordActions actions;
    submit(m_owners[index].machine, time(m_owners[index]), std::move(operation), actions);
    execute(index, std::move(actions));
}

auto RecordSimulation::beginCall(std::size_t owner, const std::string& key, const std::string& digest) -> std::string
{
    auto id = "attempt-" + std::to_string(m_attempts.size());
    m_attempts[id] = { .key = key, .digest = digest };
    send(owner, id, BeginRecord { digest, "holder/1" });
    return id;
}

auto RecordSimulation::applyWrite(const WriteTable& write) -> bool
{
    if (write.expectedRevision != m_revision)
        return false;
    // The table is converted to its stored form and back.
    m_table = *recordTableFromJson(toJson(*write.table));
    ++m_revision;
    return true;
}

auto RecordSimulation::deliverRead(Owner& owner, RecordActions& actions) -> void
{
    tableLoaded(owner.machine, time(owner), m_revision, m_table, actions);
}

auto RecordSimulation::deliverWrite(Owner& owner, RecordActions& actions) -> void
{
    const auto write = std::get<WriteTable>(owner.call);
    if (applyWrite(write))
        updateApplied(owner.machine, time(owner), m_revision, actions);
    else
        updateConflicted(owner.machine, time(owner), m_revision, m_table, actions);
}

auto RecordSimulation::deliver(std::size_t index) -> void
{
    auto& owner = m_owners[index];
    if (!owner.hasCall)
        return;
    owner.hasCall = false;
    RecordActions actions;
    if (std::holds_alternative<LoadTable>(owner.call))
        deliverRead(owner, actions);
    else
        deliverWrite(owner, actions);
    execute(index, std::move(actions));
}

auto RecordSimulation::failCall(std::size_t index, std::uint32_t choice) -> void
{
    auto& owner = m_owners[index];
    if (!owner.hasCall)
        return;
    owner.hasCall = false;
    const auto* write = std::get_if<WriteTable>(&owner.call);
    const auto isUnknown = choice % 4 != 0;
    if (write && choice % 4 == 1)
        applyWrite(*write);
    if (write && choice % 4 == 2)
        m_lateWrites.push_back(*write);
    RecordActions actions;
    storeFailed(owner.machine, time(owner), isUnknown, std::chrono::milliseconds(100), actions);
    execute(index, std::move(actions));
}

auto RecordSimulation::callerStep(std::uint32_t choice) -> void
{
    const auto owner = choice % m_owners.size();
    const auto kind = choice / 16 % 8;
    if (m_attempts.empty() || kind < 3) {
        const auto isOtherRequest = choice % 23 == 0;
        beginCall(owner, "key-" + std::to_string(choice / 128 % keyCount), isOtherRequest ? "other" : "digest");
        return;
    }
    auto item = m_attempts.begin();
    std::advance(item, choice / 128 % m_attempts.size());
    auto& [id, attempt] = *item;
    if (attempt.state == AttemptState::Waiting) {
        // The caller stopped waiting for one owner and sends the same attempt to another.
        send(owner, id, BeginRecord { attempt.digest, "holder/1" });
    } else if (attempt.state == AttemptState::Running) {
        // In rare cases the call certainly did not run, which is only possible before its answer is sent.
        const auto mayWithdraw = kind == 7 && !m_responses.contains(attempt.key) && !attempt.isFinished && attempt.digest != "sent";
        if (mayWithdraw) {
            attempt.state = AttemptState::NotRun;
            send(owner, id, AbandonRecord {});
        } else {
            attempt.digest = "sent";
            send(owner, id, FinishRecord { { 200, choice % 5 == 0 ? "text/html" : "text/plain", id } });
        }
    } else {
        send(owner, id, AbandonRecord {});
    }
}

auto RecordSimulation::step(std::uint32_t choice) -> void
{
    const auto detail = choice / 32;
    const auto owner = detail % m_owners.size();
    const auto kind = choice % 32;
    if (kind < callerSteps * 2) {
        callerStep(detail);
    } else if (kind < 22) {
        deliver(owner);
    } else if (kind < 27) {
        failCall(owner, detail / 8);
    } else if (kind == 27 && !m_lateWrites.empty()) {
        const auto index = detail % m_lateWrites.size();
        applyWrite(m_lateWrites[index]);
        m_lateWrites.erase(m_lateWrites.begin() + static_cast<std::ptrdiff_t>(index));
    } else if (kind == 28) {
        crash(owner);
    } else if (kind > 28) {
        m_now += std::chrono::milliseconds(detail % 900);
        RecordActions actions;
        expireOperations(m_owners[owner].machine, time(m_owners[owner]), actions);
        execute(owner, std::move(actions));
    }
}

auto RecordSimulation::runToCompletion() -> void
{
    constexpr int rounds = 200;
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t owner = 0; owner < m_owners.size(); ++owner)
            deliver(owner);
    }
    for (const auto& owner : m_owners) {
        if (owner.hasCall || !owner.machine.queued.empty() || !owner.machine.inFlight.empty())
            reportViolation("an operation got no reply although the store works");
    }
    for (const auto& [id, attempt] : m_attempts) {
        if (!attempt.isFinished)
            continue;
        const auto entry = m_table.entries.find(attempt.key);
        if (entry == m_table.entries.end() || entry->second.response.body != id)
            reportViolation("the stored answer of " + attempt.key + " is missing");
    }
}

}
