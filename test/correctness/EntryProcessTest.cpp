#include "ChildProcess.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>

#include <sys/stat.h>
#include <unistd.h>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

/// A settings file for the platform deployment; its store does not exist.
struct SettingsFile {
    SettingsFile()
        : path((std::filesystem::temp_directory_path() / ("jayhold-entry-" + std::to_string(getpid()))).string())
    {
        const auto address = "127.19." + std::to_string(getpid() / 250 % 250) + "." + std::to_string(getpid() % 250 + 1);
        std::ofstream(path) << "node=edge-1\nzone=alpine\nregion=big-bend\nip=" << address << "\nzones.alpine=big-bend\nlisten.front=" << address << ":0\nlisten.ready=" << address
                            << ":0\nportRange=7660,7675\nbounds.graceS=1\nbounds.applyMs=2000\nbounds.drainMs=2000\nbounds.budgetRatio=0.2\nbounds.budgetExtra=50\nplatform.address=127.0.0.1:9\nplatform.readsPerS=100\n";
    }
    ~SettingsFile() { std::filesystem::remove(path); }
    SettingsFile(const SettingsFile&) = delete;
    auto operator=(const SettingsFile&) -> SettingsFile& = delete;

    const std::string path;
};

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
