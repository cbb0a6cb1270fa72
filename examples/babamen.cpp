// Prints the configuration of Bab Amen Gate Repair Cooperative.
#include <jayhold/Operator.h>

#include <iostream>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

auto diagnosis() -> Service
{
    Service service { .name = "diag-llm", .model = "diagnosis-14b", .wastedPrefillWeight = 0.9 };
    for (const std::string zone : { "ariana", "bizerte", "ben-arous" }) {
        service.pools.push_back({ .name = "diag-prefill-" + zone, .availabilityZone = zone, .role = PoolRole::Prefill, .slots = 4 });
        service.pools.push_back({ .name = "diag-decode-" + zone, .availabilityZone = zone, .role = PoolRole::Decode, .slots = 20 });
    }
    service.kinds = {
        { .name = "job-lookup", .latencyClass = LatencyClass::Interactive, .deadline = 10s },
        { .name = "diagnosis", .latencyClass = LatencyClass::Standard, .firstToken = 2s, .deadline = 120s },
    };
    return service;
}

auto dispatch() -> Service
{
    Service service { .name = "dispatch-app", .type = ServiceType::Plain };
    for (const std::string zone : { "ariana", "bizerte", "ben-arous" })
        service.pools.push_back({ .name = "dispatch-" + zone, .availabilityZone = zone, .role = PoolRole::Plain, .slots = 64 });
    service.kinds = {
        { .name = "booking", .deadline = 10s, .repeatable = false, .methods = { "POST" }, .pathPrefix = "/bookings" },
        { .name = "past-jobs", .latencyClass = LatencyClass::Interactive, .deadline = 2s, .methods = { "GET" } },
    };
    return service;
}

}

auto main() -> int
{
    const Configuration configuration {
        .operators = { { "dispatcher", sha256Hex("babamen-operator-key") } },
        .availabilityZones = { { "ariana", "tunis-north" }, { "bizerte", "tunis-north" }, { "ben-arous", "tunis-north" } },
        .customers = {
            { .name = "technicians", .keysSha256 = { sha256Hex("babamen-technicians-key") }, .weight = 2 },
            { .name = "office", .keysSha256 = { sha256Hex("babamen-office-key") } },
        },
        .services = { diagnosis(), dispatch() },
    };
    std::cout << printConfiguration(configuration);
}
