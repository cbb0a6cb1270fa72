#include "../AbusiveCallers.h"
#include "../RouterFixture.h"
#include "../scenario/ChildProcess.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>

#include <unistd.h>

using namespace jayhold;
using namespace jayhold::test;
using namespace std::chrono_literals;

namespace {

/// limits.memoryMb and limits.maxFds of an instance.
struct ProcessLimits {
    std::size_t megabytes;
    std::size_t descriptors;
};

/// Lower than those of any machine, so that few clients exceed them.
constexpr ProcessLimits lowLimits { 40, 360 };
/// Those of the smallest instances.
constexpr ProcessLimits smallestInstance { 88, 4'100 };
/// Descriptors that the platform reserves for files.
constexpr std::size_t fileDescriptors = 200;
/// Time for which a crowd runs; longer than the time that a request may take to arrive.
constexpr auto crowdTime = 5s;
constexpr std::size_t crowdSize = 64;
constexpr std::size_t maxHeaderBytes = 16'384;

/// The sanitizers keep memory that has been freed.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool measuresMemory = false;
#else
constexpr bool measuresMemory = true;
#endif

auto repeat(std::string_view text, std::size_t totalBytes) -> std::string
{
    std::string result;
    while (result.size() + text.size() <= totalBytes)
        result += text;
    return result;
}

auto requestHead(std::string_view path, std::string_view fields) -> std::string
{
    return "POST " + std::string(path) + " HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: 20000\r\nRequest-Id: r\r\n" + std::string(fields);
}

/// @return a request without a body whose head has the maximum size.
auto fullHead(std::string_view line) -> std::string
{
    const auto head = requestHead("/silent/", "Content-Length: 0\r\n");
    return head + repeat(line, maxHeaderBytes - head.size() - 2) + "\r\n";
}

auto chunkedHead() -> std::string
{
    return requestHead("/silent/", "Transfer-Encoding: chunked\r\n\r\n");
}

/// @return the beginning of a head whose size is a multiple of four, as that of the server's reads is.
auto alignedHead() -> std::string
{
    auto head = requestHead("/silent/", "Padding: ");
    while ((head.size() + 2) % 4 != 0)
        head += 'x';
    return head + "\r\n";
}

auto crowdOf(std::size_t count, const AbusiveCaller& caller) -> std::vector<AbusiveCaller>
{
    return std::vector<AbusiveCaller>(count, caller);
}

/// A process of the system whose service "silent" has a server that accepts connections and never answers, and whose
/// service "sound" has one that does.
struct RouterProcess {
    explicit RouterProcess(ProcessLimits processLimits = lowLimits)
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
        store.put("config", "main", json::object { { "version", 3 }, { "routes", json::array { route("silent", "/silent/"), route("sound", "/sound/") } }, { "services", json::array { json::object { { "name", "silent" }, { "healthPath", "/health" } }, json::object { { "name", "sound" }, { "healthPath", "/health" } } } }, { "limits", json::object { { "maxHeaderBytes", maxHeaderBytes }, { "maxBodyBytes", 4'194'304 }, { "headerTimeoutMs", 3'000 }, { "idleTimeoutMs", 15'000 } } } });
        // All requests are sent to the server, and none is refused because it would wait too long for a slot.
        auto silentEntry = serverEntry({ "127.0.0.1", silent.local_endpoint().port() }, "silent", {});
        silentEntry["slots"] = 4'000;
        store.put("servers", "silent-1", std::move(silentEntry));
        store.put("servers", sound.id(), serverEntry(sound.endpoint(), "sound", {}));
        std::ofstream(path) << "node=edge-1\nzone=alpine\nregion=big-bend\nip=" << address << "\nzones.alpine=big-bend\nlisten.front=" << address << ":0\nlisten.ready=" << address
                            << ":0\nportRange=7660,7675\nbounds.graceS=1\nbounds.applyMs=2000\nbounds.drainMs=2000\nbounds.budgetRatio=0.2\nbounds.budgetExtra=50\nlimits.memoryMb=" << limits.megabytes
                            << "\nlimits.maxFds=" << limits.descriptors << "\nplatform.address=" << toString(store.endpoint()) << "\nplatform.readsPerS=100\n";
        process.emplace(JAYHOLD_ENTRY, std::vector<std::string> { "--deployment", "platform", "--settings", path }, "");
        const auto listening = process->waitForListening(10s);
        REQUIRE(listening);
        callers = *parseHttpEndpoint(listening->at("address"));
        readiness = *parseHttpEndpoint(listening->at("ready_address"));
        REQUIRE(waitUntil([&] { return statusOf(readiness, { "GET", "/-/ready", {}, {} }) == 200; }));
    }
    ~RouterProcess()
    {
        process.reset();
        threads.stop();
        std::filesystem::remove(path);
    }
    RouterProcess(const RouterProcess&) = delete;
    auto operator=(const RouterProcess&) -> RouterProcess& = delete;

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

    /// Runs a crowd for some time, and checks what the process takes and whether it serves.
    auto check(const std::string& name, const HttpEndpoint& target, std::vector<AbusiveCaller> callerList) -> void
    {
        constexpr auto hopelessFactor = 8;
        const auto memoryBytes = limits.megabytes << 20U;
        const auto sockets = limits.descriptors - fileDescriptors;
        std::size_t connections = 0;
        std::size_t mostDescriptors = 0;
        {
            AbusiveCrowd crowd(target, std::move(callerList));
            const auto end = monotonicNow() + crowdTime;
            // The process must not take the memory of the machine where the bound fails.
            while (monotonicNow() < end && peakBytes() < hopelessFactor * memoryBytes) {
                crowd.step();
                mostDescriptors = std::max(mostDescriptors, descriptors());
            }
            connections = crowd.connections();
        }
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
    IoThreads threads { 1 };
    FakeObjectStore store { threads };
    FakeBackendServer sound { threads, "sound-1" };
    std::optional<ChildProcess> process;
    HttpEndpoint callers;
    HttpEndpoint readiness;
};

const AbusiveCaller shortLines { .opening = fullHead("a:b\r\n") };
const AbusiveCaller emptyLines { .opening = fullHead("a:\r\n") };
const AbusiveCaller unusualLines { .opening = fullHead("!#$%&'*+-.^_`|~9:\t\"\\\"\t\r\n") };
const AbusiveCaller trailers { .opening = chunkedHead() + "5\r\nhello\r\n0\r\n", .repeated = repeat("a:b\r\n", 65'536) };
const AbusiveCaller largeHead { .opening = requestHead("/silent/", {}) + repeat("a: b\r\n", 4 * maxHeaderBytes) + "\r\n" };
const AbusiveCaller endlessHead { .opening = requestHead("/silent/", "Long: "), .repeated = std::string(65'536, 'x') };
/// Each read of the server ends at the end of a line.
const AbusiveCaller endlessLines { .opening = alignedHead(), .repeated = repeat("a:\r\n", 65'536), .writeBytes = 400 };
const AbusiveCaller slowHead { .opening = requestHead("/silent/", "Long: "), .repeated = "x", .writeBytes = 1 };
const AbusiveCaller emptyLinesBefore { .repeated = repeat("\r\n", 65'536) };
const AbusiveCaller chunkExtensions { .opening = chunkedHead() + "5;", .repeated = std::string(65'536, 'x') };
const AbusiveCaller smallChunks { .opening = chunkedHead(), .repeated = repeat("1\r\nx\r\n", 65'536) };
const AbusiveCaller unsentBody { .opening = requestHead("/silent/", "Content-Length: 4194304\r\n\r\n") };
const AbusiveCaller unsentSmallBody { .opening = fullHead("a:\r\n").replace(fullHead("a:\r\n").find("Content-Length: 0"), 17, "Content-Length: 9") };
const AbusiveCaller pipelined { .repeated = repeat(requestHead("/none/", "Content-Length: 0\r\n\r\n"), 65'536), .readsResponses = false };
const AbusiveCaller silentCaller {};

/// @return callers of all sorts in equal numbers.
auto mixtureOf(std::size_t count) -> std::vector<AbusiveCaller>
{
    const AbusiveCaller* const sorts[] = { &shortLines, &emptyLines, &unusualLines, &trailers, &largeHead, &endlessHead, &endlessLines, &slowHead, &emptyLinesBefore, &chunkExtensions, &smallChunks, &unsentBody, &unsentSmallBody, &pipelined, &silentCaller };
    std::vector<AbusiveCaller> mixture;
    for (std::size_t index = 0; index < count; ++index)
        mixture.push_back(*sorts[index % std::size(sorts)]);
    return mixture;
}

}

// Guards against a process that exceeds its memory because the fields of a request take many times their bytes.
TEST_CASE("requests of legal size with many header lines stay within the memory")
{
    RouterProcess router;
    const auto* name = GENERATE("short", "empty-valued", "unusual");
    const auto& caller = *name == 's' ? shortLines : *name == 'e' ? emptyLines
                                                                  : unusualLines;
    router.check(std::string(name) + " header lines", router.callers, crowdOf(crowdSize, caller));
}

// Guards against a part of a request that has no end and is held until it has arrived.
TEST_CASE("parts of requests without an end stay within the memory")
{
    RouterProcess router;
    const std::pair<const char*, const AbusiveCaller*> cases[] = { { "trailers", &trailers }, { "head over the limit", &largeHead }, { "endless head", &endlessHead },
        { "endless header lines", &endlessLines }, { "slow endless head", &slowHead }, { "empty lines before a request", &emptyLinesBefore }, { "chunk extensions", &chunkExtensions }, { "one-byte chunks", &smallChunks } };
    const auto index = GENERATE(range(0, 8));
    const auto& [name, caller] = cases[index];
    router.check(name, router.callers, crowdOf(crowdSize, *caller));
}

// Guards against connections that hold memory and send nothing, and against more connections than there are descriptors.
TEST_CASE("silent connections stay within the memory and the descriptors")
{
    RouterProcess router;
    const auto index = GENERATE(range(0, 3));
    if (index == 0)
        router.check("unsent bodies", router.callers, crowdOf(crowdSize, unsentBody));
    else if (index == 1)
        router.check("many header lines and an unsent body", router.callers, crowdOf(crowdSize, unsentSmallBody));
    else
        router.check("connections that send nothing", router.callers, crowdOf(4 * crowdSize, silentCaller));
}

// Guards against requests or responses that pile up because the caller does not read.
TEST_CASE("pipelined requests whose responses are not read stay within the memory")
{
    RouterProcess router;
    router.check("pipelined requests", router.callers, crowdOf(crowdSize, pipelined));
}

// Guards against bounds that hold for each sort of abuse alone, and not for their sum.
TEST_CASE("a mixture of abusive callers stays within the memory and the descriptors")
{
    RouterProcess router;
    router.check("mixture", router.callers, mixtureOf(2 * crowdSize));
}

// Guards against the same faults at an address that the platform probes.
TEST_CASE("abusive callers of the readiness address stay within the memory and the descriptors")
{
    RouterProcess router;
    router.check("readiness", router.readiness, mixtureOf(3 * crowdSize));
}

// Guards against figures in docs/CAPACITY.md that no run shows. Hidden: run it with "[capacity]".
TEST_CASE("what many abusive callers take in the smallest instance", "[.capacity]")
{
    const auto count = GENERATE(std::size_t { 50 }, std::size_t { 200 }, std::size_t { 1'000 });
    RouterProcess router(smallestInstance);
    router.check(std::to_string(count) + " of all sorts", router.callers, mixtureOf(count));
}

// As the test before it, for the sort that takes most by request.
TEST_CASE("what many requests with many header lines take in the smallest instance", "[.capacity]")
{
    const auto count = GENERATE(std::size_t { 50 }, std::size_t { 200 }, std::size_t { 1'000 });
    RouterProcess router(smallestInstance);
    router.check(std::to_string(count) + " with many header lines", router.callers, crowdOf(count, emptyLines));
}
