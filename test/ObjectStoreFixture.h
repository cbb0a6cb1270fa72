#pragma once

/// The platform's object store client on a fake store.

#include "FakeObjectStore.h"
#include "HttpTestServer.h"

#include "HttpObjectStore.h"

namespace jayhold::test {

struct ObjectStoreFixture {
    ObjectStoreFixture() = default;
    ~ObjectStoreFixture() { threads.stop(); }
    ObjectStoreFixture(const ObjectStoreFixture&) = delete;
    auto operator=(const ObjectStoreFixture&) -> ObjectStoreFixture& = delete;

    template <typename Result>
    auto run(boost::asio::awaitable<Result> task) -> Result
    {
        return runOn(threads, 0, std::move(task));
    }

    auto list(std::string kind) -> StoreResult<ItemList> { return run(store.list(client, std::move(kind), ReadMode::Current)); }

    IoThreads threads { 2 };
    FakeObjectStore fake { threads };
    platform::HttpObjectStore store { sharedStoreSettings(fake.endpoint(), 10'000, 1) };
    HttpClient& client = threads.client(0);
};

}
