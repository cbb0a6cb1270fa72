#include "JitteredDelay.h"

#include <random>

namespace jayhold {

auto jitteredDelay(Duration mean) -> Duration
{
    thread_local std::minstd_rand generator { std::random_device {}() };
    std::uniform_int_distribution<Duration::rep> distribution(mean.count() / 2, mean.count() * 3 / 2);
    return Duration(distribution(generator));
}

}
