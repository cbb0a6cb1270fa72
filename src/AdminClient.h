#pragma once

/// Blocking client of the administration API of entry instances, for command-line programs.

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
    /// @param operatorKey sent as bearer token with every call; an empty key is not sent.
    explicit AdminClient(std::string operatorKey);
    ~AdminClient();
    AdminClient(const AdminClient&) = delete;
    auto operator=(const AdminClient&) -> AdminClient& = delete;

    auto call(const HttpEndpoint& entry, HttpRequest request) -> HttpResult<HttpResponse>;

    /// Calls the instances in order and returns the first result other than a failed connection. A
    /// call that may have reached an instance is not repeated at another one.
    /// @return the result of the last call; HttpErrorKind::NotConnected if `entries` is empty.
    auto callFirstReachable(std::span<const HttpEndpoint> entries, const HttpRequest& request) -> HttpResult<HttpResponse>;

private:
    struct State;

    std::unique_ptr<State> m_state;
};

}
