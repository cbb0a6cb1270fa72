#include "SoakFleet.h"

#include "LogParser.h"
#include "ParseNumber.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <unistd.h>

namespace jayhold::soak {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr auto startTimeout = std::chrono::seconds(10);
/// The smallest machine has 88 MB. An instance may use 64 MB, as docs/CAPACITY.md says.
constexpr std::int64_t maxMemoryKb = 65'536;
/// Far above the need of the callers, backend servers and links of a run.
constexpr std::size_t maxDescriptors = 300;
constexpr std::uint16_t callerPort = 8'080;
constexpr std::uint16_t readyPort = 8'081;
constexpr std::uint16_t metricsPort = 9'464;

auto makeRoute(const std::string& name, const std::string& service, const std::string& kind, int attempts) -> json::object
{
    return { { "name", name }, { "host", "a.example" }, { "pathPrefix", "/" + name + "/" }, { "service", service }, { "kind", kind }, { "timeoutMs", 3'000 },
        { "targetLatencyMs", 500 }, { "targetGapMs", 300 }, { "maxAttempts", attempts }, { "priority", 1 }, { "canResume", name == "resumed" }, { "sticky", kind == "streaming" } };
}

/// @return a loopback address that only this run uses, because all entry instances serve their
/// metrics on the same port.
auto loopbackAddress(std::size_t index) -> std::string
{
    constexpr int networks = 200;
    return "127." + std::to_string(20 + getpid() % networks) + "." + std::to_string(getpid() / networks % networks) + "." + std::to_string(index + 2);
}

auto requireEndpoint(const std::map<std::string, std::string>& listening, const std::string& key) -> HttpEndpoint
{
    const auto found = listening.find(key);
    const auto endpoint = found == listening.end() ? std::nullopt : parseHttpEndpoint(found->second);
    if (!endpoint)
        throw std::runtime_error("a process did not report its listen address");
    return *endpoint;
}

auto requireListening(ChildProcess& process, const std::string& what) -> std::map<std::string, std::string>
{
    auto listening = process.waitForListening(startTimeout);
    if (listening)
        return std::move(*listening);
    const auto output = process.output();
    throw std::runtime_error(what + " did not start" + (output.empty() ? "" : ": " + output.back()));
}

auto peakMemoryKb(pid_t process) -> std::int64_t
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string key;
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stoll(line.substr(line.find_first_of("0123456789")));
    }
    return 0;
}

auto openDescriptorCount(pid_t process) -> std::size_t
{
    std::error_code ignored;
    std::size_t count = 0;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd", ignored))
        count += !entry.path().empty();
    return count;
}

}

SoakFleet::SoakFleet(std::string programs, const FleetSize& size)
    : m_programs(std::move(programs))
{
    putConfiguration();
    // The first half are plain servers, the next one is the prefill engine, the rest are decode
    // engines.
    for (std::size_t index = 0; index < size.backends; ++index) {
        Backend backend;
        const auto isPlain = index < size.backends / 2;
        const auto isPrefill = index == size.backends / 2;
        backend.service = isPlain ? "ledger" : "llm";
        if (!isPlain)
            backend.phase = isPrefill ? "prefill" : "decode";
        backend.name = (isPlain ? "plain-" : backend.phase + "-") + std::to_string(index);
        startBackend(backend, 0);
        m_links.push_back(startLink(backend.endpoint));
        m_backends.push_back(std::move(backend));
        registerBackend(index);
    }
    for (std::size_t index = 0; index < size.entries; ++index) {
        m_links.push_back(startLink(m_store.endpoint()));
        Entry entry;
        entry.address = loopbackAddress(index);
        entry.settingsFile = (std::filesystem::temp_directory_path() / ("jayhold-soak-" + std::to_string(getpid()) + "-" + std::to_string(index))).string();
        std::ofstream(entry.settingsFile) << "node=edge-" << index << "\nzone=alpine\nregion=big-bend\nip=" << entry.address << "\nzones.alpine=big-bend\nlisten.front=" << entry.address << ":" << callerPort
                                          << "\nlisten.ready=" << entry.address << ":" << readyPort << "\nportRange=7660,7675\nbounds.graceS=" << shutdownGracePeriod / std::chrono::seconds(1) << "\nbounds.applyMs=2000\nbounds.drainMs=2000\nbounds.leaseMs=3000\n"
                                          << "bounds.budgetRatio=" << retryBudgetRatio << "\nbounds.budgetExtra=" << retryBudgetExtra << "\nplatform.address=" << toString(m_links.back().endpoint) << "\nplatform.readsPerS=2000\n";
        startEntry(entry);
        m_entries.push_back(std::move(entry));
    }
}

SoakFleet::~SoakFleet()
{
    m_threads.stop();
    for (const auto& entry : m_entries) {
        std::error_code ignored;
        std::filesystem::remove(entry.settingsFile, ignored);
    }
}

