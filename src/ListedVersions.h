#pragma once

/// The software versions of the listed servers of each model service, and how long its streams may be taken up.

#include "BackendServer.h"
#include "Configuration.h"
#include "Time.h"

#include <map>
#include <set>
#include <span>
#include <string>

namespace jayhold {

struct ListedVersions {
    /// Versions of all servers that are live or leaving.
    std::set<std::string> all;
    /// Versions of live decode engines, at which new streams can begin.
    std::set<std::string> serving;
};

/// @return the versions by name of the model service.
auto listedVersions(const Configuration& configuration, std::span<const BackendServer> servers) -> std::map<std::string, ListedVersions>;

/// @return the time after the begin of a stream within which its caller may take it up, by name of the model service.
auto streamLifetimes(const Configuration& configuration) -> std::map<std::string, Duration>;

}
