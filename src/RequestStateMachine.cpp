#include "RequestStateMachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>

namespace jayhold {

namespace msm = boost::msm;
namespace mpl = boost::mpl;

namespace {

struct PrefillStarted { };
struct PrefillDone { };
struct PrefillFailed { };
struct DecodeStarted { };
struct TokenSent { };
struct DecodeFailed { };
struct Finished { };
/// The request was refused or cancelled.
struct Aborted { };

struct Queued : msm::front::state<> { };
struct Prefilling : msm::front::state<> { };
struct Prefilled : msm::front::state<> { };
struct Transferring : msm::front::state<> { };
struct Streaming : msm::front::state<> { };
/// A decode failed; the response resumes with another attempt.
struct Interrupted : msm::front::state<> { };
struct Ended : msm::front::state<> { };

/// Names of the states, in the order of the transition table, by which MSM numbers the states.
constexpr std::array<std::string_view, 7> stateNames { "queued", "prefilling", "prefilled", "transferring", "streaming", "interrupted", "ended" };

// NOLINTBEGIN(readability-identifier-naming): MSM looks these members up by name.
struct Definition : msm::front::state_machine_def<Definition> {
    using initial_state = Queued;
    // Rejected events are reported by the result of process_event().
    using no_exception_thrown = int;

    template <typename Source, typename Event, typename Target>
    using Row = msm::front::Row<Source, Event, Target>;

    struct transition_table
        : mpl::vector<
              Row<Queued, PrefillStarted, Prefilling>,
              // A decode engine that runs the prefill itself needs no separate prefill.
              Row<Queued, DecodeStarted, Transferring>,
              Row<Queued, Aborted, Ended>,
              Row<Prefilling, PrefillDone, Prefilled>,
              Row<Prefilling, PrefillFailed, Queued>,
              Row<Prefilling, Aborted, Ended>,
              Row<Prefilled, DecodeStarted, Transferring>,
              // The prefill result expired or its engine was lost before the decode started.
              Row<Prefilled, PrefillStarted, Prefilling>,
              Row<Prefilled, Aborted, Ended>,
              Row<Transferring, TokenSent, Streaming>,
              Row<Transferring, DecodeFailed, Interrupted>,
              // A response may have no tokens.
              Row<Transferring, Finished, Ended>,
              Row<Transferring, Aborted, Ended>,
              Row<Streaming, TokenSent, Streaming>,
              Row<Streaming, DecodeFailed, Interrupted>,
              Row<Streaming, Finished, Ended>,
              Row<Streaming, Aborted, Ended>,
              Row<Interrupted, PrefillStarted, Prefilling>,
              Row<Interrupted, DecodeStarted, Transferring>,
              Row<Interrupted, Aborted, Ended>> {
    };

    template <typename Machine, typename Event>
    auto no_transition(const Event&, Machine&, int) -> void
    {
    }
};
// NOLINTEND(readability-identifier-naming)

}

struct RequestStateMachine::Machine {
    msm::back::state_machine<Definition> machine;

    template <typename Event>
    auto process(const Event& event) -> bool
    {
        return machine.process_event(event) == msm::back::HANDLED_TRUE;
    }
};

RequestStateMachine::RequestStateMachine()
    : m_machine(std::make_unique<Machine>())
{
    m_machine->machine.start();
}

RequestStateMachine::~RequestStateMachine() = default;

auto RequestStateMachine::apply(RequestTransition step) -> bool
{
    switch (step) {
    case RequestTransition::PrefillStarted:
        return m_machine->process(PrefillStarted {});
    case RequestTransition::PrefillDone:
        return m_machine->process(PrefillDone {});
    case RequestTransition::PrefillFailed:
        return m_machine->process(PrefillFailed {});
    case RequestTransition::DecodeStarted:
        return m_machine->process(DecodeStarted {});
    case RequestTransition::TokenSent:
        return m_machine->process(TokenSent {});
    case RequestTransition::DecodeFailed:
        return m_machine->process(DecodeFailed {});
    case RequestTransition::Finished:
        return m_machine->process(Finished {});
    case RequestTransition::Refused:
    case RequestTransition::Cancelled:
        return m_machine->process(Aborted {});
    }
    return false;
}

auto RequestStateMachine::hasEnded() const -> bool
{
    return stateName() == stateNames.back();
}

auto RequestStateMachine::stateName() const -> std::string_view
{
    return stateNames.at(static_cast<std::size_t>(m_machine->machine.current_state()[0]));
}

}
