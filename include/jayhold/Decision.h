#pragma once

/// Public header of jayhold_decision: a shard takes events and returns the actions that its
/// caller carries out.

#include "Shard.h"
#include "ShardSummary.h"
