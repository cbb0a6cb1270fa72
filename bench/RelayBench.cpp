// Measures the relay throughput of one I/O thread of an entry instance, the latency that the instance
// adds, and its memory. The entry instance runs in its own process, so that its memory and CPU time are
// measured separately from those of the engines and callers.
#include "CommandLine.h"
#include "ProcessUsage.h"
#include "RelayCallers.h"

#include "Platform.h"

#include <jayhold/Base.h>
#include <jayhold/Entry.h>
#include <jayhold/Operator.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <span>
#include <thread>

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace jayhold;
using namespace jayhold::bench;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

struct Options {
    std::int64_t streams = 2'000;
    std::int64_t latencyStreams = 50;
    std::int64_t engines = 4;
    std::int64_t seconds = 5;
    std::int64_t gapMs = 40;
};

struct EntryProcess {
    pid_t process = -1;
    HttpEndpoint endpoint;
    HttpEndpoint peerEndpoint;
};

auto readPorts(int descriptor, std::uint16_t (&values)[2]) -> bool
{
    return read(descriptor, values, sizeof values) == static_cast<ssize_t>(sizeof values);
}

/// Main function of the entry instance's process. Reads the platform's port from the pipe, writes its own
/// ports, and serves until the benchmark's process closes the input pipe.
[[noreturn]] auto runEntry(int input, int output) -> void
{
    std::uint16_t received[2] {};
    if (!readPorts(input, received))
        std::_Exit(1);
    configureLogging(LogLevel::Warning);
    EntrySettings settings;
    settings.instance = "entry-1";
    settings.availabilityZone = "zone";
    settings.listen = settings.peerListen = { "127.0.0.1", 0 };
    settings.platform = { { "127.0.0.1", received[0] } };
    settings.peerKey = "peer-key";
    settings.operatorKeysSha256 = { sha256Hex("operator-key") };
    EntryDaemon daemon(std::move(settings));
    const std::uint16_t sent[2] { daemon.endpoint().port, daemon.peerEndpoint().port };
    if (write(output, sent, sizeof sent) != static_cast<ssize_t>(sizeof sent))
        std::_Exit(1);
    char byte = 0;
    // Blocks until the benchmark's process closes its end of the pipe.
    (void)!read(input, &byte, 1);
    std::_Exit(0);
}

