#include "CallSignature.h"
#include "Hexadecimal.h"
#include "ReplicaControl.h"
#include "SoakFleet.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <thread>

namespace jayhold::soak {

using std::chrono::milliseconds;

auto SoakFleet::restoreStore() -> void
{
    m_store.restore();
    writeConfiguration();
    for (std::size_t index = 0; index < m_backends.size(); ++index)
        registerBackend(index);
    // The copy may list engines that have been replaced since.
    for (const auto& [id, index] : m_backendIndexes) {
        if (id != m_backends[index].name)
            m_store.remove("servers", id);
    }
}

auto SoakFleet::pauseBackendsBesideChange(Duration pauseTime) -> PausePeriod
{
    putConfiguration();
    PausePeriod pause { monotonicNow(), {} };
    for (const auto& backend : m_backends)
        backend.process->signal(SIGSTOP);
    std::this_thread::sleep_for(pauseTime);
    for (const auto& backend : m_backends)
        backend.process->signal(SIGCONT);
    pause.until = monotonicNow();
    return pause;
}

auto SoakFleet::pauseBackendsBesideLowerValues(Duration pauseTime, Duration changeTime) -> PausePeriod
{
    PausePeriod pause { monotonicNow(), {} };
    for (const auto& backend : m_backends)
        backend.process->signal(SIGSTOP);
    std::this_thread::sleep_for(changeTime);
    m_hasLowValues = true;
    putConfiguration();
    std::this_thread::sleep_for(pauseTime - changeTime);
    for (const auto& backend : m_backends)
        backend.process->signal(SIGCONT);
    pause.until = monotonicNow();
    return pause;
}

auto SoakFleet::raiseValues() -> void
{
    m_hasLowValues = false;
    putConfiguration();
}

auto SoakFleet::setLinkFaults(std::size_t index, const std::string& faults) -> void
{
    const auto response = m_client.call(m_links[index].admin, "PUT", "/admin/faults", faults);
    if (response.status != 200)
        throw std::runtime_error("a link rejected its fault settings: " + response.text);
}

auto SoakFleet::beginEntryFault(const PlannedFault& fault) -> void
{
    auto& entry = m_entries[fault.target];
    switch (fault.kind) {
    case FaultKind::FreezeEntry:
        entry.process->signal(SIGSTOP);
        break;
    case FaultKind::KillEntry:
        entry.isExitExpected = true;
        entry.process->signal(SIGKILL);
        break;
    case FaultKind::ReplaceEntry:
        entry.isExitExpected = true;
        entry.process->signal(SIGTERM);
        break;
    case FaultKind::ReloadSettings:
        entry.process->signal(SIGHUP);
        break;
    default:
        for (auto& each : m_entries) {
            each.isExitExpected = true;
            each.process->signal(SIGKILL);
        }
        break;
    }
}

auto SoakFleet::endEntryFault(const PlannedFault& fault) -> void
{
    if (fault.kind == FaultKind::FreezeEntry)
        m_entries[fault.target].process->signal(SIGCONT);
    if (fault.kind == FaultKind::FreezeEntry || fault.kind == FaultKind::ReloadSettings)
        return;
    if (fault.kind == FaultKind::KillAllEntries) {
        const auto signature = callSignature("a.example", {}, { .method = "GET", .target = std::string(crashingTarget) });
        auto& period = findActivePeriod(fault);
        period.isPartListed = m_store.contains("entry-blocked-parts", std::string(crashingPart) + '"');
        period.isCallListed = m_store.contains("entry-blocked-parts", toHexadecimal(signature) + '"');
    }
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        auto& entry = m_entries[index];
        if (fault.kind != FaultKind::KillAllEntries && index != fault.target)
            continue;
        const auto beginsAt = monotonicNow();
        const auto [code, text] = waitForShutdown(entry, beginsAt + shutdownGracePeriod + std::chrono::seconds(1));
        // A shutdown during other faults may interrupt requests; the exit code is then 1.
        if (fault.kind == FaultKind::ReplaceEntry && (!code || *code < 0 || *code > 1))
            m_unexpectedExits.push_back({ "edge-" + std::to_string(index) + " " + text + " after SIGTERM", beginsAt, monotonicNow() });
        keepOutput(m_endedEntryOutput, std::move(entry.process));
        startEntry(entry);
    }
}

auto SoakFleet::restartCrashed(Duration downTime) -> void
{
    for (std::size_t index = 0; index < m_backends.size(); ++index) {
        auto& backend = m_backends[index];
        if (backend.process->waitForExit(Duration::zero()) != crashExitCode)
            continue;
        const auto crash = parseRuns(backend.process->output(), "crashed");
        if (!crash.empty() && monotonicNow() < crash.back().at + downTime)
            continue;
        keepBackendOutput(backend);
        startBackend(backend, backend.endpoint.port);
        registerBackend(index);
    }
}

auto SoakFleet::beginVersion(std::size_t index) -> void
{
    const auto& backend = m_backends[index];
    if (backend.phase == "decode")
        m_versionPeriods.push_back({ index, versionName(backend.version), monotonicNow() });
}

auto SoakFleet::endVersion(std::size_t index) -> void
{
    for (auto& period : m_versionPeriods) {
        if (period.backendIndex == index)
            period.until = std::min(period.until, monotonicNow());
    }
}

auto SoakFleet::newestVersion() const -> int
{
    return std::ranges::max_element(m_backends, {}, &Backend::version)->version;
}

