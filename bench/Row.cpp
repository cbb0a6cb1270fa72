#include "Row.h"

namespace jayhold::bench {

auto goodputRate(const Row& row) -> double
{
    return static_cast<double>(good(row.result.metrics)) / row.seconds;
}

auto goodputShare(const Row& row) -> double
{
    const auto all = offered(row.result.metrics);
    return all ? static_cast<double>(good(row.result.metrics)) / static_cast<double>(all) : 0;
}

auto boundRate(const Row& row) -> double
{
    return row.result.bound / row.seconds;
}

}