auto benchConfiguration(int engines) -> Configuration
{
    Configuration configuration;
    configuration.availabilityZones = { { "zone", "region" } };
    configuration.customers = { { .name = "bench", .keysSha256 = { sha256Hex("bench-key") }, .maxQueued = 100'000 } };
    Service service { .name = "llm", .model = "model" };
    service.pools.push_back({ .name = "prefill", .availabilityZone = "zone", .role = PoolRole::Prefill, .slots = 4'000, .memoryBlocks = 60'000, .linkBytesPerSecond = 1'000'000'000'000 });
    service.pools.push_back({ .name = "decode", .availabilityZone = "zone", .role = PoolRole::Decode, .slots = 4'000 / engines, .memoryBlocks = 60'000, .linkBytesPerSecond = 1'000'000'000'000 });
    service.kinds = { { .name = "chat", .firstToken = 2s, .tokenGap = 100ms, .deadline = 600s } };
    configuration.services = { service };
    return configuration;
}

/// The platform, engines and callers, which run in the benchmark's own process.
class RelaySetup {
    // Declared before the servers, which run on these threads and are destroyed first.
    IoThreads m_platformThreads { 1 };
    IoThreads m_callerThreads { 3 };
    std::vector<std::unique_ptr<IoThreads>> m_engineThreads;
    standin::Platform m_platform;

public:
    RelaySetup(const Options& options, int toEntry, int fromEntry, pid_t process)
        : m_platform(m_platformThreads, {})
    {
        const std::uint16_t sent[2] { m_platform.endpoint().port, 0 };
        std::uint16_t received[2] {};
        if (write(toEntry, sent, sizeof sent) != static_cast<ssize_t>(sizeof sent) || !readPorts(fromEntry, received))
            throw std::runtime_error("the entry instance process did not start");
        entry = { process, { "127.0.0.1", received[0] }, { "127.0.0.1", received[1] } };
        RelayEngineSettings settings { .tokens = 1'000'000, .tokenGap = std::chrono::milliseconds(options.gapMs) };
        for (auto index = 0; index <= options.engines; ++index) {
            m_engineThreads.push_back(std::make_unique<IoThreads>(1));
            engines.push_back(std::make_unique<RelayEngine>(*m_engineThreads.back(), settings));
        }
        callers = std::make_unique<RelayCallers>(m_callerThreads, entry.endpoint, engines.back()->endpoint());
        configure(options);
    }
    ~RelaySetup()
    {
        m_callerThreads.stop();
        for (auto& threads : m_engineThreads)
            threads->stop();
        m_platformThreads.stop();
    }
    RelaySetup(const RelaySetup&) = delete;
    auto operator=(const RelaySetup&) -> RelaySetup& = delete;

    EntryProcess entry;
    /// The last engine serves the prefills and the direct callers.
    std::vector<std::unique_ptr<RelayEngine>> engines;
    std::unique_ptr<RelayCallers> callers;

private:
    auto send(const HttpEndpoint& endpoint, HttpRequest request) -> unsigned
    {
        const auto response = boost::asio::co_spawn(m_callerThreads.context(0), m_callerThreads.client(0).request(endpoint, std::move(request), 5s), boost::asio::use_future).get();
        return response.has_value() ? response->status : 0;
    }

    auto configure(const Options& options) -> void
    {
        json::array list;
        for (std::size_t index = 0; index < engines.size(); ++index) {
            const auto* pool = index + 1 < engines.size() ? "decode" : "prefill";
            list.push_back(json::object { { "id", "engine-" + std::to_string(index) }, { "address", toString(engines[index]->endpoint()) }, { "availability_zone", "zone" }, { "pool", pool }, { "state", "live" } });
        }
        const json::object body { { "instances", list } };
        send(m_platform.endpoint(), { "PUT", "/admin/instances", {}, json::serialize(body) });
        HttpRequest apply { "PUT", "/admin/v1/configuration", { { "Authorization", "Bearer operator-key" }, { "If-Match", "0" } }, printConfiguration(benchConfiguration(static_cast<int>(options.engines))) };
        if (send(entry.peerEndpoint, std::move(apply)) != 200)
            throw std::runtime_error("the entry instance did not accept the configuration");
        std::this_thread::sleep_for(2s);
    }
};

auto quantile(std::vector<std::int64_t> values, double share) -> double
{
    if (values.empty())
        return 0;
    const auto position = std::min(values.size() - 1, static_cast<std::size_t>(static_cast<double>(values.size()) * share));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position), values.end());
    return static_cast<double>(values[position]) / 1e6;
}

/// Opens streams at intervals of 1 ms to avoid a burst, and waits up to 5 s until all have received a
/// token.
auto openStreams(RelaySetup& setup, int count, bool isDirect) -> void
{
    const auto wanted = setup.callers->streaming() + count;
    for (auto index = 0; index < count; ++index) {
        setup.callers->start(isDirect);
        std::this_thread::sleep_for(1ms);
    }
    for (auto wait = 0; wait < 500 && setup.callers->streaming() < wanted; ++wait)
        std::this_thread::sleep_for(10ms);
}

auto printLatency(std::string_view name, const std::vector<std::int64_t>& relayed, const std::vector<std::int64_t>& direct) -> void
{
    std::printf("measure=%.*s samples=%zu relayed_p50_ms=%.3f direct_p50_ms=%.3f relayed_p99_ms=%.3f direct_p99_ms=%.3f added_p99_ms=%.3f\n", static_cast<int>(name.size()), name.data(),
        relayed.size(), quantile(relayed, 0.5), quantile(direct, 0.5), quantile(relayed, 0.99), quantile(direct, 0.99), quantile(relayed, 0.99) - quantile(direct, 0.99));
}

