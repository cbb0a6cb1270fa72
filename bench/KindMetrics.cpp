#include "KindMetrics.h"

#include <algorithm>

namespace jayhold::bench {

auto quantile(std::vector<float>& values, double share) -> double
{
    if (values.empty())
        return 0;
    const auto last = values.size() - 1;
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(last));
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

}
