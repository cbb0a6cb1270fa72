#pragma once

/// The JSON form of an explained placement, for operators.

#include "ModelPlacement.h"
#include "PlainPlacement.h"

#include <boost/json/object.hpp>

namespace jayhold {

/// @return the decision, the state on which it is based, and the candidates of each role.
auto placementReport(const ModelPlacement& placement) -> boost::json::object;

/// @return the decision, the waiting calls, and the candidates.
auto placementReport(const PlainPlacement& placement) -> boost::json::object;

/// @return the decision to refuse a request.
/// @param retryAfter the delay that the caller is told; zero if it should not retry.
auto refusalReport(std::string_view reason, Duration retryAfter) -> boost::json::object;

/// @return the duration in milliseconds.
auto inMilliseconds(Duration duration) -> double;

}
