#pragma once

/// Event: the list of blocked prompt parts that all instances share has been read.

#include "ListedPart.h"

#include <vector>

namespace jayhold {

struct BlockedPartsListed {
    std::vector<ListedPart> parts;
};

}
