#pragma once

/// Public header of jayhold_entry: an entry instance and its settings.

#include "EntryDaemon.h"
#include "EntrySettings.h"
#include "RouterDaemon.h"
