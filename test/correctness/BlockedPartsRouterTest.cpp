#include "../RouterFixture.h"

using namespace jayhold;
using namespace jayhold::test;

// Guards against an instance that runs a request that crashes engines because it started after the crashes.
TEST_CASE("a request that crashes engines is refused, also by a new process")
{
    RouterFixture fixture;
    fixture.decode1.setBehaviour(Behaviour::DropConnection);
    fixture.decode2.setBehaviour(Behaviour::DropConnection);
    fixture.startAndWait();
    const auto call = [&](const std::string& body) { return fixture.call("POST", "/once/x", body, { { "Model", "m" }, { "Token-Counts", "100,200" } })->status; };
    // Connections that break on one engine within two seconds count as one crash.
    REQUIRE(fixture.waitUntil([&] { return call("crashing") == 503; }));
    fixture.decode1.setBehaviour(Behaviour::Answer);
    fixture.decode2.setBehaviour(Behaviour::Answer);
    // Longer than the delay of the write to the store.
    std::this_thread::sleep_for(600ms);
    fixture.router.reset();
    fixture.startAndWait();
    CHECK(fixture.waitUntil([&] { return call("other") == 200; }));
    const auto runs = fixture.decode1.runs() + fixture.decode2.runs();
    CHECK(call("crashing") == 503);
    CHECK(fixture.decode1.runs() + fixture.decode2.runs() == runs);
}

// Guards against an instance that runs requests with a blocked part of the prompt because it started after
// the part was found, and against harmless requests that are refused for the other parts that they share.
TEST_CASE("a prompt part that crashes engines is refused, also by a new process")
{
    RouterFixture fixture;
    fixture.decode1.setBehaviour(Behaviour::DropConnection);
    fixture.decode2.setBehaviour(Behaviour::DropConnection);
    fixture.startAndWait();
    const auto callWith = [&](const std::string& parts) {
        const auto body = "prompt " + std::to_string(fixture.requests);
        return fixture.call("POST", "/once/x", body, { { "Model", "m" }, { "Token-Counts", "100,200" }, { "Prompt-Prefix", parts + ",ff" + std::to_string(fixture.requests) + ":50" } })->status;
    };
    // Connections that break on one engine within two seconds count as one crash.
    REQUIRE(fixture.waitUntil([&] { return callWith("a1:30,b2:20") == 503; }));
    const auto crashes = fixture.decode1.runs() + fixture.decode2.runs();
    CHECK(callWith("a1:30,b2:20") == 503);
    CHECK(fixture.decode1.runs() + fixture.decode2.runs() == crashes);
    fixture.decode1.setBehaviour(Behaviour::Answer);
    fixture.decode2.setBehaviour(Behaviour::Answer);
    CHECK(fixture.waitUntil([&] { return callWith("a1:30") == 200; }));
    // Longer than the delay of the write to the store.
    std::this_thread::sleep_for(600ms);
    fixture.router.reset();
    fixture.startAndWait();
    CHECK(fixture.waitUntil([&] { return callWith("a1:30") == 200; }));
    const auto runs = fixture.decode1.runs() + fixture.decode2.runs();
    CHECK(callWith("a1:30,b2:20") == 503);
    CHECK(fixture.decode1.runs() + fixture.decode2.runs() == runs);
}

// Guards against a crashing part deep in a long prompt that is not compared, so that requests with it crash one engine after
// the other, and against harmless requests that are refused for the parts around it.
TEST_CASE("a crashing part deep in a long prompt is refused, and harmless requests with its other parts are not")
{
    RouterFixture fixture;
    fixture.startAndWait();
    const auto callWith = [&](const std::string& deepPart) {
        std::string parts;
        for (int part = 0; part < 60; ++part)
            parts += (part == 50 ? deepPart : "5c1e0" + std::to_string(part)) + ":1,";
        const auto body = "prompt " + std::to_string(fixture.requests);
        return fixture.call("POST", "/once/x", body, { { "Model", "m" }, { "Token-Counts", "100,200" }, { "Prompt-Prefix", parts + "ff" + std::to_string(fixture.requests) + ":40" } })->status;
    };
    REQUIRE(fixture.waitUntil([&] { return callWith("a1") == 200; }));
    fixture.decode1.setBehaviour(Behaviour::DropConnection);
    fixture.decode2.setBehaviour(Behaviour::DropConnection);
    // Connections that break on one engine within two seconds count as one crash.
    CHECK(fixture.waitUntil([&] { return callWith("b2") == 503; }));
    const auto crashes = fixture.decode1.runs() + fixture.decode2.runs();
    CHECK(callWith("b2") == 503);
    CHECK(fixture.decode1.runs() + fixture.decode2.runs() == crashes);
    fixture.decode1.setBehaviour(Behaviour::Answer);
    fixture.decode2.setBehaviour(Behaviour::Answer);
    CHECK(fixture.waitUntil([&] { return callWith("a1") == 200; }));
}
