#pragma once

/// Resident memory and per-thread CPU time of a process, as reported by the kernel.

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

/// Time in nanoseconds that a thread has run, and that it has been runnable but waiting for a core.
struct ThreadTime {
    std::uint64_t running = 0;
    std::uint64_t waiting = 0;
};

/// @return the times by thread ID.
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
