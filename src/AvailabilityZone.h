#pragma once

/// An availability zone and the region it belongs to.

#include <string>

namespace jayhold {

struct AvailabilityZone {
    std::string name;
    std::string region;

    auto operator==(const AvailabilityZone&) const -> bool = default;
};

}
