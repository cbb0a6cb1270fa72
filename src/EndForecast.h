#pragma once

/// When running decodes are expected to end and free their seats.

#include "Identifiers.h"
#include "Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace jayhold {

class EndForecast {
public:
    /// Moves the expected end of a request; TimePoint::max() stands for none.
    auto move(RequestId request, TimePoint& current, TimePoint next) -> void;
    /// @return how many are expected to end between the two times.
    auto count(TimePoint from, TimePoint until) const -> std::uint32_t;
    /// @return the request that is expected to end first after the given time.
    auto firstAfter(TimePoint time) const -> std::optional<RequestId>;

private:
    std::set<std::pair<TimePoint, RequestId>> m_ends;
    /// Ends in steps of 20 ms, so that counting does not depend on the number of streams.
    std::map<std::int64_t, std::uint32_t> m_counts;
};

}
