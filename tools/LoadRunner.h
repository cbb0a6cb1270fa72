#pragma once

/// Runs a load test: starts calls at the configured rate on all threads and collects their results.

#include "LoadReport.h"
#include "LoadSettings.h"

namespace jayhold {

/// Runs the whole load test and waits for the last response.
/// @param report receives the results.
/// @return time from the first call to the last response.
auto runLoad(const LoadSettings& settings, LoadReport& report) -> Duration;

}
