#include "../RestorableZone.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

/// Time within which a change has to take effect at every instance.
constexpr auto propagationBound = 2s;

}

// Guards against a restore of the store that operators can't see, and revisions that they can't compare.
TEST_CASE("a restore of the store is logged and counted")
{
    RestorableZone zone(1);
    zone.store.put("config", "main", 1);
    zone.store.saveCopy();
    zone.store.put("config", "main", 2);
    REQUIRE(zone.reachesVersion(2, propagationBound));
    auto& instance = zone.last();
    CHECK_FALSE(instance.hasLogged("store_restored"));
    zone.store.restore();
    zone.store.put("config", "main", 3);
    REQUIRE(zone.reachesVersion(3, propagationBound));
    CHECK(instance.hasLogged("store_restored"));
    std::atomic<std::int64_t> history { 0 };
    instance.post([&](StoreDirectory& directory) { history = directory.summary().storeHistory; });
    std::this_thread::sleep_for(50ms);
    CHECK(history == zone.store.history());
}
