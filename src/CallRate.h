#pragma once

/// The share of a backend server's limit that an instance may use.

namespace jayhold {

struct CallRate {
    double perSecond = 0;
    /// Calls that may be saved up.
    double capacity = 0;
    /// Calls that may be sent as soon as the limit is known.
    double initial = 0;

    auto operator==(const CallRate&) const -> bool = default;
};

}
