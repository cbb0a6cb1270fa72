#pragma once

/// Selects the observed speeds that the next load message reports: those that have waited longest, and none twice within a
/// second.

#include "SpeedReport.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jayhold {

struct SpeedReporter {
    struct Entry {
        TimePoint reportedAt = TimePoint::min();
        TimePoint loggedAt = TimePoint::min();
        double loggedSpeed = 1;
    };

    /// By id and incarnation of the server.
    std::map<std::pair<std::string, std::string>, Entry> entries;
};

/// @param observed all speeds that may be reported.
/// @return the reports of the next message.
auto selectReports(SpeedReporter& reporter, TimePoint now, std::vector<SpeedReport> observed) -> std::vector<SpeedReport>;

/// @return whether the speed has changed so much since it was last logged that it is to be logged again.
auto isToBeLogged(SpeedReporter& reporter, TimePoint now, const SpeedReport& report) -> bool;

}
