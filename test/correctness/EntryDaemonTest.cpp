#include "../EntryConfiguration.h"
#include "../HttpTestServer.h"

#include "Engine.h"
#include "EntryDaemon.h"
#include "ExpectedTokens.h"
#include "Platform.h"
#include "StandinService.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include <future>

using namespace jayhold;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

template <typename Condition>
auto waitFor(Condition condition, std::chrono::milliseconds timeout = 5s) -> bool
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(10ms);
    }
    return true;
}

auto engineSettings(std::string id, std::string role) -> standin::EngineSettings
{
    standin::EngineSettings settings;
    settings.id = std::move(id);
    settings.role = std::move(role);
    settings.model = "appraiser-8b";
    settings.tokenGapMicroseconds = 5'000;
    return settings;
}

auto instance(std::string id, const HttpEndpoint& endpoint, std::string pool) -> json::object
{
    return { { "id", id }, { "address", toString(endpoint) }, { "availability_zone", "alpine" }, { "pool", pool }, { "state", "live" } };
}

/// A small deployment in one process: platform, engines, a plain service and one entry instance,
/// connected by real sockets.
class Deployment {
public:
    Deployment()
        : m_platform(m_platformThreads, {})
        , m_prefill(m_prefillThreads, engineSettings("prefill-1", "prefill"))
        , m_decode(m_decodeThreads, engineSettings("decode-1", "decode"))
        , m_ledger(m_ledgerThreads, {})
        , m_entry(std::make_unique<EntryDaemon>(entrySettings()))
    {
        publishInstances();
    }
    ~Deployment()
    {
        m_entry.reset();
        for (auto* threads : { &m_platformThreads, &m_prefillThreads, &m_decodeThreads, &m_ledgerThreads, &m_callerThreads })
            threads->stop();
    }
    Deployment(const Deployment&) = delete;
    auto operator=(const Deployment&) -> Deployment& = delete;

    auto entry() -> EntryDaemon& { return *m_entry; }

    auto send(HttpEndpoint endpoint, HttpRequest request, const std::string& key) -> HttpResult<HttpResponse>
    {
        request.headers.push_back({ "Authorization", "Bearer " + key });
        return runOn(m_callerThreads, 0, m_callerThreads.client(0).request(std::move(endpoint), std::move(request), 10s));
    }
    auto call(HttpRequest request) -> HttpResponse { return *send(m_entry->endpoint(), std::move(request), "members-key"); }
    auto admin(HttpRequest request) -> HttpResponse { return *send(m_entry->peerEndpoint(), std::move(request), "operator-key"); }

    auto apply(const Configuration& configuration, std::int64_t expected) -> HttpResponse
    {
        return admin({ "PUT", "/admin/v1/configuration", { { "If-Match", std::to_string(expected) } }, printConfiguration(configuration) });
    }

    /// Applies the configuration and waits until the backend servers are known.
    auto start() -> void
    {
        REQUIRE(apply(*entryConfiguration(), 0).status == 200);
        REQUIRE(waitFor([&] {
            const auto status = json::parse(admin({ "GET", "/admin/v1/status", {}, {} }).body);
            const auto& services = status.at("services").as_array();
            return services.size() == 2 && services[0].at("replicas").as_array().size() == 2 && services[1].at("replicas").as_array().size() == 1;
        }));
    }

    auto complete(std::string prompt, bool isStream) -> HttpResponse
    {
        const json::object body { { "prompt", prompt }, { "max_tokens", 50 }, { "stream", isStream } };
        return call({ "POST", "/v1/completions", {}, json::serialize(body) });
    }

private:
    auto entrySettings() -> EntrySettings
    {
        EntrySettings settings;
        settings.instance = "entry-1";
        settings.availabilityZone = "alpine";
        settings.listen = settings.peerListen = { "127.0.0.1", 0 };
        settings.platform = { m_platform.endpoint() };
        settings.peerKey = "peer-key";
        settings.operatorKeysSha256 = { sha256Hex("operator-key") };
        settings.threads = 2;
        settings.drainTimeout = 10s;
        return settings;
    }

