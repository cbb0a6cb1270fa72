#include "CrashFleet.h"

#include <algorithm>
#include <functional>

namespace jayhold::test {

namespace {

constexpr std::uint32_t prefillEngines = 8;
constexpr std::uint32_t firstDecodeEngine = 100;
constexpr std::uint32_t slots = 16;
constexpr Duration prefillTime = 100ms;
constexpr Duration firstTokenTime = 50ms;
constexpr Duration tokenInterval = 25ms;
constexpr std::uint32_t answerTokens = 40;
constexpr Duration downTime = 3s;
/// Requests of the whole fleet in one step.
constexpr double requestsPerStep = 0.25;
/// The same first part is in all crashing requests and in some harmless ones.
constexpr std::uint64_t firstPart = 7;
constexpr std::uint64_t crashingPart = 13;
constexpr std::uint64_t firstOwnPart = 1'000'000;
/// Signatures and parts are hashes, which do not coincide.
constexpr std::uint64_t firstSignature = 1'000'000'000;
constexpr double harmlessShareOfFirstPart = 0.1;
constexpr Duration messageDelay = 5ms;
/// Delay of a write to the shared list, and interval at which an instance that gets no messages reads it.
constexpr Duration writeDelay = 200ms;
constexpr Duration readInterval = 2s;
/// Time after a crash from which harmless requests must be served again.
constexpr Duration recoveryTime = 6s;
/// Requests that arrive later than this before the end of the run may not have begun yet.
constexpr Duration maxFirstTokenTime = 2s;
constexpr std::size_t minCompared = 20;

}

CrashFleet::CrashFleet(CrashFleetSettings settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
    for (std::uint32_t engine = 0; engine < settings.decodeEngines; ++engine)
        m_engines.push_back({ .process = ++m_lastProcess });
    for (std::size_t index = 0; index < settings.instances; ++index)
        m_instances.push_back(makeInstance());
}

auto CrashFleet::fleetSettings() -> ShardSettings
{
    auto settings = testSettings();
    settings.instanceCount = 2;
    settings.retry = { .ratio = 0.2, .burst = 50, .isShared = true, .countsRejections = true };
    return settings;
}

auto CrashFleet::makeInstance() -> std::unique_ptr<Instance>
{
    auto instance = std::make_unique<Instance>();
    instance->harness.now = m_now;
    instance->undisturbedSince = m_now;
    addReplicas(*instance);
    return instance;
}

auto CrashFleet::addReplicas(Instance& instance) -> void
{
    for (std::uint32_t id = 1; id <= prefillEngines; ++id)
        instance.harness.replica(id, PoolRole::Prefill, slots);
    for (std::uint32_t engine = 0; engine < m_engines.size(); ++engine) {
        if (!m_engines[engine].isDown)
            reportDecodeEngine(instance, engine);
    }
}

auto CrashFleet::reportDecodeEngine(Instance& instance, std::uint32_t engine) -> void
{
    instance.harness.send(ReplicaChanged {
        .replica = ReplicaId { firstDecodeEngine + engine },
        .role = PoolRole::Decode,
        .state = m_engines[engine].isDown ? ReplicaState::Gone : ReplicaState::Live,
        .slots = slots,
        .memoryBlocks = 1'000,
        .memoryBlockTokens = 2'000,
        .linkBytesPerSecond = 100'000'000'000,
        .process = m_engines[engine].process,
    });
}

auto CrashFleet::servesHarmlessRequests() const -> bool
{
    if (m_crashTimes.empty())
        return true;
    const auto recoveredAt = m_crashTimes[std::min(m_settings.boundCrashes, m_crashTimes.size()) - 1] + recoveryTime;
    std::size_t before = 0;
    std::size_t begunBefore = 0;
    std::size_t after = 0;
    std::size_t begunAfter = 0;
    for (const auto& request : m_harmless) {
        if (request.arrivedAt < m_crashTimes.front() - maxFirstTokenTime) {
            ++before;
            begunBefore += request.hasBegun;
        } else if (request.arrivedAt >= recoveredAt && request.arrivedAt < m_now - maxFirstTokenTime) {
            ++after;
            begunAfter += request.hasBegun;
        }
    }
    return before < minCompared || after < minCompared || 2 * begunAfter * before >= begunBefore * after;
}

auto CrashFleet::at(Duration time, std::function<void()> action) -> void
{
    m_scheduled.emplace(start + time, std::move(action));
}

auto CrashFleet::restart(std::size_t instance) -> void
{
    m_instances[instance] = makeInstance();
}

auto CrashFleet::cutFromPeers(std::size_t instance, Duration time) -> void
{
    m_instances[instance]->cutFromPeersUntil = m_now + time;
}

auto CrashFleet::cutFromStore(std::size_t instance, Duration time) -> void
{
    // An instance without a path to the store is not bound until some time after its return.
    m_instances[instance]->cutFromStoreUntil = m_now + time;
    m_instances[instance]->undisturbedSince = m_now + time;
}

auto CrashFleet::run() -> void
{
    while (m_now < start + m_settings.length) {
        m_now += step;
        while (!m_scheduled.empty() && m_scheduled.begin()->first <= m_now) {
            const auto action = std::move(m_scheduled.begin()->second);
            m_scheduled.erase(m_scheduled.begin());
            action();
        }
        while (!m_messages.empty() && m_messages.front().arrivesAt <= m_now) {
            const auto message = std::move(m_messages.front());
            m_messages.pop_front();
            send(message.receiver, message.event);
        }
        if (chance(requestsPerStep))
            arrive();
        for (std::size_t index = 0; index < m_instances.size(); ++index)
            advance(index);
        advanceEngines();
        readList();
    }
}

auto CrashFleet::arrive() -> void
{
    const auto index = std::uniform_int_distribution<std::size_t>(0, m_instances.size() - 1)(m_random);
    const RequestId id { ++m_lastRequest };
    Request request;
    request.isCrashing = m_now >= start + m_settings.calmTime && chance(m_settings.crashingShare);
    const auto hasFirstPart = request.isCrashing || chance(harmlessShareOfFirstPart);
    request.parts = { hasFirstPart ? firstPart : 1'000 + m_lastRequest };
    if (request.isCrashing)
        request.parts.push_back(crashingPart);
    // The last part is of this request alone.
    request.parts.push_back(firstOwnPart + m_lastRequest);
    request.isCounted = !request.isCrashing && hasFirstPart && isPastBound(stableTime);
    harmlessArrived += request.isCounted;
    if (hasFirstPart && !request.isCrashing) {
        request.harmless = m_harmless.size();
        m_harmless.push_back({ m_now });
    }
    m_instances[index]->requests[id] = request;
    send(index, RequestArrived {
                    .request = id,
                    .kind = KindId { 1 },
                    .customer = CustomerId { 0 },
                    .promptTokens = 1'000,
                    .maxTokens = 200,
                    .deadline = m_now + 14s,
                    .prefixBlocks = {},
                    .signature = firstSignature + m_lastRequest,
                    .promptParts = request.parts,
                });
}

auto CrashFleet::advance(std::size_t index) -> void
{
    auto& instance = *m_instances[index];
    send(index, Tick {});
    const auto prefills = instance.prefills;
    for (const auto& [id, prefill] : prefills) {
        if (prefill.second > m_now)
            continue;
        instance.prefills.erase(id);
        send(index, PrefillDone { id, prefill.first.attempt, m_now + 800ms, 0 });
    }
    const auto decodes = instance.decodes;
    for (const auto& [id, decode] : decodes) {
        auto& request = instance.requests.at(id);
        if (decode.next > m_now || request.isCrashing)
            continue;
        instance.decodes.at(id).next = m_now + tokenInterval;
        ++request.tokens;
        if (request.harmless)
            m_harmless[*request.harmless].hasBegun = true;
        send(index, TokensEmitted { id, decode.start.attempt, request.tokens });
        if (request.tokens < answerTokens)
            continue;
        instance.decodes.erase(id);
        harmlessFinished += request.isCounted;
        send(index, DecodeFinished { id, decode.start.attempt, request.tokens });
    }
}

auto CrashFleet::advanceEngines() -> void
{
    std::set<std::uint32_t> crashed;
    for (const auto& instance : m_instances) {
        for (const auto& [id, decode] : instance->decodes) {
            if (decode.next <= m_now && instance->requests.at(id).isCrashing)
                crashed.insert(static_cast<std::uint32_t>(decode.start.decode) - firstDecodeEngine);
        }
    }
    for (const auto engine : crashed)
        crash(engine);
    for (std::uint32_t engine = 0; engine < m_engines.size(); ++engine) {
        auto& state = m_engines[engine];
        if (!state.isDown || state.backAt > m_now)
            continue;
        state = { .process = ++m_lastProcess };
        for (const auto& instance : m_instances)
            reportDecodeEngine(*instance, engine);
    }
}

auto CrashFleet::crash(std::uint32_t engine) -> void
{
    m_crashTimes.push_back(m_now);
    if (++crashes == m_settings.boundCrashes)
        m_boundAt = m_now + stableTime;
    m_engines[engine].isDown = true;
    m_engines[engine].backAt = m_now + downTime;
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        const auto decodes = m_instances[index]->decodes;
        for (const auto& [id, decode] : decodes) {
            if (static_cast<std::uint32_t>(decode.start.decode) != firstDecodeEngine + engine || m_instances[index]->decodes.erase(id) == 0)
                continue;
            send(index, DecodeFailed { id, decode.start.attempt, FailureKind::ConnectionLost, m_instances[index]->requests.at(id).tokens });
        }
    }
    for (const auto& instance : m_instances)
        reportDecodeEngine(*instance, engine);
}

auto CrashFleet::countCall(const Instance& instance, const Request& request) -> void
{
    if (request.isCrashing && isPastBound(0ms) && m_now - instance.undisturbedSince >= stableTime)
        ++callsAfterBound;
}

auto CrashFleet::send(std::size_t index, const DecisionEvent& event) -> void
{
    auto& instance = *m_instances[index];
    instance.harness.now = m_now;
    instance.harness.send(event);
    const auto actions = instance.harness.actions;
    instance.harness.all.clear();
    for (const auto& action : actions) {
        if (const auto* prefill = std::get_if<StartPrefill>(&action)) {
            instance.prefills[prefill->request] = { *prefill, m_now + prefillTime };
            countCall(instance, instance.requests.at(prefill->request));
        } else if (const auto* decode = std::get_if<StartDecode>(&action)) {
            instance.prefills.erase(decode->request);
            // An engine that is down refuses the connection.
            if (m_engines[static_cast<std::uint32_t>(decode->decode) - firstDecodeEngine].isDown) {
                send(index, DecodeFailed { decode->request, decode->attempt, FailureKind::NotConnected, 0 });
                continue;
            }
            instance.decodes[decode->request] = { *decode, m_now + firstTokenTime };
            countCall(instance, instance.requests.at(decode->request));
        } else if (const auto* refusal = std::get_if<Refuse>(&action)) {
            instance.prefills.erase(refusal->request);
            instance.decodes.erase(refusal->request);
        } else if (const auto* signature = std::get_if<ReportCrashSignature>(&action)) {
            broadcast(index, CrashSignatureReported { signature->signature });
        } else if (const auto* crashed = std::get_if<ReportCrash>(&action)) {
            broadcast(index, CrashReported { crashed->signature, crashed->replica, index % 2 == 0 });
        } else if (const auto* check = std::get_if<CheckProcess>(&action)) {
            // An engine that has crashed refuses the connection.
            const auto& engine = m_engines[static_cast<std::uint32_t>(check->replica) - firstDecodeEngine];
            if (engine.isDown)
                m_messages.push_back({ m_now + messageDelay, index, ProcessEnded { engine.process } });
        } else if (const auto* prompt = std::get_if<ReportCrashedPrompt>(&action)) {
            broadcast(index, CrashedPromptReported { prompt->prompt });
        } else if (const auto* harmless = std::get_if<ReportHarmlessParts>(&action)) {
            broadcast(index, HarmlessPartsReported { harmless->parts });
        } else if (const auto* update = std::get_if<UpdateBlockedPart>(&action)) {
            scheduleWrite(index, *update);
        }
    }
}

auto CrashFleet::scheduleWrite(std::size_t writer, const UpdateBlockedPart& update) -> void
{
    m_scheduled.emplace(m_now + writeDelay, [this, writer, update] {
        if (m_now < m_instances[writer]->cutFromStoreUntil)
            scheduleWrite(writer, update);
        else
            write(update);
    });
}

auto CrashFleet::write(const UpdateBlockedPart& update) -> void
{
    const auto known = std::ranges::find(m_listed, update.part, &ListedPart::part);
    if (update.change == BlockedPartChange::Add && known == m_listed.end())
        m_listed.push_back({ update.part });
    else if (update.change == BlockedPartChange::Remove && known != m_listed.end())
        m_listed.erase(known);
    else
        return;
    ++m_listRevision;
}

auto CrashFleet::readList() -> void
{
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        auto& instance = *m_instances[index];
        if (m_now < instance.nextRead || m_now < instance.cutFromStoreUntil || instance.readRevision == m_listRevision)
            continue;
        instance.readRevision = m_listRevision;
        instance.nextRead = m_now + readInterval;
        send(index, BlockedPartsListed { m_listed });
    }
}

auto CrashFleet::broadcast(std::size_t sender, const DecisionEvent& event) -> void
{
    for (std::size_t receiver = 0; receiver < m_instances.size(); ++receiver) {
        const auto isCut = m_now < m_instances[sender]->cutFromPeersUntil || m_now < m_instances[receiver]->cutFromPeersUntil;
        if (receiver != sender && !isCut && !chance(m_settings.messageLoss))
            m_messages.push_back({ m_now + messageDelay, receiver, event });
    }
}

}
