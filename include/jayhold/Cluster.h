#pragma once

/// Public header of jayhold_cluster: what the entry instances share.

#include "ClusterNode.h"
