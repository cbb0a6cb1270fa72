#include "../RouterFixture.h"

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// A router with a server that is registered late.
struct LateServerFixture : RouterFixture {
    ~LateServerFixture() { stop(); }

    FakeBackendServer added { threads, "plain-3" };
};

}

// Guards against an instance that ends, or stops following the list of servers, after another writer has
// left entries that can't be parsed.
TEST_CASE("the router serves and follows changes after odd entries")
{
    LateServerFixture fixture;
    const auto deep = std::string(500'000, '[') + std::string(500'000, ']');
    const auto isForEachKind = [&](const std::string& name, const std::string& text) {
        for (const auto* kind : { "servers", "config", "entry-instances", "entry-blocked-parts", "entry-leases" })
            fixture.platform.putText(kind, name, text);
    };
    isForEachKind("odd-listed", deep);
    isForEachKind("odd-number", R"({"slots":1e999999999999})");
    fixture.startAndWait();
    CHECK(fixture.call("GET", "/read/x")->status == 200);
    // The same while the list is watched.
    isForEachKind("odd-watched", deep);
    isForEachKind("odd-watched-number", R"({"slots":1e999999999999})");
    fixture.registerServer(fixture.added, "ledger", {});
    CHECK(fixture.waitUntil([&] {
        fixture.call("GET", "/read/x");
        return fixture.added.runs() > 0;
    }));
    CHECK(fixture.isReady());
    CHECK(fixture.call("GET", "/read/x")->status == 200);
}
