#pragma once

/// Reads load mixes from JSON files.

#include "LoadItem.h"

#include <boost/leaf/result.hpp>

#include <string_view>
#include <vector>

namespace jayhold {

/// @param text `{"items":[{...}]}`, as in examples/caprock-load.json.
/// @return the items, or ConfigError for the first error.
auto parseLoadMix(std::string_view text) -> boost::leaf::result<std::vector<LoadItem>>;

}
