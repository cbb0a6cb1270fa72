#include "RunId.h"

#include <chrono>
#include <random>

namespace jayhold {

auto uniqueRunId() -> std::string
{
    std::random_device random;
    return std::to_string(random()) + "-" + std::to_string(std::chrono::system_clock::now().time_since_epoch().count());
}

}
