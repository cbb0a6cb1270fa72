#pragma once

/// Blocking HTTP client of the scenario runner and the soak.

#include "HttpEndpoint.h"
#include "IoThreads.h"

#include <boost/json/value.hpp>

namespace jayhold {

struct ScenarioResponse {
    /// 0 if the call failed; `text` then holds the error.
    unsigned status = 0;
    /// Null if the body is not JSON.
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
