#pragma once

/// The configuration for tests of the entry daemon.

#include "Configuration.h"
#include "Sha256.h"

#include <memory>

namespace jayhold {

/// @return a configuration with one model service and one plain service in one availability zone.
inline auto entryConfiguration() -> std::shared_ptr<const Configuration>
{
    using namespace std::chrono_literals;
    auto configuration = std::make_shared<Configuration>();
    configuration->operators = { { "treasurer", sha256Hex("operator-key") } };
    configuration->availabilityZones = { { "alpine", "big-bend" } };
    configuration->customers = { { .name = "members", .keysSha256 = { sha256Hex("members-key") } } };
    Service model { .name = "appraiser-llm", .model = "appraiser-8b", .maxPromptTokens = 20, .maxOutputTokens = 100 };
    model.pools.push_back({ .name = "prefill", .availabilityZone = "alpine", .role = PoolRole::Prefill, .slots = 4 });
    model.pools.push_back({ .name = "decode", .availabilityZone = "alpine", .role = PoolRole::Decode, .slots = 20 });
    model.kinds = { { .name = "lookup", .deadline = 5s }, { .name = "appraisal", .latencyClass = LatencyClass::Batch, .deadline = 60s } };
    Service ledger { .name = "coop-ledger", .type = ServiceType::Plain };
    ledger.pools.push_back({ .name = "ledger", .availabilityZone = "alpine", .role = PoolRole::Plain, .slots = 8 });
    ledger.kinds = {
        { .name = "deposit", .deadline = 2s, .repeatable = false, .methods = { "POST" }, .pathPrefix = "/deposits" },
        { .name = "inventory", .deadline = 2s, .methods = { "GET" } },
    };
    configuration->services = { model, ledger };
    return configuration;
}

}