/// Compares the latency of relayed and direct streams, which are opened alternately in the same run.
auto measureLatency(RelaySetup& setup, const Options& options, std::string_view name) -> void
{
    setup.callers->setRecording(true);
    for (auto index = 0; index < options.latencyStreams; ++index) {
        openStreams(setup, 1, false);
        openStreams(setup, 1, true);
    }
    std::this_thread::sleep_for(std::chrono::seconds(options.seconds));
    setup.callers->setRecording(false);
    const auto relayed = setup.callers->takeSamples(false);
    const auto direct = setup.callers->takeSamples(true);
    printLatency(std::string(name) + "_first_token", relayed.firstToken, direct.firstToken);
    printLatency(std::string(name) + "_token", relayed.token, direct.token);
}

auto measureThroughput(RelaySetup& setup, const Options& options) -> void
{
    openStreams(setup, static_cast<int>(options.streams), false);
    std::printf("measure=memory streams=%d resident_mb=%.1f\n", setup.callers->streaming(), static_cast<double>(residentBytes(setup.entry.process)) / 1e6);
    auto before = threadTimes(setup.entry.process);
    setup.callers->setRecording(true);
    const auto begun = nanoseconds();
    std::this_thread::sleep_for(std::chrono::seconds(options.seconds));
    setup.callers->setRecording(false);
    const auto wall = static_cast<double>(nanoseconds() - begun) / 1e9;
    const auto after = threadTimes(setup.entry.process);
    // The busiest thread is the only I/O thread of the entry instance.
    ThreadTime busiest;
    for (const auto& [thread, time] : after) {
        const ThreadTime used { time.running - before[thread].running, time.waiting - before[thread].waiting };
        if (used.running > busiest.running)
            busiest = used;
    }
    const auto samples = setup.callers->takeSamples(false);
    const auto cores = static_cast<double>(busiest.running) / 1e9 / wall;
    const auto waiting = static_cast<double>(busiest.waiting) / 1e9 / wall;
    const auto rate = static_cast<double>(samples.tokens) / wall;
    std::printf("measure=throughput streams=%d events_per_second=%.0f io_thread_cores=%.3f waiting_for_core=%.3f events_per_core_second=%.0f token_p50_ms=%.3f token_p99_ms=%.3f\n", setup.callers->streaming(), rate, cores, waiting, rate / cores,
        quantile(samples.token, 0.5), quantile(samples.token, 0.99));
}

auto commandOptions(Options& options) -> std::vector<CommandOption>
{
    return {
        numberOption("streams", "concurrent streams in the throughput phase", options.streams),
        numberOption("latency-streams", "number of relayed and of direct streams in the latency phases", options.latencyStreams),
        numberOption("engines", "decode engines", options.engines),
        numberOption("seconds", "duration of each phase", options.seconds),
        numberOption("token-gap-ms", "time between the tokens of a stream", options.gapMs),
    };
}

/// Raises the descriptor limit to its maximum, because each stream needs two sockets in each process.
auto raiseDescriptorLimit() -> void
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

}

auto main(int argumentCount, char** arguments) -> int
{
    Options options;
    const auto commandLine = commandOptions(options);
    const std::span given(arguments, static_cast<std::size_t>(argumentCount));
    if (const auto code = parseCommandLine(given, "measures the throughput, latency and memory of a relaying entry instance", commandLine))
        return static_cast<int>(*code);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    raiseDescriptorLimit();
    int toEntry[2];
    int fromEntry[2];
    if (pipe(toEntry) != 0 || pipe(fromEntry) != 0)
        return static_cast<int>(ExitCode::Failed);
    // Forks before any thread is started, because only the calling thread exists in the child process.
    const auto process = fork();
    if (process == 0) {
        close(toEntry[1]);
        close(fromEntry[0]);
        runEntry(toEntry[0], fromEntry[1]);
    }
    close(toEntry[0]);
    close(fromEntry[1]);
    configureLogging(LogLevel::Error);
    {
        RelaySetup setup(options, toEntry[1], fromEntry[0], process);
        measureLatency(setup, options, "idle");
        measureThroughput(setup, options);
        measureLatency(setup, options, "loaded");
    }
    close(toEntry[1]);
    waitpid(process, nullptr, 0);
    return static_cast<int>(ExitCode::Success);
}
