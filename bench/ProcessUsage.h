#pragma once

/// What the kernel reports about a process: memory, and the CPU time of its busiest thread.

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <map>
#include <string>

#include <sys/types.h>

namespace jayhold::bench {

/// @return resident memory in bytes.
inline auto residentBytes(pid_t process) -> std::uint64_t
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string key;
    std::uint64_t kilobytes = 0;
    while (status >> key) {
        if (key == "VmRSS:" && status >> kilobytes)
            return kilobytes << 10U;
    }
    return 0;
}

/// How long a thread ran, and how long it was ready and waited for a core, in nanoseconds.
struct ThreadTime {
    std::uint64_t running = 0;
    std::uint64_t waiting = 0;
};

/// @return times by thread.
inline auto threadTimes(pid_t process) -> std::map<std::string, ThreadTime>
{
    std::map<std::string, ThreadTime> times;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/task")) {
        std::ifstream statistics(entry.path() / "schedstat");
        auto& time = times[entry.path().filename().string()];
        statistics >> time.running >> time.waiting;
    }
    return times;
}

}
