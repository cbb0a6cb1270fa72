#pragma once

/// Blocking calls to the administration API of entry instances, for command-line programs.

#include "HttpEndpoint.h"
#include "HttpError.h"
#include "HttpRequest.h"
#include "HttpResponse.h"

#include <memory>
#include <span>
#include <string>

namespace jayhold {

class AdminClient {
public:
    /// @param operatorKey sent as bearer key with every call.
    explicit AdminClient(std::string operatorKey);
    ~AdminClient();
    AdminClient(const AdminClient&) = delete;
    auto operator=(const AdminClient&) -> AdminClient& = delete;

    /// Calls one instance.
    auto call(const HttpEndpoint& entry, HttpRequest request) -> HttpResult<HttpResponse>;

    /// Calls the instances in turn until one is reached; a call that may have reached an instance
    /// is not made again at another.
    auto callFirstReachable(std::span<const HttpEndpoint> entries, const HttpRequest& request) -> HttpResult<HttpResponse>;

private:
    struct State;

    std::unique_ptr<State> m_state;
};

}
