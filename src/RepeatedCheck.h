#pragma once

/// Calls a function after a delay and then at an interval, as long as the object exists and the function asks
/// for it.

#include "Time.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace jayhold {

class RepeatedCheck {
public:
    /// @param check runs on the executor; it returns false to end the checks.
    RepeatedCheck(const boost::asio::any_io_executor& executor, Duration delay, Duration interval, std::function<bool()> check);
    ~RepeatedCheck();
    RepeatedCheck(const RepeatedCheck&) = delete;
    auto operator=(const RepeatedCheck&) -> RepeatedCheck& = delete;

private:
    struct State;

    static auto arm(const std::shared_ptr<State>& state, Duration delay) -> void;

    const std::shared_ptr<State> m_state;
};

}
