#include "../ObjectStoreFixture.h"

#include "StoreRevision.h"
#include "StoredItemText.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

using Fixture = test::ObjectStoreFixture;

auto nested(std::size_t levels) -> std::string
{
    return std::string(levels, '[') + std::string(levels, ']');
}

/// Values that a JSON parser rejects, as other writers may leave them. The deepest has 1 MB.
auto oddValues() -> std::vector<std::string>
{
    return { nested(33), nested(500'000), R"({"slots":1e999999999999})", "\"\xff\xfe\"", R"({"a":"\ud800"})", "nan", "{,}" };
}

auto namesOf(const ItemList& list) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& item : list.items)
        names.push_back(item.name);
    return names;
}
}

// Guards against a list that is never read again because one of its items can't be parsed.
TEST_CASE("an item that can't be parsed costs only itself in a list")
{
    const auto odd = GENERATE(from_range(oddValues()));
    Fixture fixture;
    for (const auto* name : { "a", "c", "d" })
        fixture.fake.put("servers", name, 1);
    fixture.fake.putText("servers", "b", odd);
    const auto list = fixture.list("servers");
    REQUIRE(list.has_value());
    CHECK(namesOf(*list) == std::vector<std::string> { "a", "c", "d" });
    CHECK(list->unreadable == 1);
    CHECK(list->unreadableNames == std::vector<std::string> { "b" });
}

