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
    /// The store's history at the time of the response, also if the object does not exist; 0 if the store names
    /// none.
    std::int64_t history = 0;
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
