#pragma once

/// Public header of jayhold_decision: feed events to a shard, carry out the actions it returns.

#include "Shard.h"
#include "ShardSummary.h"
