#include "SoakFleet.h"

#include "ParseNumber.h"
#include "Stalls.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <span>
#include <stdexcept>
#include <thread>

#include <unistd.h>

namespace jayhold::soak {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

/// Far above the need of the callers, backend servers and links of a run.
constexpr std::size_t maxDescriptors = 300;
constexpr std::uint16_t callerPort = 8'080;
constexpr std::uint16_t readyPort = 8'081;
constexpr std::uint16_t metricsPort = 9'464;
constexpr unsigned notFound = 404;
constexpr std::int64_t firstBackendStart = 1'700'000'000'000;

auto makeRoute(const std::string& name, const std::string& service, const std::string& kind, int attempts, std::chrono::milliseconds timeout) -> json::object
{
    return { { "name", name }, { "host", "a.example" }, { "pathPrefix", "/" + name + "/" }, { "service", service }, { "kind", kind }, { "timeoutMs", timeout.count() },
        { "targetLatencyMs", 500 }, { "targetGapMs", 200 }, { "maxAttempts", attempts }, { "priority", 1 }, { "canResume", name == "resumed" }, { "sticky", kind == "streaming" } };
}

auto makePublicRoute(std::chrono::milliseconds timeout) -> json::object
{
    auto route = makeRoute("open", "ledger", "idempotent", 2, timeout);
    route["public"] = true;
    return route;
}

/// @return the lines of the settings that bound what customers may exceed their quotas by.
auto quotaSettings() -> std::string
{
    return "bounds.quotaWindowS=" + std::to_string(quotaWindow / std::chrono::seconds(1)) + "\nbounds.quotaOver=" + std::to_string(quotaOver) + "\nbounds.quotaSlack=" + std::to_string(quotaSlackTokens) + "\n";
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

/// @param key `VmRSS:` for the memory that the process uses now, `VmHWM:` for its maximum.
auto memoryKb(pid_t process, std::string_view key) -> std::int64_t
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(key))
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

SoakFleet::SoakFleet(std::string programs, const FleetSize& size, bool hasCustomers)
    : m_programs(std::move(programs))
    , m_hasCustomers(hasCustomers)
{
    putConfiguration();
    // The first half are plain servers, the next one is the prefill engine, the rest are decode
    // engines.
    for (std::size_t index = 0; index < size.backends; ++index) {
        Backend backend;
        const auto isPlain = index < firstEngine(size);
        const auto isPrefill = index == firstEngine(size);
        backend.service = isPlain ? "ledger" : "llm";
        if (!isPlain)
            backend.phase = isPrefill ? "prefill" : "decode";
        if (m_hasCustomers)
            backend.speedPercent = speedPercent(index, firstEngine(size));
        backend.name = (isPlain ? "plain-" : backend.phase + "-") + std::to_string(index);
        startBackend(backend, 0);
        m_links.push_back(startLink(backend.endpoint));
        m_backends.push_back(std::move(backend));
        registerBackend(index);
        beginVersion(index);
    }
    for (std::size_t index = 0; index < size.entries; ++index) {
        m_links.push_back(startLink(m_store.endpoint()));
        Entry entry;
        entry.address = loopbackAddress(index);
        entry.settingsFile = (std::filesystem::temp_directory_path() / ("jayhold-soak-" + std::to_string(getpid()) + "-" + std::to_string(index))).string();
        std::ofstream(entry.settingsFile) << "node=edge-" << index << "\nzone=alpine\nregion=big-bend\nip=" << entry.address << "\nzones.alpine=big-bend\nlisten.front=" << entry.address << ":" << callerPort
                                          << "\nlisten.ready=" << entry.address << ":" << readyPort << "\nportRange=7660,7675\nbounds.graceS=" << shutdownGracePeriod / std::chrono::seconds(1) << "\nbounds.applyMs=2000\nbounds.drainMs=2000\nbounds.leaseMs=3000\n"
                                          << "bounds.budgetRatio=" << retryBudgetRatio << "\nbounds.budgetExtra=" << retryBudgetExtra << "\nplatform.address=" << toString(m_links.back().endpoint) << "\nplatform.readsPerS=2000\n"
                                          << (m_hasCustomers ? quotaSettings() : "");
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
    const auto timeout = m_hasLowValues ? lowRouteTimeout : milliseconds(3'000);
    json::array routes { makeRoute("read", "ledger", "idempotent", 2, timeout), makeRoute("post", "ledger", "non_idempotent", 1, timeout), makeRoute("resumed", "llm", "streaming", 2, timeout), makeRoute("once", "llm", "streaming", 1, timeout) };
    // Each version has one route more than the previous one.
    for (int extra = 1; extra < m_configurationVersion; ++extra)
        routes.push_back(makeRoute("extra-" + std::to_string(extra), "ledger", "idempotent", 2, timeout));
    json::object configuration { { "version", m_configurationVersion }, { "routes", std::move(routes) },
        { "services", json::array { json::object { { "name", "ledger" }, { "healthPath", "/health" } }, json::object { { "name", "llm" }, { "engine", engine } } } },
        { "limits", json::object { { "maxHeaderBytes", m_hasLowValues ? 2'048 : 8'192 }, { "maxBodyBytes", m_hasLowValues ? 1'000 : 10'000 }, { "headerTimeoutMs", m_hasLowValues ? 200 : 500 }, { "idleTimeoutMs", 5'000 } } } };
    if (m_hasCustomers) {
        configuration["routes"].as_array().push_back(makePublicRoute(timeout));
        configuration["tenants"] = customerEntries(m_areKeysChanged);
    }
    m_store.put("config", "main", std::move(configuration));
}

auto SoakFleet::changeKeys() -> TimePoint
{
    m_areKeysChanged = true;
    putConfiguration();
    return monotonicNow();
}

auto SoakFleet::activeVersions() -> std::vector<int>
{
    constexpr std::string_view metric = "\njayhold_configuration_version ";
    std::vector<int> versions;
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        const auto text = m_client.get({ loopbackAddress(index), metricsPort }, "/metrics").text;
        if (const auto found = text.find(metric); found != std::string::npos) {
            const auto begin = found + metric.size();
            m_entries[index].activeVersion = parseNumber<int>(std::string_view(text).substr(begin, text.find('\n', begin) - begin)).value_or(0);
        }
        versions.push_back(m_entries[index].activeVersion);
    }
    return versions;
}

auto SoakFleet::findOutdatedEntries() -> std::vector<std::string>
{
    const auto newestRoute = "/extra-" + std::to_string(m_configurationVersion - 1) + "/x";
    const auto versions = activeVersions();
    std::vector<std::string> outdated;
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        if (versions[index] != m_configurationVersion)
            outdated.push_back("edge-" + std::to_string(index) + " has version " + std::to_string(versions[index]) + " instead of " + std::to_string(m_configurationVersion));
        else if (m_client.call(entryEndpoint(index), "GET", newestRoute, {}, { { "Host", "a.example" } }).status == notFound)
            outdated.push_back("edge-" + std::to_string(index) + " does not know " + newestRoute);
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

auto SoakFleet::versionName(int version) -> std::string
{
    return "v" + std::to_string(version);
}

auto SoakFleet::startBackend(Backend& backend, std::uint16_t port) -> void
{
    const std::vector<std::string> arguments { "--id", backend.name, "--listen", "127.0.0.1:" + std::to_string(port), "--software", versionName(backend.version), "--speed-percent", std::to_string(backend.speedPercent) };
    backend.process = std::make_unique<ChildProcess>(m_programs + "/standin-replica", arguments, "");
    backend.endpoint = requireEndpoint(requireListening(*backend.process, backend.name), "address");
    backend.born = firstBackendStart + ++m_backendStartCount;
}

auto SoakFleet::startEntry(Entry& entry) -> void
{
    entry.isExitExpected = false;
    entry.process = std::make_unique<ChildProcess>(m_programs + "/jayhold-entry", std::vector<std::string> { "--deployment", "platform", "--settings", entry.settingsFile }, "");
    requireListening(*entry.process, "an entry instance");
}

auto SoakFleet::keepOutput(std::vector<std::string>& lines, std::unique_ptr<ChildProcess> process) -> void
{
    const auto output = process->output();
    lines.insert(lines.end(), output.begin(), output.end());
}

auto SoakFleet::keepBackendOutput(Backend& backend) -> void
{
    for (const auto& crash : parseRuns(backend.process->output(), "crashed"))
        m_faultPeriods.push_back({ { .kind = FaultKind::KillBackend, .target = crash.backendIndex }, crash.at, monotonicNow() });
    keepOutput(m_endedBackendOutput, std::move(backend.process));
}

auto SoakFleet::registerBackend(std::size_t index) -> void
{
    const auto& backend = m_backends[index];
    m_backendIndexes[backend.name] = index;
    putServer(backend, m_links[index].endpoint);
}

auto SoakFleet::putServer(const Backend& backend, const HttpEndpoint& address) -> void
{
    json::object entry { { "service", backend.service }, { "address", toString(address) }, { "zone", "alpine" }, { "state", backend.isLeaving ? "draining" : "ready" }, { "slots", 6 }, { "born", backend.born } };
    if (!backend.phase.empty()) {
        entry["phase"] = backend.phase;
        entry["version"] = versionName(backend.version);
    }
    m_store.put("servers", backend.name, std::move(entry));
}

auto SoakFleet::markLeaving(std::size_t backend, bool isLeaving) -> void
{
    m_backends[backend].isLeaving = isLeaving;
    registerBackend(backend);
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

auto SoakFleet::waitForShutdown(Entry& entry, TimePoint end) -> std::pair<std::optional<int>, std::string>
{
    const auto code = entry.process->waitForExit(std::max(end - monotonicNow(), Duration::zero()));
    if (code)
        return { code, "exited with code " + std::to_string(*code) };
    return { code, "did not exit in time, looked for " + std::to_string((monotonicNow() - end).count() / 1'000) + " ms after the end, threads" + describeThreads(entry.process->id()) };
}

auto SoakFleet::restartGracefully(std::size_t first, std::size_t count) -> std::vector<EntryFailure>
{
    const auto entries = std::span(m_entries).subspan(first, count);
    for (auto& entry : entries) {
        entry.isExitExpected = true;
        entry.process->signal(SIGTERM);
    }
    const auto beginsAt = monotonicNow();
    const auto end = beginsAt + shutdownGracePeriod + std::chrono::seconds(1);
    std::vector<EntryFailure> errors;
    for (std::size_t index = first; index < first + count; ++index) {
        const auto [code, text] = waitForShutdown(m_entries[index], end);
        if (code != 0)
            errors.push_back({ "edge-" + std::to_string(index) + " " + text + " after SIGTERM without other faults", beginsAt, monotonicNow() });
    }
    for (std::size_t index = first; index < first + count; ++index)
        m_faultPeriods.push_back({ { .kind = FaultKind::ReplaceEntry, .target = index }, beginsAt, monotonicNow() });
    for (auto& entry : entries) {
        keepOutput(m_endedEntryOutput, std::move(entry.process));
        startEntry(entry);
    }
    return errors;
}

auto SoakFleet::startEndlessBackends() -> void
{
    for (const auto& endlessPart : endlessParts) {
        const std::string part(endlessPart);
        Backend backend;
        backend.name = std::string(endlessPrefix) + part;
        backend.service = part == "event" ? "llm" : "ledger";
        backend.phase = part == "event" ? "decode" : "";
        backend.version = newestVersion();
        backend.process = std::make_unique<ChildProcess>(m_programs + "/standin-endless", std::vector<std::string> { "--id", backend.name, "--part", part }, "");
        backend.endpoint = requireEndpoint(requireListening(*backend.process, backend.name), "address");
        backend.born = firstBackendStart + ++m_backendStartCount;
        putServer(backend, backend.endpoint);
        m_endlessBackends.push_back(std::move(backend));
    }
}

auto SoakFleet::removeEndlessBackends() -> void
{
    for (const auto& backend : m_endlessBackends)
        m_store.remove("servers", backend.name);
}

auto SoakFleet::memoryOfEntries() -> std::vector<std::int64_t>
{
    std::vector<std::int64_t> memory;
    for (const auto& entry : m_entries)
        memory.push_back(memoryKb(entry.process->id(), "VmRSS:"));
    return memory;
}

auto SoakFleet::standinOutput() const -> std::vector<std::pair<std::string, std::vector<std::string>>>
{
    std::vector<std::pair<std::string, std::vector<std::string>>> output { { "a former backend server", m_endedBackendOutput } };
    for (const auto& backend : m_backends)
        output.emplace_back(backend.name, backend.process->output());
    for (const auto& backend : m_endlessBackends)
        output.emplace_back(backend.name, backend.process->output());
    for (std::size_t index = 0; index < m_links.size(); ++index)
        output.emplace_back("link " + std::to_string(index), m_links[index].process->output());
    return output;
}

auto SoakFleet::findEntryFailures() -> std::vector<EntryFailure>
{
    auto faults = m_unexpectedExits;
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        const auto& entry = m_entries[index];
        const auto instance = "edge-" + std::to_string(index);
        if (const auto code = entry.process->waitForExit(Duration::zero()))
            faults.push_back({ instance + " exited unexpectedly with code " + std::to_string(*code) });
        if (const auto memory = memoryKb(entry.process->id(), "VmHWM:"); memory > maxMemoryKb)
            faults.push_back({ instance + " used " + std::to_string(memory) + " kB of memory" });
        if (const auto descriptors = openDescriptorCount(entry.process->id()); descriptors > maxDescriptors)
            faults.push_back({ instance + " has " + std::to_string(descriptors) + " open descriptors" });
    }
    return faults;
}

}
