#include "LatencyClass.h"
#include "PoolRole.h"
#include "ServiceType.h"

namespace jayhold {

auto name(PoolRole role) -> std::string_view
{
    switch (role) {
    case PoolRole::Prefill:
        return "prefill";
    case PoolRole::Decode:
        return "decode";
    case PoolRole::Plain:
        return "plain";
    }
    return "invalid";
}

auto parsePoolRole(std::string_view text) -> std::optional<PoolRole>
{
    for (const auto role : { PoolRole::Prefill, PoolRole::Decode, PoolRole::Plain }) {
        if (name(role) == text)
            return role;
    }
    return std::nullopt;
}

auto name(LatencyClass latencyClass) -> std::string_view
{
    switch (latencyClass) {
    case LatencyClass::Interactive:
        return "interactive";
    case LatencyClass::Standard:
        return "standard";
    case LatencyClass::Batch:
        return "batch";
    }
    return "invalid";
}

auto parseLatencyClass(std::string_view text) -> std::optional<LatencyClass>
{
    for (const auto latencyClass : { LatencyClass::Interactive, LatencyClass::Standard, LatencyClass::Batch }) {
        if (name(latencyClass) == text)
            return latencyClass;
    }
    return std::nullopt;
}

auto name(ServiceType type) -> std::string_view
{
    return type == ServiceType::Model ? "model" : "plain";
}

auto parseServiceType(std::string_view text) -> std::optional<ServiceType>
{
    for (const auto type : { ServiceType::Model, ServiceType::Plain }) {
        if (name(type) == text)
            return type;
    }
    return std::nullopt;
}

}
