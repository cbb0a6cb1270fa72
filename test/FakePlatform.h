#pragma once

/// A small in-process fake of the platform's service for the tests of the cluster library. It supports
/// objects with conditional updates and watches, the instance list, and injected faults.

#include "HttpServer.h"

#include <boost/json/value.hpp>

#include <map>
#include <mutex>
#include <string>

namespace jayhold {

class FakePlatform {
public:
    explicit FakePlatform(IoThreads& threads);

    auto endpoint() const -> HttpEndpoint { return m_server.endpoint(); }

    /// While the platform is down, it closes all connections without a response.
    auto setDown(bool isDown) -> void;
    /// Lets the next `count` updates take effect while their replies are lost.
    auto loseReplies(int count) -> void;
    auto setInstances(boost::json::value list) -> void;
    auto object(const std::string& name) const -> boost::json::value;
    /// @return the number of updates that took effect.
    auto writes() const -> int;
    /// @return the number of all calls that arrived.
    auto calls() const -> int;

private:
    struct Object {
        std::int64_t revision = 0;
        boost::json::value value;
    };

    auto handle(HttpExchange& exchange) -> boost::asio::awaitable<void>;
    auto read(HttpExchange& exchange, std::string name, std::string query) -> boost::asio::awaitable<void>;
    auto update(HttpExchange& exchange, std::string name) -> boost::asio::awaitable<void>;
    auto snapshot(const std::string& name) const -> Object;

    mutable std::mutex m_lock;
    std::map<std::string, Object> m_objects;
    boost::json::value m_instances;
    bool m_isDown = false;
    int m_lostReplies = 0;
    int m_writes = 0;
    int m_calls = 0;
    HttpServer m_server;
};

}
