#pragma once

/// The versions of streams that the store contains: the states of the services and the records of all instances, as one
/// list of the store shows them.

#include "ObjectStore.h"
#include "StreamRecord.h"
#include "StreamVersionState.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace jayhold {

struct StreamVersionList {
    /// By name of the service.
    std::map<std::string, StreamVersionState> states;
    /// By id of the caller's request.
    std::map<std::string, StreamRecord> records;
    /// Requests with records of different versions, or with one of an earlier history of the store that may have been
    /// corrected since. They are not used.
    std::set<std::string> contradictory;
    /// Number of objects that can't be read, so that records may be missing.
    std::size_t unreadable = 0;
    /// Revision of the store that the list shows.
    std::int64_t revision = 0;
};

/// @return the name of the object with the records of an instance.
auto streamRecordsName(const std::string& instance) -> std::string;

/// @return the name of the object with the state of a service.
auto streamStateName(const std::string& service) -> std::string;

auto readStreamVersions(const ItemList& list) -> StreamVersionList;

}
