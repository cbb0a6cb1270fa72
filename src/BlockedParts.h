#pragma once

/// The list of blocked prompt parts of a model service that all instances share, and its JSON form.

#include "BlockedPartChange.h"
#include "ListedPart.h"

#include <boost/json/value.hpp>

#include <optional>
#include <span>
#include <vector>

namespace jayhold {

/// @return the value of the object in the store.
auto blockedPartsToJson(std::span<const ListedPart> parts) -> boost::json::value;

/// @return the valid entries of the value. Others are left out.
auto blockedPartsFromJson(const boost::json::value& value) -> std::vector<ListedPart>;

/// @param trials number of trials on which a BeginTrial change is based.
/// @return the changed list, or nothing if the change has no effect on it.
auto changeBlockedParts(std::vector<ListedPart> parts, std::uint64_t part, BlockedPartChange change, std::uint32_t trials) -> std::optional<std::vector<ListedPart>>;

}