    auto publishInstances() -> void
    {
        json::array list;
        list.push_back(instance("prefill-1", m_prefill.endpoint(), "prefill"));
        list.push_back(instance("decode-1", m_decode.endpoint(), "decode"));
        list.push_back(instance("ledger-1", m_ledger.endpoint(), "ledger"));
        list.push_back(instance("entry-1", m_entry->peerEndpoint(), "entry"));
        const json::object body { { "instances", list } };
        const HttpRequest request { "PUT", "/admin/instances", {}, json::serialize(body) };
        REQUIRE(runOn(m_callerThreads, 0, m_callerThreads.client(0).request(m_platform.endpoint(), request, 2s))->status == 200);
    }

    IoThreads m_callerThreads { 1 };
    IoThreads m_platformThreads { 1 };
    IoThreads m_prefillThreads { 1 };
    IoThreads m_decodeThreads { 1 };
    IoThreads m_ledgerThreads { 1 };
    standin::Platform m_platform;
    standin::Engine m_prefill;
    standin::Engine m_decode;
    standin::StandinService m_ledger;
    std::unique_ptr<EntryDaemon> m_entry;
};

auto streamedText(const std::string& body) -> std::string
{
    std::string text;
    for (std::size_t position = 0; position < body.size();) {
        const auto end = body.find("\n\n", position);
        const auto data = body.substr(position + 6, end - position - 6);
        position = end + 2;
        text += data == "[DONE]" ? data : std::string(json::parse(data).at("choices").at(0).at("text").as_string());
    }
    return text;
}

}

// Guards against a response that differs from the engine's output after the complete path over real
// sockets: caller, entry, prefill engine, KV transfer, decode engine, stream.
TEST_CASE("a request passes through a complete deployment")
{
    Deployment deployment;
    CHECK(deployment.call({ "GET", "/readyz", {}, {} }).status == 503);
    deployment.start();
    CHECK(deployment.call({ "GET", "/readyz", {}, {} }).status == 200);
    for (const std::string prompt : { "rose hips output=30", "what is this rose worth" }) {
        const auto expected = expectedText("appraiser-8b", prompt, 50);
        CHECK(streamedText(deployment.complete(prompt, true).body) == expected + "[DONE]");
        const auto whole = json::parse(deployment.complete(prompt, false).body);
        CHECK(whole.at("choices").at(0).at("text").as_string() == expected);
    }
    const auto status = json::parse(deployment.admin({ "GET", "/admin/v1/status", {}, {} }).body);
    CHECK(status.at("configuration_version") == 1);
    CHECK(status.at("members").as_array().size() == 1);
    CHECK(status.at("services").at(0).at("shard").at("finished") == 4);
    CHECK(status.at("services").at(0).at("shard").at("reserved_seats") == 0);
    const auto events = deployment.admin({ "GET", "/admin/v1/events?after=0", {}, {} }).body;
    for (const auto* event : { "request_arrived", "request_placed", "prefill_started", "prefill_done", "transfer_started", "first_token", "request_finished" })
        CHECK(events.find(event) != std::string::npos);
}

// Guards against a call that is not repeatable but runs twice when its caller retries it, tested from the
// caller to the record in the platform.
TEST_CASE("a deposit runs once in a complete deployment")
{
    Deployment deployment;
    deployment.start();
    const HttpRequest deposit { "POST", "/services/coop-ledger/deposits", { { "Idempotency-Key", "k1" } }, R"({"amount":5})" };
    const auto first = deployment.call(deposit);
    CHECK(first.status < 300);
    const auto repeat = deployment.call(deposit);
    CHECK(repeat.status == first.status);
    CHECK(repeat.body == first.body);
    CHECK(findHeader(repeat.headers, "X-Jayhold-Replayed"));
}

