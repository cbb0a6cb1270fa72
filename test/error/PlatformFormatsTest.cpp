#include "Formats.h"
#include "Protocols.h"

#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <set>

using namespace jayhold;
namespace leaf = boost::leaf;
namespace json = boost::json;

namespace {

const std::string goodSettings = "node=edge-1\nzone=alpine\nregion=big-bend\nip=10.1.0.35\nzones.alpine=big-bend\nzones.marfa=big-bend\n"
                                 "listen.front=10.1.0.35:8144\nlisten.ready=10.1.0.35:8140\nportRange=7660,7675\nlimits.memoryMb=110\nbounds.graceS=8\nbounds.applyMs=2000\n"
                                 "bounds.drainMs=1500\nbounds.budgetRatio=0.2\nbounds.budgetExtra=52\nplatform.address=10.200.1.7:8142\nplatform.readsPerS=2000\nnewer.field=x\n";

/// @return the settings, or the path of the invalid value.
auto parse(std::string_view text) -> std::variant<platform::Settings, std::string>
{
    using ParseOutcome = std::variant<platform::Settings, std::string>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<ParseOutcome> {
            BOOST_LEAF_AUTO(settings, platform::parseSettings(text));
            return ParseOutcome(std::move(settings));
        },
        [](const ConfigError& error) { return ParseOutcome(error.path); },
        [] { return ParseOutcome("unknown error"); });
}

auto without(std::string text, const std::string& key) -> std::string
{
    const auto start = text.find(key + "=");
    return text.erase(start, text.find('\n', start) - start + 1);
}

auto item(std::string_view text) -> StoredItem
{
    return { "name", 1, json::parse(text) };
}

const std::vector<AvailabilityZone> zones { { "alpine", "big-bend" } };

}

