#pragma once

/// Public header of jayhold_base: time, typed errors, JSON reading that reports the path of an
/// error, hybrid clock and event log.

#include "ConfigError.h"
#include "EventLog.h"
#include "ExitCode.h"
#include "FileError.h"
#include "HybridClock.h"
#include "JsonReader.h"
#include "JsonText.h"
#include "LogLine.h"
#include "LoggedEventJson.h"
#include "Sha256.h"
#include "Time.h"
#include "Timeline.h"
#include "Version.h"
