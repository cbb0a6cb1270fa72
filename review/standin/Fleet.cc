#include "Fleet.h"

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <thread>

namespace review {

namespace {

const auto startedAt = std::chrono::steady_clock::now();

constexpr int readyPort = 8'140;

}

auto isTroubled() -> bool
{
    const auto* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

auto elapsed() -> double
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
}

auto sleepMs(int milliseconds) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

Record::Record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "a"))
{
    if (!m_file)
        std::_Exit(2);
}

Record::~Record()
{
    std::fclose(m_file);
}

auto Record::line(const std::string& event) -> void
{
    const std::lock_guard guard(m_lock);
    std::fprintf(m_file, "%9.4f %s\n", elapsed(), event.c_str());
    std::fflush(m_file);
}

auto loopbackIp(int number) -> std::string
{
    const auto process = static_cast<int>(::getpid());
    return "127." + std::to_string(64 + process / 250 % 150) + "." + std::to_string(process % 250 + 1) + "." + std::to_string(number);
}

Instance::Instance(InstanceSettings settings, const std::string& folder, Record& record)
    : m_settings(std::move(settings))
    , m_folder(folder)
    , m_record(record)
{
    std::map<std::string, std::string> fields {
        { "node", m_settings.name },
        { "role", "entry" },
        { "machineClass", "edge" },
        { "serves", "edge" },
        { "ip", m_settings.ip },
        { "zone", m_settings.zone },
        { "region", "big-bend" },
        { "zones.alpine", "big-bend" },
        { "zones.terlingua", "big-bend" },
        { "zones.marfa", "big-bend" },
        { "listen.front", m_settings.ip + ":8144" },
        { "listen.ready", m_settings.ip + ":8140" },
        { "portRange", "7660,7675" },
        { "bootstrap", "true" },
        { "inTolerance", "false" },
        { "limits.cpuShare", "0.25" },
        { "limits.cores", "1" },
        { "limits.memoryMb", std::to_string(m_settings.memoryMb) },
        { "limits.maxFds", "4100" },
        { "limits.linkMbps", "1000.0" },
        { "limits.diskMb", "0" },
        { "discovery", "platform" },
        { "entry", "vip" },
        { "heartbeatMs", "1200" },
        { "contracts", "base,drain,config,cost,retry,recover,split,stream,engine,platform" },
        { "faultTolerance.machines", "1" },
        { "faultTolerance.zones", "1" },
        { "faultTolerance.regions", "0" },
        { "bounds.stableWindowMs", "3000" },
        { "bounds.ackMs", "4000" },
        { "bounds.drainMs", "2000" },
        { "bounds.graceS", "8" },
        { "bounds.slackMs", "200" },
        { "bounds.applyMs", "2000" },
        { "bounds.downgradeMs", "250" },
        { "bounds.budgetRatio", "0.2" },
        { "bounds.budgetWindowS", "10" },
        { "bounds.budgetExtra", "52" },
        { "bounds.recoverS", "12" },
        { "bounds.requireFencing", "true" },
        { "bounds.leaseMs", "3000" },
        { "bounds.thawMs", "300" },
        { "platform.address", text(m_settings.store) },
        { "platform.form", "objects" },
        { "platform.writesPerS", "400" },
        { "platform.readsPerS", "2000" },
        { "platform.historyS", "20" },
        { "platform.valueBytes", "1048576" },
    };
    for (const auto& [key, value] : m_settings.fields)
        fields[key] = value;
    std::ofstream file(m_folder + "/" + m_settings.name + ".conf");
    for (const auto& [key, value] : fields)
        file << key << '=' << value << '\n';
}

Instance::~Instance()
{
    if (m_process > 0) {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
}

auto Instance::start() -> void
{
    const auto* program = std::getenv("REVIEW_ENTRY");
    const std::string path = program ? program : "target/jayhold-entry";
    const auto settings = "JAYHOLD_BOOT=" + m_folder + "/" + m_settings.name + ".conf";
    const auto log = m_folder + "/" + m_settings.name + ".log";
    const auto parent = ::getpid();
    m_process = ::fork();
    if (m_process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            std::_Exit(2);
        const auto output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, 1);
        ::dup2(output, 2);
        const char* arguments[] = { path.c_str(), "--deployment", "platform", nullptr };
        const char* environment[] = { settings.c_str(), "PATH=/usr/bin:/bin", nullptr };
        ::execve(path.c_str(), const_cast<char**>(arguments), const_cast<char**>(environment));
        std::_Exit(127);
    }
    m_record.line("instance " + m_settings.name + " started, process " + std::to_string(m_process));
}

auto Instance::signal(int number) -> void
{
    if (m_process <= 0)
        return;
    m_record.line("signal " + std::string(::strsignal(number)) + " to " + m_settings.name);
    ::kill(m_process, number);
}

auto Instance::hasEnded() -> bool
{
    int status = 0;
    if (m_process > 0 && ::waitpid(m_process, &status, WNOHANG) == m_process) {
        const auto how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status)) : "exit code " + std::to_string(WEXITSTATUS(status));
        m_record.line("instance " + m_settings.name + " ended, " + how);
        m_process = -1;
    }
    return m_process <= 0;
}

auto Instance::isReady() const -> bool
{
    Connection connection(connectTo({ m_settings.ip, readyPort }, 200));
    Message answer;
    return connection.write(request("GET", "/-/ready", { { "Host", m_settings.ip } }, {})) && connection.readMessage(answer, 500) && answer.status() == 200;
}

auto Instance::waitUntilReady(int timeoutMs) const -> bool
{
    const auto until = elapsed() + timeoutMs / 1'000.0;
    while (elapsed() < until) {
        if (isReady())
            return true;
        sleepMs(20);
    }
    return false;
}

auto Instance::anonymousBytes() const -> std::size_t
{
    std::ifstream file("/proc/" + std::to_string(m_process) + "/status");
    std::string word;
    std::size_t kilobytes = 0;
    while (file >> word) {
        if (word == "RssAnon:") {
            file >> kilobytes;
            break;
        }
    }
    return kilobytes << 10U;
}

auto keepRunning(Instance& instance, MemoryWatch& watch, Record& record, const std::atomic<bool>& isEnding) -> void
{
    const auto limitMb = static_cast<std::size_t>(instance.settings().memoryMb);
    auto isKilled = false;
    while (!isEnding) {
        const auto bytes = instance.anonymousBytes();
        auto most = watch.mostBytes.load();
        while (bytes > most && !watch.mostBytes.compare_exchange_weak(most, bytes)) {
        }
        if (!isKilled && bytes > limitMb << 20U) {
            isKilled = true;
            ++watch.kills;
            record.line("instance " + instance.name() + " holds " + std::to_string(bytes >> 20U) + " MB, over its limit of " + std::to_string(limitMb) + " MB");
            instance.signal(SIGKILL);
        }
        if (instance.hasEnded()) {
            sleepMs(500);
            instance.start();
            isKilled = false;
        }
        sleepMs(2);
    }
}

}