// Guards against limits on callers that the settings can't change, and against descriptors for files that sockets take.
TEST_CASE("the platform's settings state limits on connections")
{
    const auto connections = [](const std::string& fields) { return std::get<platform::Settings>(parse(goodSettings + fields)).connections; };
    CHECK(connections("").sockets == 0);
    CHECK(connections("").headerLines == 4'096);
    CHECK(connections("limits.maxFds=4100\n").sockets == 3'900);
    CHECK(connections("limits.maxFds=100\n").sockets == 1);
    const auto set = connections("limits.maxHeaderLines=100\nlimits.maxCallerConnections=50\nlimits.maxUnlistedPeers=7\n");
    CHECK(set.headerLines == 100);
    CHECK(set.callerConnections == 50);
    CHECK(set.unlistedPeers == 7);
}

// Guards against an instance that starts and serves nobody, or with a limit that overflows.
TEST_CASE("unusable limits on connections are rejected")
{
    for (const std::string key : { "limits.maxHeaderLines", "limits.maxCallerConnections", "limits.maxUnlistedPeers" }) {
        for (const std::string value : { "-1", "1.5", "1e30", "nan", "many", "2000000", "99999999999999999999" }) {
            std::string settings = goodSettings;
            settings.append(key).append("=").append(value).append("\n");
            CHECK(std::get<std::string>(parse(settings)) == key);
        }
    }
    CHECK(std::get<std::string>(parse(goodSettings + "limits.maxHeaderLines=0\n")) == "limits.maxHeaderLines");
    CHECK(std::get<std::string>(parse(goodSettings + "limits.maxCallerConnections=0\n")) == "limits.maxCallerConnections");
}

// Guards against settings that are misread, or rejected because of an unknown field.
TEST_CASE("the platform's settings are parsed")
{
    const auto outcome = parse(goodSettings);
    REQUIRE(std::holds_alternative<platform::Settings>(outcome));
    const auto& settings = std::get<platform::Settings>(outcome);
    CHECK(settings.entry.instance == "edge-1");
    CHECK(settings.entry.listen == HttpEndpoint { "10.1.0.35", 8144 });
    CHECK(settings.entry.loadListen == HttpEndpoint { "10.1.0.35", 7660 });
    CHECK(settings.entry.drainTimeout == std::chrono::seconds(8));
    CHECK(settings.entry.maxPropagationDelay == std::chrono::milliseconds(1'500));
    CHECK(settings.availabilityZones.size() == 2);
    CHECK(settings.retry.burst == 52);
    CHECK(settings.entry.limits.memoryBytes == 110U << 20U);
}

// Guards against bounds of quotas that are misread, that a deployment without quotas needs, or that overflow.
TEST_CASE("the bounds of quotas are optional")
{
    const auto limitsOf = [](const std::string& lines) { return std::get<platform::Settings>(parse(goodSettings + lines)).entry.quota; };
    CHECK(limitsOf("").window == std::chrono::seconds(0));
    CHECK(limitsOf("").slack == 0);
    const auto limits = limitsOf("bounds.quotaWindowS=8\nbounds.quotaOver=0.1\nbounds.quotaSlack=190000\n");
    CHECK(limits.window == std::chrono::seconds(8));
    CHECK(limits.over == 0.1);
    CHECK(limits.slack == 190'000);
    CHECK(limitsOf("bounds.quotaWindowS=1e300\nbounds.quotaSlack=inf\n").slack == 1e12);
    CHECK(std::get<std::string>(parse(goodSettings + "bounds.quotaOver=nan\n")) == "bounds.quotaOver");
}

// Guards against a process that starts with unusable settings.
TEST_CASE("errors of missing and invalid settings name the key")
{
    for (const auto* key : { "node", "zone", "ip", "listen.front", "listen.ready", "portRange", "bounds.graceS", "platform.address", "platform.readsPerS" })
        CHECK(std::get<std::string>(parse(without(goodSettings, key))) == key);
    CHECK(std::get<std::string>(parse(goodSettings + "bounds.graceS=soon\n")) == "bounds.graceS");
    CHECK(std::get<std::string>(parse(goodSettings + "listen.front=here\n")) == "listen.front");
    CHECK(std::get<std::string>(parse(goodSettings + "platform.readsPerS=-1\n")) == "platform.readsPerS");
}

// Guards against a parser that crashes on data from another writer.
TEST_CASE("the parsers of settings and server entries accept arbitrary bytes without a crash")
{
    CHECK(rc::check("settings", [] { parse(*rc::gen::arbitrary<std::string>()); }));
    CHECK(rc::check("damaged settings", [] {
        auto text = goodSettings;
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        parse(text);
    }));
    const std::string entry = R"({"service":"s","address":"10.0.0.1:80","zone":"alpine","slots":4,"state":"ready","phase":"decode","born":17})";
    CHECK(rc::check("damaged entries", [&] {
        auto text = entry;
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        boost::system::error_code code;
        const auto value = json::parse(text, code);
        if (!code)
            platform::readBackend({ "id", 1, value });
    }));
}

// Guards against an entry of another writer that is mistaken for a backend server.
TEST_CASE("entries that do not describe a usable server are ignored")
{
    const auto good = platform::readBackend(item(R"({"service":"s","address":"10.0.0.1:80","zone":"alpine","slots":4,"state":"draining","phase":"decode","born":17})"));
    REQUIRE(good);
    CHECK(good->pool == platform::poolName("s", "alpine", PoolRole::Decode));
    CHECK(good->state == ReplicaState::Leaving);
    CHECK(good->incarnation == "17");
    CHECK(good->slots == 4);
    for (const auto* text : { "7", "{}", R"({"service":"s","address":"10.0.0.1:80","zone":"alpine"})", R"({"service":3,"address":"10.0.0.1:80","zone":"alpine","state":"ready"})",
             R"({"service":"s","address":"host:80","zone":"alpine","state":"ready"})", R"({"service":"s","address":"10.0.0.1:80","zone":"alpine","state":"unheard"})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"alpine","state":"ready","phase":"unheard"})" })
        CHECK_FALSE(platform::readBackend(item(text)));
}

// Guards against calls that run at a server of another service, which an entry of another writer names with some fields of
// another type.
TEST_CASE("entries with a field of another type are ignored")
{
    const std::vector<std::pair<std::string, std::string>> fields { { "service", R"("s")" }, { "address", R"("10.0.0.1:80")" }, { "zone", R"("alpine")" }, { "version", R"("v1")" }, { "slots", "6" },
        { "state", R"("ready")" }, { "coldLeftMs", "0" }, { "phase", R"("decode")" }, { "models", "[]" }, { "sequence", "4" }, { "born", "1700000000000" } };
    const auto read = [&](std::string_view changed, const std::string& value) {
        std::string text;
        for (const auto& [name, good] : fields)
            text += (text.empty() ? "{\"" : ",\"") + name + "\":" + (name == changed ? value : good);
        return platform::readBackend(item(text + "}"));
    };
    REQUIRE(read("", ""));
    for (const auto& [name, good] : fields) {
        for (const std::string value : { R"("0")", R"("")", "null", "true", "{}", "[]", "7", "-1", "1e300" }) {
            const auto isText = good.starts_with('"');
            const auto isNumber = !isText && good != "[]";
            const auto isGood = (isText && value.starts_with('"')) || (isNumber && value == "7") || value == good;
            CAPTURE(name, value);
            // A text of the right type may be one that is not named.
            if (!isGood)
                CHECK_FALSE(read(name, value));
            else if (!isText)
                CHECK(read(name, value));
        }
    }
    CHECK_FALSE(read("born", "17.5"));
    CHECK_FALSE(read("born", R"("2026-12-06")"));
}

// Guards against a configuration that is applied in part because its numbers have another type.
TEST_CASE("configurations with numbers of another type are ignored")
{
    const auto isAccepted = [](const std::string& timeout, const std::string& slots) {
        const auto text = R"({"version":1,"routes":[{"name":"a","host":"h","pathPrefix":"/a/","timeoutMs":)" + timeout + R"(}],"services":[{"name":"llm","engine":{"slots":)" + slots + "}}]}";
        return platform::readConfiguration(item(text), zones, {}).has_value();
    };
    CHECK(isAccepted("800", "6"));
    CHECK(isAccepted("null", "null"));
    for (const std::string value : { R"("800")", "true", "[]", "{}" }) {
        CHECK_FALSE(isAccepted(value, "6"));
        CHECK_FALSE(isAccepted("800", value));
    }
}

// Guards against streams that go on at another software version because an entry's version is not read, is taken from a
// value of another type, or changes without a new process.
TEST_CASE("the software version of an entry is part of its process")
{
    const auto read = [](const std::string& fields) {
        return platform::readBackend(item(R"({"service":"s","address":"10.0.0.1:80","zone":"alpine","state":"ready","phase":"decode")" + fields + "}"));
    };
    const auto first = read(R"(,"born":17,"version":"v1.2")");
    REQUIRE(first);
    CHECK(first->softwareVersion == "v1.2");
    const auto second = read(R"(,"born":17,"version":"v1.10")");
    REQUIRE(second);
    CHECK(first->incarnation != second->incarnation);
    CHECK_FALSE(hasSameIncarnation(*first, *second));
    CHECK_FALSE(hasSameIncarnation(*read(R"(,"version":"v1.2")"), *read("")));
    CHECK(read(R"(,"born":17)")->softwareVersion.empty());
    for (const auto* version : { "1.2", "null", "[]", R"({"version":"v1.2"})", "true" })
        CHECK_FALSE(read(R"(,"born":17,"version":)" + std::string(version)));
}

// Guards against calls to an address at which nothing can listen, which entries of other writers may name.
TEST_CASE("entries whose address can't be connected to are ignored")
{
    const auto withAddress = [](const std::string& address) {
        return platform::readBackend(item(R"({"service":"s","address":")" + address + R"(","zone":"alpine","state":"ready"})"));
    };
    for (const auto* address : { "10.0.0.1:1", "10.0.0.1:65535", "[::1]:80" })
        CHECK(withAddress(address));
    for (const auto* address : { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:+1", "10.0.0.1:", "10.0.0.1:80 ", "0.0.0.0:80", "[::]:80", "10.0.0.256:80", "here:80", "80", ":80", "" })
        CHECK_FALSE(withAddress(address));
}

// Guards against numbers that overflow in later calculations, or a version that blocks all later ones.
TEST_CASE("entries with numbers out of range are ignored")
{
    for (const auto* slots : { "-1", "100001", "1e300", "9223372036854775807", "18446744073709551615" })
        CHECK_FALSE(platform::readBackend(item(R"({"service":"s","address":"10.0.0.1:80","zone":"alpine","state":"ready","slots":)" + std::string(slots) + "}")));
    const auto isAccepted = [](const std::string& version, const std::string& route, const std::string& engine, const std::string& limits) {
        const auto text = R"({"version":)" + version + R"(,"routes":[{"name":"a","host":"h","pathPrefix":"/a/")" + route + R"(}],"services":[{"name":"llm","engine":{)" + engine + R"(}}],"limits":{)" + limits + "}}";
        return platform::readConfiguration(item(text), zones, {}).has_value();
    };
    REQUIRE(isAccepted("1", "", "", ""));
    for (const std::string number : { "9223372036854775807", "18446744073709551615", "-1", "-1e300", "1e300" }) {
        INFO(number);
        CHECK_FALSE(isAccepted(number, "", "", ""));
        for (const auto* field : { "targetLatencyMs", "targetGapMs", "timeoutMs", "maxAttempts" })
            CHECK_FALSE(isAccepted("1", R"(,")" + std::string(field) + "\":" + number, "", ""));
        CHECK_FALSE(isAccepted("1", R"(,"trafficSplit":[{"service":"llm","weight":)" + number + "}]", "", ""));
        for (const auto* field : { "slots", "kvCapacity", "linkMbps", "kvHoldS", "roleSwitchS", "holdMs", "kvTokenBytes", "stride" })
            CHECK_FALSE(isAccepted("1", "", "\"" + std::string(field) + "\":" + number, ""));
        for (const auto* field : { "maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs" })
            CHECK_FALSE(isAccepted("1", "", "", "\"" + std::string(field) + "\":" + number));
    }
}

// Guards against a configuration of which a part is ignored, and against a stream that counts as
// repeatable although it can't be resumed.
TEST_CASE("configurations are parsed completely or not at all")
{
    const auto* text = R"({"version":7,"routes":[
        {"name":"a","host":"h","pathPrefix":"/a/","kind":"streaming","timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"llm","maxAttempts":1,"canResume":false,"targetGapMs":300},
        {"name":"b","host":"h","pathPrefix":"/b/","kind":"idempotent","timeoutMs":800,"maxAttempts":2,"trafficSplit":[{"service":"plain","weight":90},{"service":"llm","weight":10}]}],
        "services":[{"name":"llm","engine":{"slots":48,"kvCapacity":42121,"kvTokenBytes":18432,"linkMbps":8000.0,"stride":11,"kvHoldS":0.5,"roleSwitchS":6.0,"holdMs":2000.0}},{"name":"plain"}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
    const auto configuration = platform::readConfiguration(item(text), zones, {});
    REQUIRE(configuration);
    CHECK(configuration->version == 7);
    const auto& model = configuration->services.at(0);
    CHECK(model.type == ServiceType::Model);
    CHECK(model.pools.size() == 2);
    CHECK(model.pools[0].memoryBlocks == 42'121 / 16);
    CHECK(model.pools[0].linkBytesPerSecond == 1'000'000'000);
    CHECK(model.kinds.at(0).callerIdleTimeout == std::chrono::milliseconds(3'600));
    CHECK_FALSE(model.kinds[0].repeatable);
    CHECK(configuration->services.at(1).kinds.at(0).repeatable);
    CHECK(configuration->routes.at(1).targets.size() == 2);
    CHECK(configuration->limits.idleTimeout == std::chrono::seconds(15));
    for (const auto* faulty : { "[]", R"({"version":7})", R"({"version":"7","routes":[],"services":[]})", R"({"version":7,"routes":[{}],"services":[]})", R"({"version":7,"routes":[],"services":[{"name":3}]})" })
        CHECK_FALSE(platform::readConfiguration(item(faulty), zones, {}));
}

// Guards against a status that misstates whether the request ran, and against a Retry-After that is
// rounded away.
TEST_CASE("refusals state whether the request ran")
{
    const auto& protocol = platform::callerProtocol();
    using std::chrono::milliseconds;
    const auto notRun = protocol.refusal(refusalError(RefusalReason::Overloaded, ExecutionOutcome::NotRun, milliseconds(1'250)));
    CHECK(notRun.status == 503);
    CHECK(findHeader(notRun.headers, "Retry-After") == "1.250");
    CHECK(protocol.refusal(refusalError(RefusalReason::TooLarge, ExecutionOutcome::NotRun, {})).status == 503);
    CHECK(protocol.refusal(refusalError(RefusalReason::QueueFull, ExecutionOutcome::NotRun, {})).status == 429);
    for (const auto reason : { RefusalReason::RetriesExhausted, RefusalReason::CrashSuspect, RefusalReason::QueueFull, RefusalReason::Overloaded, RefusalReason::NoBackend, RefusalReason::Draining }) {
        const auto unknown = protocol.refusal(refusalError(reason, ExecutionOutcome::Unknown, milliseconds(500)));
        CHECK(unknown.status == 502);
        CHECK_FALSE(findHeader(unknown.headers, "Retry-After"));
    }
    CHECK(protocol.refusal(refusalError(RefusalReason::DeadlineExceeded, ExecutionOutcome::Unknown, {})).status == 504);
}

// Guards against prompt parts that are misread, so that requests that share a part look different.
TEST_CASE("the parts of a prompt are read in order, whatever the header contains")
{
    const auto partsOf = [](const std::string& text) {
        const auto call = platform::callerProtocol().decode({ "POST", "/a/b", { { "Host", "h" }, { "Prompt-Prefix", text } }, "" });
        return call->promptParts;
    };
    CHECK(partsOf("5c1e07a2:800, 91bd3f06:410,ffffffffffffffff:1") == std::vector<std::uint64_t> { 0x5c1e07a2, 0x91bd3f06, 0xffffffffffffffff });
    CHECK(partsOf("").empty());
    CHECK(partsOf(",:5,, ,").empty());
    // Ids that are not a number of 64 bits differ from each other.
    const auto unusual = partsOf("10000000000000000:1,xyz:2,12 :3");
    CHECK(std::set<std::uint64_t>(unusual.begin(), unusual.end()).size() == 3);
    CHECK(rc::check("arbitrary headers", [&](const std::string& text) { RC_ASSERT(partsOf(text).size() <= text.size()); }));
}

namespace {

/// @return the processor time of this thread that the fastest of several calls takes.
template <typename Call>
auto processorTime(Call call) -> std::chrono::nanoseconds
{
    auto shortest = std::chrono::nanoseconds::max();
    for (int run = 0; run < 5; ++run) {
        timespec begin {};
        timespec end {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &begin);
        call();
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
        shortest = std::min(shortest, std::chrono::seconds(end.tv_sec - begin.tv_sec) + std::chrono::nanoseconds(end.tv_nsec - begin.tv_nsec));
    }
    return shortest;
}

}

// Guards against requests of legal size whose work is the product of the number of their lines and of the names in their
// Connection field, so that a few of them keep an instance from answering others.
TEST_CASE("the work for a head grows with its size only")
{
    HttpRequest lines { "GET", "/x", std::vector<HttpHeader>(2'000, HttpHeader { "a", "" }), {} };
    HttpRequest names { "GET", "/x", { HttpHeader { "Connection", "b" } }, {} };
    for (int name = 1; name < 4'000; ++name)
        names.headers[0].value += ",b";
    auto both = lines;
    both.headers.insert(both.headers.begin(), names.headers[0]);
    const auto decode = [](const HttpRequest& request) { return processorTime([&] { (void)platform::callerProtocol().decode(request); }); };
    // Twice the size of the larger half, with room for noise.
    CHECK(decode(both) < 4 * (decode(lines) + decode(names)));
    const auto filter = [](const HttpRequest& request) { return processorTime([&] { (void)platform::callerProtocol().responseHeaders(request.headers); }); };
    CHECK(filter(both) < 4 * (filter(lines) + filter(names)));
}

// Guards against hop-by-hop fields that are forwarded because the list that names them is read differently.
TEST_CASE("fields that Connection names are not forwarded, whatever their case")
{
    const std::vector<HttpHeader> headers { { "X-First", "1" }, { "connection", "close, x-FIRST ,X-Last,," }, { "x-last", "2" }, { "X-Lasting", "3" }, { "Upgrade", "4" } };
    const auto kept = platform::callerProtocol().responseHeaders(headers);
    REQUIRE(kept.size() == 1);
    CHECK(kept[0].name == "X-Lasting");
}

// Guards against a timeout that overflows and counts as one that has passed.
TEST_CASE("the timeout of a caller may be any number")
{
    const auto timeout = [](const std::string& text) { return platform::callerProtocol().decode({ "GET", "/x", { HttpHeader { "Deadline-Ms", text } }, {} })->callerTimeout; };
    CHECK(timeout("250") == std::chrono::milliseconds(250));
    CHECK(timeout("9223372036854775807") >= std::chrono::hours(1));
    CHECK(timeout("9223372036854776") >= std::chrono::hours(1));
    CHECK(timeout("-9223372036854775808") <= Duration::zero());
    CHECK_FALSE(timeout("soon"));
}

// Guards against a limit that is misread, or a header of a faulty server that is taken for one.
TEST_CASE("the limit that a server names is a decimal number")
{
    const auto limitOf = [](const std::string& text) { return platform::backendProtocol().readNotice(200, { { "Server-Limit", text } }).callsPerSecond; };
    CHECK(limitOf("13.4") == 13.4);
    CHECK(limitOf("0") == 0);
    for (const auto* text : { "", "-1", "nan", "inf", "1e999", "5 ", "many" })
        CHECK_FALSE(limitOf(text));
    CHECK_FALSE(platform::backendProtocol().readNotice(200, {}).callsPerSecond);
    CHECK(rc::check("arbitrary headers", [&](const std::string& text) { RC_ASSERT(limitOf(text).value_or(0) >= 0); }));
}
