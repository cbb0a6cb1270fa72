#pragma once

/// Backend servers that ask for pauses, for property tests: each checks the rule that pauses have to keep.

#include "BackendPauses.h"
#include "Time.h"

#include <rapidcheck.h>

#include <array>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace jayhold::test {

using namespace std::chrono_literals;

/// One random step: `what` chooses the event, and the other two numbers its details.
struct PauseStep {
    std::uint8_t what;
    std::uint8_t first;
    std::uint8_t second;
};

inline auto operator<<(std::ostream& stream, const PauseStep& step) -> std::ostream&
{
    return stream << int { step.what } << '/' << int { step.first } << '/' << int { step.second };
}

inline auto pauseSteps() -> rc::Gen<std::vector<PauseStep>>
{
    const auto byte = [] { return rc::gen::inRange<int>(0, 256); };
    const auto step = rc::gen::map(rc::gen::tuple(byte(), byte(), byte()), [](const auto& numbers) {
        const auto [what, first, second] = numbers;
        return PauseStep { static_cast<std::uint8_t>(what), static_cast<std::uint8_t>(first), static_cast<std::uint8_t>(second) };
    });
    return rc::gen::resize(150, rc::gen::container<std::vector<PauseStep>>(step));
}

/// Times by which the clock advances between two steps.
inline auto timeStep(const PauseStep& step) -> Duration
{
    constexpr std::array<Duration, 8> steps { 0ms, 1ms, 3ms, 20ms, 100ms, 700ms, 4s, 2h };
    // The longest time comes rarely, because it is longer than all other times in the model.
    return step.second >= 250 ? steps.back() : steps.at(step.second % (steps.size() - 1));
}

/// Times that servers ask for.
inline auto askedTime(std::uint8_t choice) -> Duration
{
    constexpr std::array<Duration, 7> times { 0s, 300ms, 1s, 3s, 20s, 3600s, 86'400s };
    return times.at(choice % times.size());
}

/// A response travels at most for this long.
inline constexpr Duration maxTravelTime = 300ms;

/// One process of a backend server, which counts the requests within the times that it has asked for.
class PausingServer {
public:
    auto receive(TimePoint now) -> void
    {
        for (auto& window : m_windows) {
            if (now >= window.from && now < window.to)
                RC_ASSERT(++window.received <= mostRequests);
        }
    }

    /// Rejects a request with status 503 and names a time.
    auto askForPause(TimePoint now, Duration time) -> void
    {
        m_windows.push_back({ now + reactionTime, now + time, time, 0 });
    }

    /// Serves a request, which shows that a time longer than the longest pause was a faulty value.
    auto serve() -> void
    {
        std::erase_if(m_windows, [](const Window& window) { return window.asked > maxPause; });
    }

    /// The instance has restarted, which excuses its requests.
    auto excuse() -> void { m_windows.clear(); }

private:
    static constexpr int mostRequests = 2;
    static constexpr Duration reactionTime = 500ms;

    struct Window {
        TimePoint from;
        TimePoint to;
        Duration asked;
        int received;
    };

    std::vector<Window> m_windows;
};

inline constexpr std::size_t serverCount = 3;

/// The servers with the pauses that the instance knows, for both kinds of services.
class PauseModel {
public:
    virtual ~PauseModel() = default;
    PauseModel() = default;
    PauseModel(const PauseModel&) = delete;
    auto operator=(const PauseModel&) -> PauseModel& = delete;

    auto play(const PauseStep& step) -> void
    {
        advance(timeStep(step));
        switch (step.what % 16) {
        case 0:
            restartServer(step.first % m_servers.size());
            break;
        case 1:
            m_isListed.at(step.first % m_isListed.size()) = step.first % 2 == 0;
            updateList();
            break;
        case 2:
            if (step.first < 64)
                restartInstance();
            break;
        case 3:
        case 4:
        case 5:
        case 6:
        case 7:
            arrive();
            break;
        default:
            answer(step);
            break;
        }
    }

protected:
    struct Server {
        std::shared_ptr<PausingServer> process = std::make_shared<PausingServer>();
        int incarnation = 1;
    };

    static auto idOf(std::size_t server) -> std::string { return std::string(1, static_cast<char>('a' + server)); }
    static auto indexOf(const std::string& id) -> std::size_t { return static_cast<std::size_t>(id.front() - 'a'); }
    auto incarnationOf(std::size_t server) const -> std::string { return std::to_string(m_servers.at(server).incarnation); }
    auto isListed(std::size_t server) const -> bool { return m_isListed.at(server); }

    auto advance(Duration time) -> void
    {
        if (time > maxTravelTime)
            deliverResponses();
        m_now += time;
        tick();
    }

    virtual auto tick() -> void { }
    virtual auto arrive() -> void = 0;
    virtual auto answer(const PauseStep& step) -> void = 0;
    /// Delivers the responses that are on their way.
    virtual auto deliverResponses() -> void = 0;
    /// Tells the code under test the list of servers and all known pauses.
    virtual auto updateList() -> void = 0;
    /// The code under test starts again without memory, and what it had in flight is gone.
    virtual auto resetInstance() -> void = 0;

    auto restartServer(std::size_t server) -> void
    {
        m_servers.at(server) = { std::make_shared<PausingServer>(), m_servers.at(server).incarnation + 1 };
        updateList();
    }

    auto restartInstance() -> void
    {
        for (auto& server : m_servers)
            server.process->excuse();
        m_pauses = {};
        resetInstance();
        updateList();
    }

    TimePoint m_now { 1'000s };
    std::array<Server, serverCount> m_servers;
    std::array<bool, serverCount> m_isListed { true, true, true };
    BackendPauses m_pauses;
};

}
