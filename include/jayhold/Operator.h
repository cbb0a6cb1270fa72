#pragma once

/// Public header of jayhold_operator: operators declare services, pools, availability zones and
/// request kinds as plain structs and print them as a configuration file.

#include "Configuration.h"
#include "ConfigurationChange.h"
#include "Sha256.h"
