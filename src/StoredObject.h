#pragma once

/// A versioned object of the platform, and the result of a conditional update.

#include <boost/json/value.hpp>

#include <cstdint>
#include <variant>

namespace jayhold {

struct StoredObject {
    /// 0 if the object does not exist.
    std::int64_t revision = 0;
    boost::json::value value;
};

struct UpdateApplied {
    std::int64_t revision;
};

/// The object has a different revision than expected. current is the stored object.
struct UpdateConflict {
    StoredObject current;
};

using UpdateOutcome = std::variant<UpdateApplied, UpdateConflict>;

}
