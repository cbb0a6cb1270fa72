#pragma once

/// Entry instances as processes, started with the command of deploy/system.toml, and the record of a case.

#include "Http.h"

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/// @return whether the case runs with its disruption. TROUBLE=0 leaves it out.
auto isTroubled() -> bool;

/// @return seconds since the start of the case.
auto elapsed() -> double;

auto sleepMs(int milliseconds) -> void;

/// Appends to record.txt of the case, one line for each event.
class Record {
public:
    /// @param path the record that run.sh has begun.
    explicit Record(const std::string& path);
    ~Record();
    Record(const Record&) = delete;
    auto operator=(const Record&) -> Record& = delete;
    auto line(const std::string& event) -> void;

private:
    std::mutex m_lock;
    std::FILE* m_file;
};

/// @return an address of 127.0.0.0/8 that no other run of a case uses. Each call with another number gives another one.
auto loopbackIp(int number) -> std::string;

struct InstanceSettings {
    std::string name;
    std::string zone;
    std::string ip;
    Address store;
    int memoryMb = 110;
    /// Further lines of the settings file, which replace earlier ones.
    std::map<std::string, std::string> fields {};
};

/// One entry instance: a process that is started again after it has ended, as on the platform.
class Instance {
public:
    Instance(InstanceSettings settings, const std::string& folder, Record& record);
    ~Instance();
    Instance(const Instance&) = delete;
    auto operator=(const Instance&) -> Instance& = delete;

    auto start() -> void;
    auto signal(int number) -> void;
    /// @return whether the process has ended; its exit is then recorded.
    auto hasEnded() -> bool;
    /// @return whether the instance says that it is ready.
    auto isReady() const -> bool;
    auto waitUntilReady(int timeoutMs) const -> bool;
    /// @return the anonymous memory of the process in use, without its files and the buffers of its sockets.
    auto anonymousBytes() const -> std::size_t;
    auto front() const -> Address { return { m_settings.ip, 8'144 }; }
    auto name() const -> const std::string& { return m_settings.name; }
    auto settings() const -> const InstanceSettings& { return m_settings; }

private:
    InstanceSettings m_settings;
    std::string m_folder;
    Record& m_record;
    pid_t m_process = -1;
};

struct MemoryWatch {
    std::atomic<int> kills { 0 };
    std::atomic<std::size_t> mostBytes { 0 };
};

/// Acts as the platform until the end: kills the process if it exceeds its memory, and starts it again 0.5 s after it
/// has ended.
auto keepRunning(Instance& instance, MemoryWatch& watch, Record& record, const std::atomic<bool>& isEnding) -> void;

}
