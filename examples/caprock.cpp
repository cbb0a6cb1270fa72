// Prints the configuration of Caprock Rose Growers Cooperative.
#include <jayhold/Operator.h>

#include <iostream>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

auto appraiser() -> Service
{
    Service service { .name = "appraiser-llm", .model = "appraiser-8b", .wastedPrefillWeight = 0.2 };
    for (const std::string zone : { "alpine", "terlingua", "marfa" }) {
        service.pools.push_back({ .name = "appraiser-prefill-" + zone, .availabilityZone = zone, .role = PoolRole::Prefill, .slots = 4 });
        service.pools.push_back({ .name = "appraiser-decode-" + zone, .availabilityZone = zone, .role = PoolRole::Decode, .slots = 20 });
    }
    service.kinds = {
        { .name = "lookup", .latencyClass = LatencyClass::Interactive, .deadline = 10s },
        { .name = "listing", .latencyClass = LatencyClass::Standard, .firstToken = 2s, .deadline = 60s },
        { .name = "appraisal", .latencyClass = LatencyClass::Batch, .firstToken = 10s, .tokenGap = 100ms, .deadline = 300s },
    };
    return service;
}

auto ledger() -> Service
{
    Service service { .name = "coop-ledger", .type = ServiceType::Plain };
    for (const std::string zone : { "alpine", "terlingua", "marfa" })
        service.pools.push_back({ .name = "ledger-" + zone, .availabilityZone = zone, .role = PoolRole::Plain, .slots = 64 });
    service.kinds = {
        { .name = "deposit", .deadline = 10s, .repeatable = false, .methods = { "POST" }, .pathPrefix = "/deposits" },
        { .name = "hold", .deadline = 10s, .repeatable = false, .methods = { "POST" }, .pathPrefix = "/holds" },
        { .name = "inventory", .latencyClass = LatencyClass::Interactive, .deadline = 2s, .methods = { "GET" } },
    };
    return service;
}

}

auto main() -> int
{
    const Configuration configuration {
        .operators = { { "treasurer", sha256Hex("caprock-operator-key") } },
        .availabilityZones = { { "alpine", "big-bend" }, { "terlingua", "big-bend" }, { "marfa", "big-bend" } },
        .customers = {
            { .name = "members", .keysSha256 = { sha256Hex("caprock-members-key") }, .weight = 2 },
            { .name = "buyers", .keysSha256 = { sha256Hex("caprock-buyers-key") } },
            { .name = "appraisers", .keysSha256 = { sha256Hex("caprock-appraisers-key") } },
        },
        .services = { appraiser(), ledger() },
    };
    std::cout << printConfiguration(configuration);
}
