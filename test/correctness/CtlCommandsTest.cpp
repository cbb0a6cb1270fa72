#include "CtlCommands.h"

#include "Configuration.h"
#include "HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include <sstream>

using namespace jayhold;
namespace asio = boost::asio;

namespace {

struct CommandRun {
    ExitCode code;
    std::string result;
    std::string errors;
};

auto run(const CtlOptions& options) -> CommandRun
{
    std::ostringstream result;
    std::ostringstream errors;
    const auto code = runCtlCommand(options, { result, errors });
    return { code, result.str(), errors.str() };
}

auto conflictServer(HttpExchange& exchange) -> asio::awaitable<void>
{
    Configuration winner { .version = 2 };
    winner.availabilityZones = { { "alpine", "big-bend" } };
    const auto isPut = exchange.request().method == "PUT";
    const auto body = isPut ? R"({"configuration":)" + boost::json::serialize(toJson(winner)) + "}" : boost::json::serialize(toJson(winner));
    co_await exchange.respond(jsonResponse(isPut ? 409 : 200, body));
}

constexpr std::string_view exampleFile = JAYHOLD_EXAMPLES "/caprock.json";

}

// Guards against another operator's concurrent change that is not reported or is reported as a generic
// failure.
TEST_CASE("apply shows the other operator's change and exits with the conflict code")
{
    IoThreads threads(1);
    HttpServer server(threads, {}, conflictServer);
    const auto conflict = run({ .command = "apply", .arguments = { std::string(exampleFile) }, .entries = { server.endpoint() } });
    CHECK(conflict.code == ExitCode::Conflict);
    CHECK_THAT(conflict.errors, Catch::Contains("version 2 is active"));
    CHECK_THAT(conflict.result, Catch::Contains("$.availability_zones[terlingua]"));
    const auto shown = run({ .command = "show", .entries = { server.endpoint() } });
    CHECK(shown.code == ExitCode::Success);
    CHECK_THAT(shown.result, Catch::Contains("\"version\": 2"));
    threads.stop();
}

// Guards against nested lists that are printed on one unreadable line.
TEST_CASE("status prints nested lists as separate tables")
{
    IoThreads threads(1);
    HttpServer server(threads, {}, [](HttpExchange& exchange) -> asio::awaitable<void> {
        co_await exchange.respond(jsonResponse(200, R"({"instance":"e1","services":[{"name":"llm","shard":{"queued":3},"replicas":[{"id":"d1","state":"live"}]}]})"));
    });
    const auto shown = run({ .command = "status", .entries = { server.endpoint() } });
    CHECK(shown.code == ExitCode::Success);
    CHECK(shown.result == "instance=e1\n\nservices\nname  shard.queued\nllm   3\n\nservices[llm].replicas\nid  state\nd1  live\n");
    threads.stop();
}

// Guards against a query that lacks what the options and the file say, and against output that hides the decision or changes
// the instance's response where a program reads it.
TEST_CASE("placement prints the decision and the candidates")
{
    IoThreads threads(1);
    std::string query;
    const std::string report = R"({"decision":{"action":"wait","waits_for":"decode_slot","expected_wait_ms":12.5},"decode_candidates":[{"id":"d1","obstacle":"slots"}]})";
    HttpServer server(threads, {}, [&](HttpExchange& exchange) -> asio::awaitable<void> {
        query = exchange.request().body;
        co_await exchange.respond(jsonResponse(query.find("none") == std::string::npos ? 200 : 404, report));
    });
    CtlOptions options { .command = "placement", .entries = { server.endpoint() }, .placement = { .texts = { { "service", "llm" } }, .numbers = { { "prompt_tokens", 9 } }, .parts = { { "1f", 9 } } } };
    const auto shown = run(options);
    CHECK(shown.code == ExitCode::Success);
    CHECK(query == R"({"service":"llm","prompt_tokens":9,"prompt_parts":[{"id":"1f","tokens":9}]})");
    CHECK_THAT(shown.result, Catch::StartsWith("wait for decode_slot, about 12 ms\n"));
    CHECK_THAT(shown.result, Catch::Contains("\ndecode_candidates\nid  obstacle\nd1  slots\n"));
    options.printJson = true;
    CHECK(run(options).result == report + "\n");
    options.placement.texts = { { "service", "none" } };
    CHECK(run(options).code == ExitCode::Failed);
    options.arguments = { "/nonexistent/file" };
    CHECK(run(options).code == ExitCode::Failed);
    threads.stop();
}

// Guards against an unreachable instance that is reported as success or as an invalid file.
TEST_CASE("an unreachable instance and a missing file have different exit codes")
{
    // A bound socket that does not listen refuses connections and reserves its port.
    asio::io_context context;
    asio::ip::tcp::socket socket(context, { asio::ip::address_v4::loopback(), 0 });
    const HttpEndpoint unreachable { "127.0.0.1", socket.local_endpoint().port() };
    CHECK(run({ .command = "show", .entries = { unreachable } }).code == ExitCode::Unreachable);
    CHECK(run({ .command = "timeline", .entries = { unreachable } }).code == ExitCode::Unreachable);
    CHECK(run({ .command = "check", .arguments = { std::string(exampleFile) } }).code == ExitCode::Success);
    const auto missing = run({ .command = "check", .arguments = { "/nonexistent/file" } });
    CHECK(missing.code == ExitCode::Failed);
    CHECK_THAT(missing.errors, Catch::Contains("No such file"));
}
