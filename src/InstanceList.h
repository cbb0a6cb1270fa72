#pragma once

/// The platform's instance list: entry instances with their peer addresses, and backend servers.

#include "BackendServer.h"
#include "Member.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace jayhold {

/// Name of the pool that entry instances have in the list.
inline constexpr std::string_view entryPool = "entry";

struct InstanceList {
    std::int64_t version = 0;
    /// Entry instances that are not leaving. The list does not contain their incarnations.
    std::vector<Member> entries;
    std::vector<BackendServer> backends;
};

/// Parses the platform's JSON document. Invalid items are skipped, so that one of them doesn't hide
/// all others.
/// @return the list, or nothing if the document is not an instance list.
auto instanceListFromJson(const boost::json::value& value) -> std::optional<InstanceList>;

auto toJson(const InstanceList& list) -> boost::json::value;

}
