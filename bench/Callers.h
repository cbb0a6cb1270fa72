#pragma once

/// Simulates the callers of a run. Records when each request receives its tokens and its final response,
/// and sends refused requests again after the retry delay.

#include "CallerRequest.h"
#include "EventQueue.h"
#include "Faults.h"
#include "Metrics.h"
#include "Refuse.h"
#include "Workload.h"

#include <functional>
#include <span>
#include <vector>

namespace jayhold::bench {

class Callers {
public:
    /// @param send sends the request with the given index, for the first time or as a repeat.
    Callers(EventQueue& events, const Workload& workload, const Faults& faults, std::span<const CallerRequest> requests, Metrics& metrics, std::function<void(std::size_t)> send);

    auto start() -> void;
    auto token(std::size_t caller, std::uint32_t index) -> void;
    auto refused(std::size_t caller, const Refuse& refusal) -> void;
    /// The caller has cancelled its request and expects no response.
    auto handleCancelled(std::size_t caller) -> void;

    /// Number of requests without a final response, including those that have not arrived yet.
    auto pendingCount() const -> std::size_t { return m_pendingCount; }
    /// Computes the goodput and counts callers without a final response as unanswered.
    auto finish() -> void;

private:
    struct State {
        TimePoint firstToken {};
        TimePoint lastToken {};
        std::uint32_t tokens = 0;
        std::uint32_t repeats = 0;
        bool closed = false;
    };

    auto arriveNext(std::size_t caller) -> void;
    auto close(State& state) -> void;
    auto recordGoodput(const CallerRequest& request, const State& state) -> void;

    EventQueue& m_events;
    const Workload& m_workload;
    const Faults& m_faults;
    std::span<const CallerRequest> m_requests;
    Metrics& m_metrics;
    std::function<void(std::size_t)> m_send;
    std::vector<State> m_states;
    std::size_t m_pendingCount = 0;
};

}
