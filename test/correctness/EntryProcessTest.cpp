#include "../RawConnection.h"

#include "ChildProcess.h"

#include <catch2/catch.hpp>

#include <boost/asio/write.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <vector>

#include <sys/stat.h>
#include <unistd.h>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

/// A settings file for the platform deployment, whose store by default does not exist.
struct SettingsFile {
    explicit SettingsFile(const std::string& store = "127.0.0.1:9")
        : path((std::filesystem::temp_directory_path() / ("jayhold-entry-" + std::to_string(getpid()))).string())
    {
        const auto address = "127.19." + std::to_string(getpid() / 250 % 250) + "." + std::to_string(getpid() % 250 + 1);
        std::ofstream(path) << "node=edge-1\nzone=alpine\nregion=big-bend\nip=" << address << "\nzones.alpine=big-bend\nlisten.front=" << address << ":0\nlisten.ready=" << address
                            << ":0\nportRange=7660,7675\nbounds.graceS=1\nbounds.applyMs=2000\nbounds.drainMs=2000\nbounds.budgetRatio=0.2\nbounds.budgetExtra=50\nplatform.address=" << store << "\nplatform.readsPerS=100\n";
    }
    ~SettingsFile() { std::filesystem::remove(path); }
    SettingsFile(const SettingsFile&) = delete;
    auto operator=(const SettingsFile&) -> SettingsFile& = delete;

    const std::string path;
};

}

// Guards against a process that has drained and does not exit, because something that is still open keeps it: kept
// connections, and a store that accepts connections and never answers. Guards against a process that the platform kills
// while it still waits to be deregistered.
TEST_CASE("a process drains within its grace period and exits as soon as it has drained")
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor silentStore(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const SettingsFile settings("127.0.0.1:" + std::to_string(silentStore.local_endpoint().port()));
    ChildProcess process(JAYHOLD_ENTRY, { "--deployment", "platform", "--settings", settings.path }, "");
    const auto listening = process.waitForListening(5s);
    REQUIRE(listening);
    std::vector<boost::asio::ip::tcp::socket> connections;
    for (const auto* address : { "address", "ready_address", "ready_address" })
        connections.push_back(test::connectTo(context, *parseHttpEndpoint(listening->at(address))));
    boost::asio::write(connections.back(), boost::asio::buffer(std::string("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")));
    const auto startedAt = monotonicNow();
    process.signal(SIGTERM);
    CHECK(process.waitForExit(5s) == 0);
    // The platform kills the process after the grace period, which is shorter here than the deregistration delay.
    CHECK(monotonicNow() - startedAt < 1s);
    const auto output = process.output();
    const auto find = [&](const std::string& event) { return std::ranges::find_if(output, [&](const std::string& line) { return line.find("event=" + event + " ") != std::string::npos; }); };
    const auto drained = find("drained");
    const auto stopped = find("stopped");
    REQUIRE(drained < stopped);
    REQUIRE(stopped != output.end());
    // Less than a second: at most three digits.
    CHECK_THAT(*stopped, Catch::Matches(".* since_drained_ms=[0-9]{1,3} threads_ms=[0-9]{1,3}.*"));
}

// Guards against a SIGHUP that ends the process because it arrives during startup, before its
// handler is installed (found by the soak with seed 127).
TEST_CASE("a SIGHUP during startup does not end the process")
{
    const SettingsFile settings;
    const auto pipe = settings.path + ".pipe";
    REQUIRE(mkfifo(pipe.c_str(), 0600) == 0);
    ChildProcess process(JAYHOLD_ENTRY, { "--deployment", "platform", "--settings", pipe }, "");
    {
        // The constructor returns when the process opens the pipe to read its settings.
        std::ofstream writer(pipe);
        process.signal(SIGHUP);
        CHECK_FALSE(process.waitForExit(50ms));
        writer << std::ifstream(settings.path).rdbuf();
    }
    CHECK(process.waitForListening(5s));
    std::filesystem::remove(pipe);
}
