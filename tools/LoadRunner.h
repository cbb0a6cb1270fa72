#pragma once

/// Runs a load: starts calls at the rate, from every thread, and collects their results.

#include "LoadReport.h"
#include "LoadSettings.h"

namespace jayhold {

/// Runs the whole load and waits for its last answer.
/// @param report receives the results.
/// @return time from the first call to the last answer.
auto runLoad(const LoadSettings& settings, LoadReport& report) -> Duration;

}
