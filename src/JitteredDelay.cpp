#include "JitteredDelay.h"

#include <random>

namespace jayhold {

auto jitteredDelay(Duration around) -> Duration
{
    thread_local std::minstd_rand generator { std::random_device {}() };
    std::uniform_int_distribution<Duration::rep> distribution(around.count() / 2, around.count() * 3 / 2);
    return Duration(distribution(generator));
}

}
