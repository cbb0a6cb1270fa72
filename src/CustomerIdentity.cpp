#include "CustomerIdentity.h"

#include "JitteredDelay.h"

namespace jayhold {

namespace {

/// Operators correct an entry that can't be used with the next configuration.
constexpr Duration unusableCustomerRetryDelay = std::chrono::seconds(2);

}

auto identifyCustomer(const ConfigurationIndex& index, const Route& route, const ForwardedCall& call) -> ApiResult<std::optional<CustomerId>>
{
    if (!index.configuration().requiresCustomerKey)
        return std::optional<CustomerId>();
    // Which of several keys counts would be a guess.
    const auto customer = call.credentials.size() == 1 ? index.customerOf(call.credentials.front()) : std::nullopt;
    if (!customer) {
        if (route.isPublic)
            return std::optional<CustomerId>();
        return ApiError(401, "unauthenticated", "the key is missing or not known");
    }
    if (!index.customer(*customer).isUsable)
        return ApiError(503, "customer_unusable", "the customer's entry in the configuration can't be used", ExecutionOutcome::NotRun, jitteredDelay(unusableCustomerRetryDelay));
    return customer;
}

}
