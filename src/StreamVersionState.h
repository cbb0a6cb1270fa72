#pragma once

/// Which software version the streams of a model service belong to that have no record of their own. All instances
/// share the state of a service through an object of the store, and it changes such that no stream is ever attributed
/// to a version that did not begin it. See docs/platform.md, "Streams of several software versions".

#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace jayhold {

struct StreamVersionState {
    /// Rises with each change; 0 if the service has no object.
    std::uint64_t epoch = 0;
    /// Version of all streams without a record; absent if theirs is unknown.
    std::optional<std::string> defaultVersion;
    /// Whether new streams of the default version are recorded too, so that it can be given up.
    bool isClosing = false;
    /// History of the store in which the state was written, see StoreRevision.h. Records that were written in an
    /// earlier one may be lost.
    std::int64_t history = 0;

    auto operator==(const StreamVersionState&) const -> bool = default;
};

/// @return whether a state replaces another one. One that was written after a restore of the store was decided with
/// the knowledge of the restore, whatever its epoch.
auto isNewer(const StreamVersionState& state, const StreamVersionState& other) -> bool;

/// @return the value of the object in the store.
auto streamVersionStateToJson(const StreamVersionState& state) -> boost::json::value;

/// @return the state, or nothing if the value is not one.
auto streamVersionStateFromJson(const boost::json::value& value) -> std::optional<StreamVersionState>;

}
