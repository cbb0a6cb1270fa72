#pragma once

/// Public header of jayhold_cluster: membership, configuration and records that entry
/// instances share.

#include "ClusterNode.h"
