#pragma once

/// The platform's list of instances: entry instances with their peer addresses, and backend
/// servers.

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
    /// Entry instances that are not leaving; incarnations are not known here.
    std::vector<Member> entries;
    std::vector<BackendServer> backends;
};

/// Reads the JSON form of the platform. Instances that are not understood are left out, so that
/// one broken item doesn't hide all others.
/// @return the list, or nothing where the document has another form.
auto instanceListFromJson(const boost::json::value& value) -> std::optional<InstanceList>;

auto toJson(const InstanceList& list) -> boost::json::value;

}