// Guards against instances that exceed their memory when other writers store large values.
TEST_CASE("large values of other writers are not kept")
{
    Fixture fixture;
    std::string counts = "[1";
    while (counts.size() < 30'000)
        counts += ",1";
    counts += "]";
    fixture.fake.putText("servers", "a", "{\"counts\":" + counts + ",\"zone\":" + counts + ",\"service\":\"x\"}");
    fixture.fake.putText("servers", "b", counts);
    fixture.fake.putText("servers", "c", "{\"service\":\"" + std::string(100'000, 'x') + "\"}");
    fixture.fake.put("servers", "d", { { "service", "y" } });
    const auto check = [](const auto& value, const char* service) {
        CHECK(value == boost::json::value { { "service", service }, { "zone", nullptr } });
    };
    const auto list = fixture.list("servers");
    REQUIRE(list.has_value());
    REQUIRE(namesOf(*list) == std::vector<std::string> { "a", "b", "d" });
    check(list->items[0].value, "x");
    CHECK(list->items[1].value.is_null());
    CHECK(list->items[2].value == boost::json::value { { "service", "y" } });
    CHECK(list->unreadableNames == std::vector<std::string> { "c" });
    const auto changes = fixture.run(fixture.store.watch(fixture.client, "servers", makeRevision(fixture.fake.history(), 1), 100ms));
    REQUIRE(changes.has_value());
    REQUIRE(changes->changes.size() == 3);
    check(changes->changes[0].item.value, "x");
    CHECK(changes->changes[1].item.value.is_null());
    CHECK(changes->unreadableNames == std::vector<std::string> { "c" });
}

// Guards against a configuration that is ignored because of a limit that is meant for entries of servers.
TEST_CASE("a large configuration is read")
{
    Fixture fixture;
    const std::string large(900'000, 'x');
    fixture.fake.put("config", "main", { { "comment", large } });
    const auto list = fixture.list("config");
    REQUIRE(list.has_value());
    REQUIRE(namesOf(*list) == std::vector<std::string> { "main" });
    CHECK(list->items[0].value.at("comment").as_string() == large);
}

// Guards against a list that can't be read, or lacks objects, because of one whose name can't be read.
TEST_CASE("an item without a readable name costs only itself in a list")
{
    const auto* odd = GENERATE(R"({"metadata":{"name":7,"revision":2},"spec":1})", R"({"metadata":[],"spec":1})", "7", R"({"spec":1})");
    Fixture fixture;
    for (const auto* name : { "a", "c", "d" })
        fixture.fake.put("servers", name, 1);
    fixture.fake.putItemText("servers", "b", odd);
    const auto list = fixture.list("servers");
    REQUIRE(list.has_value());
    CHECK(namesOf(*list) == std::vector<std::string> { "a", "c", "d" });
    CHECK(list->unreadable > 0);
    CHECK(list->unreadableNames.empty());
}

// Guards against a watch that fails again and again on the same event.
TEST_CASE("an event that can't be parsed costs only itself in a watch")
{
    const auto odd = GENERATE(from_range(oddValues()));
    Fixture fixture;
    fixture.fake.put("servers", "a", 1);
    fixture.fake.putText("servers", "b", odd);
    fixture.fake.put("servers", "c", 1);
    fixture.fake.remove("servers", "b");
    const auto changes = fixture.run(fixture.store.watch(fixture.client, "servers", makeRevision(fixture.fake.history(), 1), 100ms));
    REQUIRE(changes.has_value());
    CHECK(changes->revision == makeRevision(fixture.fake.history(), 5));
    CHECK(changes->unreadable == 1);
    CHECK(changes->unreadableNames == std::vector<std::string> { "b" });
    REQUIRE(changes->changes.size() == 3);
    CHECK(changes->changes[1].item.name == "c");
    // A removal needs no value.
    CHECK(changes->changes[2].item.name == "b");
    CHECK(changes->changes[2].isDeleted);
}

// Guards against a page whose last item can't be parsed, so that the next page starts too early or never.
TEST_CASE("a page may end with items of which only the name can be read")
{
    Fixture fixture;
    fixture.fake.putText("servers", "a", nested(33));
    fixture.fake.putText("servers", "b", nested(33));
    fixture.fake.put("servers", "c", 1);
    const auto list = fixture.list("servers");
    REQUIRE(list.has_value());
    CHECK(namesOf(*list) == std::vector<std::string> { "c" });
    CHECK(list->unreadableNames == std::vector<std::string> { "a", "b" });
}

// Guards against a list that skips items, repeats them or fails because a name is sent unescaped in the
// request for the next page.
TEST_CASE("pages may end with names of reserved characters")
{
    const std::vector<std::string> names { "a b", "a#b", "a%41", "a&after=z", "a+b", "a/b", "a=b", "a?b", "a\r\n\r\nb", "a\xc3\xa9" };
    for (const auto& name : names) {
        Fixture fixture;
        fixture.fake.put("servers", "0", 1);
        for (const auto* other : { "b", "c" })
            fixture.fake.put("servers", other, 1);
        fixture.fake.put("servers", name, 1);
        INFO(name);
        const auto list = fixture.list("servers");
        REQUIRE(list.has_value());
        CHECK(namesOf(*list) == std::vector<std::string> { "0", name, "b", "c" });
    }
}

// Guards against a request for the next page that HTTP servers refuse because of its size.
TEST_CASE("a page may contain a name of 1 MB")
{
    Fixture fixture;
    const std::string huge(1'000'000, 'b');
    fixture.fake.put("servers", "a", 1);
    fixture.fake.put("servers", huge, 1);
    fixture.fake.put("servers", "c", 1);
    const auto list = fixture.list("servers");
    REQUIRE(list.has_value());
    CHECK(namesOf(*list) == std::vector<std::string> { "a", "c" });
}

// Guards against a lease or a list of blocked parts that can never be written again.
TEST_CASE("an object whose value can't be parsed can be replaced")
{
    Fixture fixture;
    fixture.fake.putText("leases", "a", nested(500'000));
    const auto current = fixture.run(fixture.store.read(fixture.client, "leases", "a"));
    REQUIRE(current.has_value());
    CHECK(current->revision == makeRevision(fixture.fake.history(), 2));
    CHECK_FALSE(current->value.is_object());
    CHECK_FALSE(current->value.is_null());
    const auto outcome = fixture.run(fixture.store.update(fixture.client, "leases", "a", "new", current->revision));
    REQUIRE(outcome.has_value());
    CHECK(std::holds_alternative<UpdateApplied>(*outcome));
}

// Guards against an object that is used although its name, revision or value has another type.
TEST_CASE("an object is read only if its name and revision are valid")
{
    using platform::completeItem;
    using platform::readItemText;
    CHECK(completeItem(readItemText(R"({"metadata":{"name":"a","revision":7},"spec":{"x":1}})"))->revision == 7);
    CHECK(completeItem(readItemText(R"({"metadata":{"name":"a","revision":7}})"))->value.is_null());
    for (const auto* text : { "", "7", "{}", R"({"metadata":7})", R"({"metadata":{"name":7,"revision":7}})", R"({"metadata":{"name":"a"}})", R"({"metadata":{"name":"a","revision":"7"}})",
             R"({"metadata":{"name":"a","revision":7.5}})", R"({"metadata":{"name":"a","revision":1e30}})", R"({"metadata":{"name":"a","revision":9223372036854775808}})", R"({"metadata":{"name":"a","revision":-1}})", R"({"metadata":{"name":"a","revision":1099511627776}})" })
        CHECK_FALSE(completeItem(readItemText(text)));
}

// Guards against an odd item that costs another item of its page, whatever it is and wherever it is.
TEST_CASE("a random odd item at a random place costs no other item")
{
    Fixture fixture;
    int round = 0;
    CHECK(rc::check("lists", [&] {
        const auto kind = "kind-" + std::to_string(++round);
        const auto count = *rc::gen::inRange(0, 6);
        const auto place = *rc::gen::inRange(0, count + 1);
        // Brackets and quotes match, as the store accepts only JSON; all else is free.
        const auto levels = *rc::gen::inRange<std::size_t>(0, 2'000);
        const auto scalar = *rc::gen::element<std::string>("1e999999999999", "-1e400", "\"\xff\"", R"("]}\"")", "nan", "0x1", "99999999999999999999", "null");
        const auto text = *rc::gen::element<std::string>("", R"({"slots":)");
        std::vector<std::string> expected;
        for (auto index = 0; index < count; ++index) {
            const auto name = "n" + std::to_string(2 * index + 1);
            fixture.fake.put(kind, name, index);
            expected.push_back(name);
        }
        const auto oddName = "n" + std::to_string(2 * place);
        const auto value = std::string(levels, '[') + scalar + std::string(levels, ']');
        fixture.fake.putText(kind, oddName, text.empty() ? value : text + value + "}");
        const auto list = fixture.list(kind);
        RC_ASSERT(list.has_value());
        auto names = namesOf(*list);
        std::erase(names, oddName);
        RC_ASSERT(names == expected);
        RC_ASSERT(list->items.size() + list->unreadable == expected.size() + 1);
    }));
}
