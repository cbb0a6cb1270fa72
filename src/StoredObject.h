#pragma once

/// A versioned object of the platform, and how a conditional update of one ended.

#include <boost/json/value.hpp>

#include <cstdint>
#include <variant>

namespace jayhold {

struct StoredObject {
    /// 0 for an object that does not exist.
    std::int64_t revision = 0;
    boost::json::value value;
};

struct UpdateApplied {
    std::int64_t revision;
};

/// The object has another revision than expected; this is it.
struct UpdateConflict {
    StoredObject current;
};

using UpdateOutcome = std::variant<UpdateApplied, UpdateConflict>;

}
