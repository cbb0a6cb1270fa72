#include "../HttpTestServer.h"
#include "../RawBackend.h"

#include "HttpObjectStore.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;
using namespace std::chrono_literals;

namespace {

/// A store that answers with the bytes of the test and ends the connection.
struct BrokenStore {
    ~BrokenStore() { threads.stop(); }

    /// @return the number of items or changes in the response to a list or a watch, or nothing if it is an error.
    auto receive(bool isWatch, std::string bytes, bool resets) -> std::optional<std::size_t>
    {
        reply = { .bytes = std::move(bytes), .closes = true, .resets = resets };
        // A store of its own for each call, because failed calls delay the next one.
        platform::HttpObjectStore store(StoreConnectionSettings { .endpoints = { backend.endpoint() }, .timeout = 1s, .callsPerSecond = 1'000 });
        auto& client = threads.client(1);
        if (isWatch) {
            const auto changes = runOn(threads, 1, store.watch(client, "servers", 4, 100ms));
            return changes.has_value() ? std::optional(changes->changes.size() + changes->unreadable) : std::nullopt;
        }
        const auto list = runOn(threads, 1, store.list(client, "servers", ReadMode::Current));
        return list.has_value() ? std::optional(list->items.size() + list->unreadable) : std::nullopt;
    }

    RawReply reply;
    IoThreads threads { 2 };
    RawBackend backend { threads, [this](const RawRequest&) { return reply; } };
};

auto bodyOf(bool isWatch) -> std::string
{
    const std::string item = R"({"metadata":{"name":"a","revision":5},"spec":{"service":"x"}})";
    return isWatch ? R"({"events":[{"type":"PUT","object":)" + item + R"(}],"storeRevision":5})" : R"({"items":[)" + item + R"(],"storeRevision":5})";
}

}

// Guards against servers that count as removed because the list or the watch that names them was cut, in a response
// without a length, whose end is that of its connection.
TEST_CASE("a list or a watch without a length that is cut is an error")
{
    const bool isWatch = GENERATE(false, true);
    const bool resets = GENERATE(false, true);
    const auto body = bodyOf(isWatch);
    BrokenStore store;
    for (std::size_t size = 0; size < body.size(); ++size) {
        CAPTURE(isWatch, resets, body.substr(0, size));
        CHECK_FALSE(store.receive(isWatch, "HTTP/1.1 200 OK\r\n\r\n" + body.substr(0, size), resets));
    }
    CHECK(store.receive(isWatch, "HTTP/1.1 200 OK\r\n\r\n" + body, false) == 1);
}

// Guards against a list or a watch that is taken from a response that is none, or from its body.
TEST_CASE("a list or a watch with an invalid status is an error")
{
    const bool isWatch = GENERATE(false, true);
    const auto status = GENERATE(std::string("000"), std::string("099"), std::string("600"), std::string("2x0"), std::string("2000"), std::string());
    const auto whole = rawResponse(200, "", bodyOf(isWatch));
    const auto body = GENERATE_COPY(bodyOf(isWatch), whole);
    CAPTURE(isWatch, status, body);
    BrokenStore store;
    CHECK_FALSE(store.receive(isWatch, "HTTP/1.1 " + status + " S\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, false));
}