auto SoakFleet::planRestOfRelease() const -> std::vector<PlannedFault>
{
    constexpr milliseconds drainTime(300);
    const auto newest = newestVersion();
    std::vector<PlannedFault> plan;
    for (std::size_t index = 0; index < m_backends.size(); ++index) {
        if (!m_backends[index].phase.empty() && m_backends[index].version < newest)
            plan.push_back({ .kind = FaultKind::ReleaseEngine, .target = index, .length = drainTime });
    }
    return plan;
}

auto SoakFleet::replaceEngine(std::size_t index, bool keepsId) -> void
{
    auto& backend = m_backends[index];
    backend.process->signal(SIGKILL);
    backend.process->waitForExit(startTimeout);
    keepBackendOutput(backend);
    backend.version = std::max(newestVersion(), backend.version + 1);
    if (!keepsId) {
        m_store.remove("servers", backend.name);
        backend.name = backend.phase + "-" + std::to_string(index) + "-" + versionName(backend.version);
    }
    backend.isLeaving = false;
    // At another address, so that an instance that knows only the old process cannot reach the new one.
    startBackend(backend, 0);
    m_links[index] = startLink(backend.endpoint);
    registerBackend(index);
    beginVersion(index);
}

auto SoakFleet::beginBackendFault(const PlannedFault& fault) -> void
{
    auto& backend = m_backends[fault.target];
    if (fault.kind == FaultKind::FreezeBackend)
        backend.process->signal(SIGSTOP);
    else if (fault.kind == FaultKind::KillBackend)
        backend.process->signal(SIGKILL);
    else if (fault.kind == FaultKind::BackendSaysLeaving)
        backend.process->signal(leaveSignal);
    else if (fault.kind == FaultKind::BackendRejects)
        backend.process->signal(rejectSignal);
    else if (fault.kind == FaultKind::SilentEngine)
        backend.process->signal(silenceSignal(true));
    else if (fault.kind == FaultKind::FullEngine)
        backend.process->signal(fullSignal(true));
    else
        markLeaving(fault.target, true);
    if (isRelease(fault.kind))
        endVersion(fault.target);
}

auto SoakFleet::endBackendFault(const PlannedFault& fault) -> void
{
    if (isRelease(fault.kind)) {
        findActivePeriod(fault).killedAt = monotonicNow();
        replaceEngine(fault.target, fault.kind == FaultKind::ReleaseEngineWithSameId);
        return;
    }
    auto& backend = m_backends[fault.target];
    if (fault.kind == FaultKind::FreezeBackend)
        backend.process->signal(SIGCONT);
    if (fault.kind == FaultKind::BackendLeaves)
        markLeaving(fault.target, false);
    if (fault.kind == FaultKind::BackendRejects)
        backend.process->signal(rejectSignal);
    if (fault.kind == FaultKind::SilentEngine)
        backend.process->signal(silenceSignal(false));
    if (fault.kind == FaultKind::FullEngine)
        backend.process->signal(fullSignal(false));
    if (fault.kind != FaultKind::BackendSaysLeaving && fault.kind != FaultKind::KillBackend)
        return;
    // A server that a request had crashed when it was to be killed has been started again.
    findActivePeriod(fault).killedAt = monotonicNow();
    backend.process->signal(SIGKILL);
    backend.process->waitForExit(startTimeout);
    keepBackendOutput(backend);
    startBackend(backend, backend.endpoint.port);
    registerBackend(fault.target);
}

auto SoakFleet::begin(const PlannedFault& fault) -> void
{
    m_faultPeriods.push_back({ fault, monotonicNow() });
    switch (fault.kind) {
    case FaultKind::CutLink:
        setLinkFaults(fault.target, R"({"cut":true})");
        break;
    case FaultKind::ResetLink:
        setLinkFaults(fault.target, R"({"reset":true})");
        break;
    case FaultKind::StallLink:
        setLinkFaults(fault.target, R"({"stall":true})");
        break;
    case FaultKind::StallAnswers:
        setLinkFaults(fault.target, R"({"stall_answers":true})");
        break;
    case FaultKind::SlowLink:
        setLinkFaults(fault.target, R"({"delay_us":80000})");
        break;
    case FaultKind::StoreDown:
        m_store.setDown(true);
        break;
    case FaultKind::StoreMalformed:
        m_store.setMalformed(true);
        break;
    case FaultKind::StoreHistoryCompacted:
        m_store.compact();
        break;
    case FaultKind::NewConfiguration:
        putConfiguration();
        break;
    case FaultKind::StoreRestored:
        m_store.saveCopy();
        break;
    default:
        if (fault.kind <= FaultKind::KillAllEntries)
            beginEntryFault(fault);
        else
            beginBackendFault(fault);
    }
}

auto SoakFleet::end(const PlannedFault& fault) -> void
{
    if (fault.kind <= FaultKind::KillAllEntries)
        endEntryFault(fault);
    else if (fault.kind <= FaultKind::BackendLeaves || fault.kind >= FaultKind::BackendSaysLeaving)
        endBackendFault(fault);
    else if (fault.kind <= FaultKind::SlowLink)
        setLinkFaults(fault.target, R"({"cut":false,"stall":false,"stall_answers":false,"delay_us":0})");
    else if (fault.kind == FaultKind::StoreDown)
        m_store.setDown(false);
    else if (fault.kind == FaultKind::StoreMalformed)
        m_store.setMalformed(false);
    else if (fault.kind == FaultKind::StoreRestored)
        restoreStore();
    findActivePeriod(fault).until = monotonicNow();
}

auto SoakFleet::findActivePeriod(const PlannedFault& fault) -> FaultPeriod&
{
    const auto isSame = [&](const FaultPeriod& period) { return period.fault.kind == fault.kind && period.fault.target == fault.target && period.until == TimePoint::max(); };
    return *std::ranges::find_if(m_faultPeriods, isSame);
}

}
