#pragma once

/// Performance bounds that the rows of the decision code are checked against. The limits are fixed
/// requirements of the project and must not be adapted to results.

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

/// @return the checks for which the rows contain the necessary cells. Rows of other arms are ignored.
auto checkBounds(std::span<Row> rows) -> std::vector<BoundCheck>;

}
