#pragma once

/// Public header of jayhold_operator: declare services, pools, availability zones and request
/// kinds as plain structs and print the configuration to apply.

#include "Configuration.h"
#include "ConfigurationChange.h"
#include "Sha256.h"
