#pragma once

/// Answers operators' queries where a request would be placed now, without any effect on the request path.

#include "EntryContext.h"
#include "HttpResponse.h"
#include "ServiceTable.h"

#include <string_view>

namespace jayhold {

/// Path of the query in the administration interface; the method is POST.
inline constexpr std::string_view placementPath = "/admin/v1/placement";

/// @param body the JSON form of a PlacementQuery.
/// @return 200 with the decision and its inputs; 400 for an invalid query, 404 for an unknown route, service, kind or
/// customer, 503 without a configuration or backend servers, or while another query of the service is being answered.
auto explainPlacement(const EntryContext& context, const ServiceTable& services, std::string_view body) -> HttpResponse;

}