// Guards against an operator's change that is lost, and against access without an operator's key.
TEST_CASE("the administration API accepts operators and shows conflicts")
{
    Deployment deployment;
    CHECK(deployment.send(deployment.entry().peerEndpoint(), { "GET", "/admin/v1/status", {}, {} }, "members-key")->status == 401);
    deployment.start();
    CHECK(deployment.send(deployment.entry().peerEndpoint(), { "GET", "/admin/v1/status", {}, {} }, "members-key")->status == 401);
    auto changed = *entryConfiguration();
    changed.version = 2;
    changed.customers[0].weight = 3;
    CHECK(deployment.apply(changed, 0).status == 409);
    CHECK(deployment.apply(changed, 1).status == 200);
    changed.customers[0].weight = 5;
    const auto conflict = deployment.apply(changed, 1);
    CHECK(conflict.status == 409);
    CHECK(conflict.body.find("customers") != std::string::npos);
    CHECK(deployment.admin({ "PUT", "/admin/v1/configuration", { { "If-Match", "2" } }, "{}" }).body.find("missing_key") != std::string::npos);
    CHECK(deployment.admin({ "PUT", "/admin/v1/configuration", {}, "{}" }).status == 428);
    CHECK(waitFor([&] { return json::parse(deployment.admin({ "GET", "/admin/v1/configuration", {}, {} }).body).at("version") == 2; }));
}

// Guards against a placement that is explained to others than operators, that differs from where the request goes, or that
// leaves a trace in the state.
TEST_CASE("the administration API explains a placement without sending the request")
{
    Deployment deployment;
    const HttpRequest query { "POST", "/admin/v1/placement", {}, R"({"service":"appraiser-llm","kind":"lookup","customer":"members","prompt_tokens":3})" };
    CHECK(deployment.admin(query).body.find("no_configuration") != std::string::npos);
    deployment.start();
    CHECK(deployment.send(deployment.entry().peerEndpoint(), query, "members-key")->status == 401);
    const auto status = [&] { return json::parse(deployment.admin({ "GET", "/admin/v1/status", {}, {} }).body).at("services").at(0).at("shard"); };
    const auto before = status();
    const auto report = json::parse(deployment.admin(query).body);
    CHECK(report.at("decision") == json::value { { "action", "prefill_and_decode" }, { "prefill", "prefill-1" }, { "decode", "decode-1" }, { "decode_slot", "free" } });
    CHECK(report.at("decode_candidates").at(0).at("free_slots") == 20);
    CHECK(report.at("configuration_version") == 1);
    CHECK(status() == before);
}

// Guards against a shutdown that interrupts a stream, or that accepts requests without finishing them.
TEST_CASE("a graceful shutdown finishes open streams and refuses new work")
{
    Deployment deployment;
    deployment.start();
    std::promise<bool> drained;
    deployment.entry().onDrained([&](bool isComplete) { drained.set_value(isComplete); });
    const std::string prompt = "long answer output=50";
    auto answer = std::async(std::launch::async, [&] {
        IoThreads threads(1);
        const json::object body { { "prompt", prompt }, { "max_tokens", 50 }, { "stream", true } };
        const HttpRequest request { "POST", "/v1/completions", { { "Authorization", "Bearer members-key" } }, json::serialize(body) };
        auto response = runOn(threads, 0, threads.client(0).request(deployment.entry().endpoint(), request, 10s));
        threads.stop();
        return response->body;
    });
    REQUIRE(waitFor([&] {
        const auto status = json::parse(deployment.admin({ "GET", "/admin/v1/status", {}, {} }).body);
        return status.at("services").at(0).at("shard").at("decoding") == 1;
    }));
    CHECK(deployment.admin({ "POST", "/admin/v1/drain", {}, {} }).status == 202);
    CHECK(deployment.call({ "GET", "/readyz", {}, {} }).status == 503);
    const auto refused = deployment.complete("more", false);
    CHECK(refused.status == 503);
    CHECK(json::parse(refused.body).at("error").at("ran") == "no");
    CHECK(streamedText(answer.get()) == expectedText("appraiser-8b", prompt, 50) + "[DONE]");
    auto result = drained.get_future();
    REQUIRE(result.wait_for(5s) == std::future_status::ready);
    CHECK(result.get());
}
