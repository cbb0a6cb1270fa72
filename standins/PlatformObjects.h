#pragma once

/// The object calls of the stand-in platform.

#include "HttpExchange.h"
#include "PlatformState.h"

#include <memory>

namespace jayhold::standin {

/// `GET /v1/objects/{name}`, immediately or as a watch.
auto readObject(std::shared_ptr<PlatformState> state, HttpExchange& exchange, std::string name) -> boost::asio::awaitable<void>;

/// `PUT /v1/objects/{name}` with `If-Match`.
auto writeObject(std::shared_ptr<PlatformState> state, HttpExchange& exchange, std::string name) -> boost::asio::awaitable<void>;

}
