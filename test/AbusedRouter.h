#pragma once

/// A process of the system with low limits on a fake platform, for tests of what abusive clients, servers and peers take.

#include "AbusiveCallers.h"
#include "RouterFixture.h"
#include "scenario/ChildProcess.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>

#include <unistd.h>

namespace jayhold::test {

/// limits.memoryMb and limits.maxFds of an instance.
struct ProcessLimits {
    std::size_t megabytes;
    std::size_t descriptors;
};

/// Lower than those of any machine, so that few clients exceed them.
inline constexpr ProcessLimits lowLimits { 40, 360 };
/// Those of the smallest instances.
inline constexpr ProcessLimits smallestInstance { 88, 4'100 };
/// Descriptors that the platform reserves for files.
inline constexpr std::size_t fileDescriptors = 200;
/// Time for which a crowd runs; longer than the time that a request may take to arrive.
inline constexpr auto crowdTime = 5s;
inline constexpr std::size_t crowdSize = 64;
inline constexpr std::size_t maxHeaderBytes = 16'384;

/// The sanitizers keep memory that has been freed.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
inline constexpr bool measuresMemory = false;
#else
inline constexpr bool measuresMemory = true;
#endif

inline auto repeat(std::string_view text, std::size_t totalBytes) -> std::string
{
    std::string result;
    while (result.size() + text.size() <= totalBytes)
        result += text;
    return result;
}

inline auto requestHead(std::string_view path, std::string_view fields) -> std::string
{
    return "POST " + std::string(path) + " HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: 20000\r\nRequest-Id: r\r\n" + std::string(fields);
}

inline auto crowdOf(std::size_t count, const AbusiveCaller& caller) -> std::vector<AbusiveCaller>
{
    return std::vector<AbusiveCaller>(count, caller);
}

/// A store with a thread of its own, so that it can end before the test.
struct OwnStore {
    OwnStore() = default;
    ~OwnStore() { threads.stop(); }
    OwnStore(const OwnStore&) = delete;
    auto operator=(const OwnStore&) -> OwnStore& = delete;

    IoThreads threads { 1 };
    FakeObjectStore fake { threads };
};

/// A process of the system whose service "silent" has a server that accepts connections and never answers, and whose
/// service "sound" has one that does. Its store can be replaced.
struct AbusedRouter {
    /// @param silentServer address of another server of the service "silent"; nothing for one that never answers.
    explicit AbusedRouter(ProcessLimits processLimits = lowLimits, const std::optional<HttpEndpoint>& silentServer = std::nullopt)
        : limits(processLimits)
        , address("127.21." + std::to_string(getpid() / 250 % 250) + "." + std::to_string(getpid() % 250 + 1))
        , path((std::filesystem::temp_directory_path() / ("jayhold-abuse-" + std::to_string(getpid()))).string())
        , silent(silentContext, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    {
        const auto route = [](const char* name, const char* prefix) {
            auto object = routeOf(name, prefix, name, "idempotent", 1, false);
            object["timeoutMs"] = 20'000;
            object["targetLatencyMs"] = 20'000;
            return object;
        };
        store->fake.put("config", "main", json::object { { "version", 3 }, { "routes", json::array { route("silent", "/silent/"), route("sound", "/sound/") } }, { "services", json::array { json::object { { "name", "silent" }, { "healthPath", "/health" } }, json::object { { "name", "sound" }, { "healthPath", "/health" } } } }, { "limits", json::object { { "maxHeaderBytes", maxHeaderBytes }, { "maxBodyBytes", 4'194'304 }, { "headerTimeoutMs", 3'000 }, { "idleTimeoutMs", 15'000 } } } });
        // All requests are sent to the server, and none is refused because it would wait too long for a slot.
        auto silentEntry = serverEntry(silentServer.value_or(HttpEndpoint { "127.0.0.1", silent.local_endpoint().port() }), "silent", {});
        silentEntry["slots"] = 4'000;
        store->fake.put("servers", "silent-1", std::move(silentEntry));
        store->fake.put("servers", sound.id(), serverEntry(sound.endpoint(), "sound", {}));
        std::ofstream(path) << "node=edge-1\nzone=alpine\nregion=big-bend\nip=" << address << "\nzones.alpine=big-bend\nlisten.front=" << address << ":0\nlisten.ready=" << address
                            << ":0\nportRange=7660,7675\nbounds.graceS=1\nbounds.applyMs=2000\nbounds.drainMs=2000\nbounds.budgetRatio=0.2\nbounds.budgetExtra=50\nlimits.memoryMb=" << limits.megabytes
                            << "\nlimits.maxFds=" << limits.descriptors << "\nplatform.address=" << toString(store->fake.endpoint()) << "\nplatform.readsPerS=10000\n";
        process.emplace(JAYHOLD_ENTRY, std::vector<std::string> { "--deployment", "platform", "--settings", path }, "");
        const auto listening = process->waitForListening(10s);
        REQUIRE(listening);
        callers = *parseHttpEndpoint(listening->at("address"));
        readiness = *parseHttpEndpoint(listening->at("ready_address"));
        REQUIRE(waitUntil([&] { return statusOf(readiness, { "GET", "/-/ready", {}, {} }) == 200; }));
    }
    ~AbusedRouter()
    {
        process.reset();
        threads.stop();
        std::filesystem::remove(path);
    }
    AbusedRouter(const AbusedRouter&) = delete;
    auto operator=(const AbusedRouter&) -> AbusedRouter& = delete;

    /// @return the status of the response; 0 if there is none.
    auto statusOf(const HttpEndpoint& endpoint, HttpRequest request) -> unsigned
    {
        const auto response = runOn(threads, 0, threads.client(0).request(endpoint, std::move(request), 20s));
        return response.has_value() ? response->status : 0;
    }

    auto ordinaryStatus() -> unsigned
    {
        return statusOf(callers, { "POST", "/sound/", { { "Host", "a.example" }, { "Request-Id", "ordinary" }, { "Deadline-Ms", "10000" } }, "small" });
    }

    template <typename Condition>
    static auto waitUntil(Condition condition) -> bool
    {
        const auto end = monotonicNow() + 10s;
        while (!condition() && monotonicNow() < end)
            std::this_thread::sleep_for(10ms);
        return condition();
    }

    /// @return the largest resident memory of the process so far in bytes, with what the allocator holds; 0 if the process
    /// has ended.
    auto peakBytes() const -> std::size_t
    {
        std::ifstream status("/proc/" + std::to_string(process->id()) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:"))
                return std::stoul(line.substr(line.find_first_of("0123456789"))) << 10U;
        }
        return 0;
    }

    auto descriptors() const -> std::size_t
    {
        std::error_code code;
        const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process->id()) + "/fd", code);
        return code ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
    }

    /// Ends the store.
    /// @return its port, which is free then.
    auto endStore() -> std::uint16_t
    {
        const auto port = store->fake.endpoint().port;
        store.reset();
        return port;
    }

    /// Runs a crowd for some time, and checks what the process takes and whether it serves.
    auto check(const std::string& name, const HttpEndpoint& target, std::vector<AbusiveCaller> callerList) -> void
    {
        std::optional<AbusiveCrowd> crowd(std::in_place, target, std::move(callerList));
        const auto mostDescriptors = run([&] { crowd->step(); });
        const auto connections = crowd->connections();
        crowd.reset();
        checkProcess(name, mostDescriptors, connections);
    }

    /// Abuses the process for some time.
    /// @return the largest number of its descriptors.
    auto run(const std::function<void()>& step) -> std::size_t
    {
        constexpr std::size_t hopelessFactor = 8;
        std::size_t mostDescriptors = 0;
        const auto end = monotonicNow() + crowdTime;
        // The process must not take the memory of the machine where the bound fails.
        while (monotonicNow() < end && peakBytes() < hopelessFactor * (limits.megabytes << 20U)) {
            step();
            mostDescriptors = std::max(mostDescriptors, descriptors());
        }
        return mostDescriptors;
    }

    /// Checks what the process has taken and whether it serves.
    auto checkProcess(const std::string& name, std::size_t mostDescriptors, std::size_t connections) -> void
    {
        const auto memoryBytes = limits.megabytes << 20U;
        const auto sockets = limits.descriptors - fileDescriptors;
        const auto isAlive = !process->waitForExit(0s);
        const auto peak = peakBytes();
        const auto status = isAlive ? ordinaryStatus() : 0;
        std::cout << "case=\"" << name << "\" alive=" << isAlive << " peak_kb=" << (peak >> 10U) << " limit_kb=" << (memoryBytes >> 10U) << " descriptors=" << mostDescriptors
                  << " limit=" << sockets << " connections=" << connections << " status=" << status << '\n';
        CHECK(isAlive);
        CHECK((!measuresMemory || peak <= memoryBytes));
        CHECK(mostDescriptors <= sockets);
        CHECK(status == 200);
        CHECK(statusOf(readiness, { "GET", "/-/ready", {}, {} }) == 200);
    }

    const ProcessLimits limits;
    const std::string address;
    const std::string path;
    boost::asio::io_context silentContext;
    boost::asio::ip::tcp::acceptor silent;
    std::optional<OwnStore> store { std::in_place };
    IoThreads threads { 1 };
    FakeBackendServer sound { threads, "sound-1" };
    std::optional<ChildProcess> process;
    HttpEndpoint callers;
    HttpEndpoint readiness;
};

}