auto SoakFleet::putConfiguration() -> void
{
    ++m_configurationVersion;
    writeConfiguration();
}

auto SoakFleet::writeConfiguration() -> void
{
    const json::object engine { { "slots", 8 }, { "kvCapacity", 40'000 }, { "kvTokenBytes", 18'432 }, { "linkMbps", 1'000.0 }, { "stride", 11 }, { "kvHoldS", 0.5 }, { "holdMs", 2'000.0 } };
    json::array routes { makeRoute("read", "ledger", "idempotent", 2), makeRoute("post", "ledger", "non_idempotent", 1), makeRoute("resumed", "llm", "streaming", 2), makeRoute("once", "llm", "streaming", 1) };
    // Each version has one route more than the previous one.
    for (int extra = 1; extra < m_configurationVersion; ++extra)
        routes.push_back(makeRoute("extra-" + std::to_string(extra), "ledger", "idempotent", 2));
    m_store.put("config", "main",
        json::object { { "version", m_configurationVersion }, { "routes", std::move(routes) },
            { "services", json::array { json::object { { "name", "ledger" }, { "healthPath", "/health" } }, json::object { { "name", "llm" }, { "engine", engine } } } },
            { "limits", json::object { { "maxHeaderBytes", 8'192 }, { "maxBodyBytes", 10'000 }, { "headerTimeoutMs", 500 }, { "idleTimeoutMs", 5'000 } } } });
}

auto SoakFleet::restoreStore() -> void
{
    m_store.restore();
    writeConfiguration();
    for (std::size_t index = 0; index < m_backends.size(); ++index)
        registerBackend(index);
}

auto SoakFleet::pauseBackendsBesideChange(Duration pauseTime) -> void
{
    putConfiguration();
    for (const auto& backend : m_backends)
        backend.process->signal(SIGSTOP);
    std::this_thread::sleep_for(pauseTime);
    for (const auto& backend : m_backends)
        backend.process->signal(SIGCONT);
}

auto SoakFleet::findOutdatedEntries() -> std::vector<std::string>
{
    const auto expected = "\njayhold_configuration_version " + std::to_string(m_configurationVersion) + "\n";
    std::vector<std::string> outdated;
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        if (m_client.get({ loopbackAddress(index), metricsPort }, "/metrics").text.find(expected) == std::string::npos)
            outdated.push_back("edge-" + std::to_string(index));
    }
    return outdated;
}

auto SoakFleet::startLink(const HttpEndpoint& target) -> Link
{
    Link link;
    link.process = std::make_unique<ChildProcess>(m_programs + "/standin-link", std::vector<std::string> { "--target", toString(target) }, "");
    const auto listening = requireListening(*link.process, "a link");
    link.endpoint = requireEndpoint(listening, "address");
    link.admin = requireEndpoint(listening, "admin");
    return link;
}

auto SoakFleet::startBackend(Backend& backend, std::uint16_t port) -> void
{
    const std::vector<std::string> arguments { "--id", backend.name, "--listen", "127.0.0.1:" + std::to_string(port) };
    backend.process = std::make_unique<ChildProcess>(m_programs + "/standin-replica", arguments, "");
    backend.endpoint = requireEndpoint(requireListening(*backend.process, backend.name), "address");
    ++m_backendStartCount;
}

auto SoakFleet::startEntry(Entry& entry) -> void
{
    entry.isExitExpected = false;
    entry.process = std::make_unique<ChildProcess>(m_programs + "/jayhold-entry", std::vector<std::string> { "--deployment", "platform", "--settings", entry.settingsFile }, "");
    requireListening(*entry.process, "an entry instance");
}

auto SoakFleet::keepOutput(std::unique_ptr<ChildProcess> process, bool isEntry) -> void
{
    auto& keptOutput = isEntry ? m_endedEntryOutput : m_endedBackendOutput;
    const auto output = process->output();
    keptOutput.insert(keptOutput.end(), output.begin(), output.end());
}

auto SoakFleet::registerBackend(std::size_t index) -> void
{
    const auto& backend = m_backends[index];
    json::object entry { { "service", backend.service }, { "address", toString(m_links[index].endpoint) }, { "zone", "alpine" }, { "state", backend.isLeaving ? "draining" : "ready" }, { "slots", 6 }, { "born", 1'700'000'000'000 + m_backendStartCount } };
    if (!backend.phase.empty())
        entry["phase"] = backend.phase;
    m_store.put("servers", backend.name, std::move(entry));
}

auto SoakFleet::markLeaving(std::size_t backend, bool isLeaving) -> void
{
    m_backends[backend].isLeaving = isLeaving;
    registerBackend(backend);
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
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        auto& entry = m_entries[index];
        if (fault.kind != FaultKind::KillAllEntries && index != fault.target)
            continue;
        const auto code = entry.process->waitForExit(shutdownGracePeriod + std::chrono::seconds(1));
        // A shutdown during other faults may interrupt requests; the exit code is then 1.
        if (fault.kind == FaultKind::ReplaceEntry && (!code || *code < 0 || *code > 1))
            m_unexpectedExits.push_back("edge-" + std::to_string(index) + (code ? " exited with code " + std::to_string(*code) : " did not exit in time") + " after SIGTERM");
        keepOutput(std::move(entry.process), true);
        startEntry(entry);
    }
}

auto SoakFleet::beginBackendFault(const PlannedFault& fault) -> void
{
    auto& backend = m_backends[fault.target];
    if (fault.kind == FaultKind::FreezeBackend)
        backend.process->signal(SIGSTOP);
    else if (fault.kind == FaultKind::KillBackend)
        backend.process->signal(SIGKILL);
    else
        markLeaving(fault.target, true);
}

auto SoakFleet::endBackendFault(const PlannedFault& fault) -> void
{
    auto& backend = m_backends[fault.target];
    if (fault.kind == FaultKind::FreezeBackend)
        backend.process->signal(SIGCONT);
    if (fault.kind == FaultKind::BackendLeaves)
        markLeaving(fault.target, false);
    if (fault.kind != FaultKind::KillBackend)
        return;
    backend.process->waitForExit(startTimeout);
    keepOutput(std::move(backend.process), false);
    startBackend(backend, backend.endpoint.port);
    registerBackend(fault.target);
}

auto SoakFleet::begin(const PlannedFault& fault) -> void
{
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
    else if (fault.kind <= FaultKind::BackendLeaves)
        endBackendFault(fault);
    else if (fault.kind <= FaultKind::SlowLink)
        setLinkFaults(fault.target, R"({"cut":false,"stall":false,"stall_answers":false,"delay_us":0})");
    else if (fault.kind == FaultKind::StoreDown)
        m_store.setDown(false);
    else if (fault.kind == FaultKind::StoreMalformed)
        m_store.setMalformed(false);
    else if (fault.kind == FaultKind::StoreRestored)
        restoreStore();
}

auto SoakFleet::entryEndpoint(std::size_t index) const -> HttpEndpoint
{
    return { loopbackAddress(index), callerPort };
}

auto SoakFleet::isReady(std::size_t index) -> bool
{
    return m_client.get({ loopbackAddress(index), readyPort }, "/-/ready").status == 200;
}

auto SoakFleet::waitUntilReady(Duration timeout) -> bool
{
    const auto end = monotonicNow() + timeout;
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        while (!isReady(index)) {
            if (monotonicNow() >= end)
                return false;
            std::this_thread::sleep_for(milliseconds(20));
        }
    }
    return true;
}

auto SoakFleet::restartGracefully(std::size_t index) -> std::string
{
    auto& entry = m_entries[index];
    entry.isExitExpected = true;
    entry.process->signal(SIGTERM);
    const auto code = entry.process->waitForExit(shutdownGracePeriod + std::chrono::seconds(1));
    keepOutput(std::move(entry.process), true);
    startEntry(entry);
    if (!code || *code != 0)
        return "edge-" + std::to_string(index) + (code ? " exited with code " + std::to_string(*code) : " did not exit in time") + " after SIGTERM without other faults";
    return {};
}

auto SoakFleet::runs() const -> std::vector<BackendRun>
{
    auto lines = m_endedBackendOutput;
    for (const auto& backend : m_backends) {
        const auto output = backend.process->output();
        lines.insert(lines.end(), output.begin(), output.end());
    }
    std::vector<BackendRun> runs;
    for (const auto& text : lines) {
        const auto line = parseLogLine(text);
        if (!line || line->event != "run")
            continue;
        const auto at = parseNumber<TimePoint::rep>(line->field("at")).value_or(0);
        runs.push_back({ std::string(line->field("request")), std::string(line->field("replica")), line->field("stage") == "prefill", TimePoint(TimePoint::duration(at)) });
    }
    return runs;
}

auto SoakFleet::entryLogs() const -> std::vector<std::string>
{
    auto lines = m_endedEntryOutput;
    for (const auto& entry : m_entries) {
        const auto output = entry.process->output();
        lines.insert(lines.end(), output.begin(), output.end());
    }
    return lines;
}

auto SoakFleet::findEntryFailures() -> std::vector<std::string>
{
    auto faults = m_unexpectedExits;
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        const auto& entry = m_entries[index];
        const auto instance = "edge-" + std::to_string(index);
        if (const auto code = entry.process->waitForExit(Duration::zero()))
            faults.push_back(instance + " exited unexpectedly with code " + std::to_string(*code));
        if (const auto memory = peakMemoryKb(entry.process->id()); memory > maxMemoryKb)
            faults.push_back(instance + " used " + std::to_string(memory) + " kB of memory");
        if (const auto descriptors = openDescriptorCount(entry.process->id()); descriptors > maxDescriptors)
            faults.push_back(instance + " has " + std::to_string(descriptors) + " open descriptors");
    }
    return faults;
}

}
