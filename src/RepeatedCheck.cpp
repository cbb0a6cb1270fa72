#include "RepeatedCheck.h"

#include <boost/asio/steady_timer.hpp>

namespace jayhold {

struct RepeatedCheck::State {
    State(const boost::asio::any_io_executor& executor, Duration checkInterval, std::function<bool()> checkFunction)
        : timer(executor)
        , interval(checkInterval)
        , check(std::move(checkFunction))
    {
    }

    boost::asio::steady_timer timer;
    const Duration interval;
    const std::function<bool()> check;
    bool isEnded = false;
};

RepeatedCheck::RepeatedCheck(const boost::asio::any_io_executor& executor, Duration delay, Duration interval, std::function<bool()> check)
    : m_state(std::make_shared<State>(executor, interval, std::move(check)))
{
    arm(m_state, delay);
}

RepeatedCheck::~RepeatedCheck()
{
    m_state->isEnded = true;
    m_state->timer.cancel();
}

auto RepeatedCheck::arm(const std::shared_ptr<State>& state, Duration delay) -> void
{
    state->timer.expires_after(delay);
    state->timer.async_wait([state](const boost::system::error_code& code) {
        if (!code && !state->isEnded && state->check())
            arm(state, state->interval);
    });
}

}
