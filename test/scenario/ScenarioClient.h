#pragma once

/// Blocking HTTP calls of the scenario runner.

#include "HttpEndpoint.h"
#include "IoThreads.h"

#include <boost/json/value.hpp>

namespace jayhold {

struct ScenarioResponse {
    /// 0 where the call failed.
    unsigned status = 0;
    /// Null where the body is not JSON.
    boost::json::value body;
    std::string text;
};

class ScenarioClient {
public:
    auto call(const HttpEndpoint& endpoint, std::string method, std::string target, std::string body = {}, std::vector<HttpHeader> headers = {}) -> ScenarioResponse;
    auto get(const HttpEndpoint& endpoint, std::string target) -> ScenarioResponse { return call(endpoint, "GET", std::move(target)); }

private:
    IoThreads m_threads { 1 };
};

}
