#pragma once

/// The bounds that the project has set itself, each compared with the rows of the decision code.
/// They are constants of the project and are not adapted to results.

#include "Row.h"

#include <span>
#include <string>
#include <vector>

namespace jayhold::bench {

struct BoundCheck {
    std::string name;
    double value;
    double limit;
    bool pass;
};

/// @return the checks that the rows allow; rows of other arms are ignored.
auto checkBounds(std::span<Row> rows) -> std::vector<BoundCheck>;

}
