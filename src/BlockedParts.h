#pragma once

/// The list of blocked prompt parts of a model service that all instances share, and its JSON form.

#include "ListedPart.h"
#include "UpdateBlockedPart.h"

#include <boost/json/value.hpp>

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace jayhold {

struct StoredBlockedParts {
    std::vector<ListedPart> parts;
    /// Number of skipped entries, which can't be read.
    std::size_t unreadable = 0;
};

/// @return the value of the object in the store.
auto blockedPartsToJson(std::span<const ListedPart> parts) -> boost::json::value;

/// @param value null if there is no list.
auto blockedPartsFromJson(const boost::json::value& value) -> StoredBlockedParts;

/// @return the changed list, or nothing if the change has no effect on it.
auto changeBlockedParts(std::vector<ListedPart> parts, const UpdateBlockedPart& change) -> std::optional<std::vector<ListedPart>>;

/// @return the list with the parts that it lacks, and the higher number of trials of each part. A doubt of either list is kept.
auto mergeBlockedParts(std::vector<ListedPart> parts, std::span<const ListedPart> others) -> std::vector<ListedPart>;

}
