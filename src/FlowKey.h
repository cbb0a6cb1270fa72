#pragma once

/// Identifies a flow: the requests of one kind and one customer.

#include "Identifiers.h"

#include <compare>

namespace jayhold {

struct FlowKey {
    KindId kind {};
    CustomerId customer {};

    auto operator<=>(const FlowKey&) const = default;
};

}
