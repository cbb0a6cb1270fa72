#include "../FakeObjectStore.h"
#include "../HttpTestServer.h"

#include "HttpObjectStore.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

struct Scene {
    ~Scene() { threads.stop(); }

    template <typename Result>
    auto run(boost::asio::awaitable<Result> task) -> Result
    {
        return runOn(threads, 0, std::move(task));
    }

    IoThreads threads { 2 };
    FakeObjectStore standin { threads };
    platform::HttpObjectStore store { sharedStoreSettings(standin.endpoint(), 10'000, 1) };
    HttpClient& client = threads.client(0);
};

}

// Guards against two holders of a lease because an answer that can't be read passes for an object that
// does not exist, or for an update that took effect.
TEST_CASE("an answer without an object is an error")
{
    Scene scene;
    scene.standin.setMalformed(true);
    CHECK(scene.run(scene.store.read(scene.client, "leases", "a")).error().kind == StoreErrorKind::MalformedAnswer);
    CHECK(scene.run(scene.store.update(scene.client, "leases", "a", "x", 0)).error().kind == StoreErrorKind::MalformedAnswer);
    CHECK(scene.run(scene.store.put(scene.client, "leases", "a", "x")).error().kind == StoreErrorKind::MalformedAnswer);
}

// Guards against a list that is asked for again without end.
TEST_CASE("a page of which nothing can be read ends the list")
{
    Scene scene;
    scene.standin.setMalformed(true);
    CHECK(scene.run(scene.store.list(scene.client, "servers", ReadMode::Current)).error().kind == StoreErrorKind::MalformedAnswer);
    CHECK(scene.standin.calls() == 1);
}

// Guards against an update that overwrites one that came first.
TEST_CASE("an update takes effect only on the revision that it expects")
{
    Scene scene;
    CHECK(scene.run(scene.store.read(scene.client, "leases", "a"))->revision == 0);
    const auto created = scene.run(scene.store.update(scene.client, "leases", "a", "first", 0));
    const auto revision = std::get<UpdateApplied>(*created).revision;
    CHECK(revision > 0);
    const auto again = scene.run(scene.store.update(scene.client, "leases", "a", "second", 0));
    CHECK(std::get<UpdateConflict>(*again).current.revision == revision);
    CHECK(std::holds_alternative<UpdateApplied>(*scene.run(scene.store.update(scene.client, "leases", "a", "third", revision))));
    const auto stale = scene.run(scene.store.update(scene.client, "leases", "a", "fourth", revision));
    CHECK(std::get<UpdateConflict>(*stale).current.value == "third");
}
