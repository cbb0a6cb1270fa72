#include "JsonElements.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

using namespace jayhold;

namespace {

/// More levels than fit on a stack if each took a call of a function.
constexpr std::size_t deepLevels = 500'000;

auto deepText() -> std::string
{
    return std::string(deepLevels, '[') + std::string(deepLevels, ']');
}

/// A text of few tokens, so that generated texts are often close to valid JSON.
auto tokenText() -> rc::Gen<std::string>
{
    return rc::gen::container<std::string>(rc::gen::element('{', '}', '[', ']', '"', ',', ':', '\\', ' ', '1', 'a', '\xff'));
}

}

// Guards against an element that is cut at a bracket, a comma or a quote within a string.
TEST_CASE("the elements of arrays and objects are split at their ends")
{
    using Texts = std::vector<std::string_view>;
    CHECK(splitJsonArray(R"( [ 1 , "a,]\"\\" ,{"b":[2,"}"]},[] , null] )") == Texts { "1", R"("a,]\"\\")", R"({"b":[2,"}"]})", "[]", "null" });
    CHECK(splitJsonArray("[]") == Texts {});
    CHECK(splitJsonObject(" { } ")->empty());
    const auto members = splitJsonObject(R"({"a":1,"b":{"a":2}, "a" : "x:y"})");
    REQUIRE(members);
    CHECK(members->size() == 3);
    CHECK(memberValue(*members, "b") == R"({"a":2})");
    CHECK(memberValue(*members, "a") == R"("x:y")");
    CHECK(memberValue(*members, "c").empty());
}

// Guards against a text without an end that is taken for a complete one.
TEST_CASE("text that is not an array or an object is not split")
{
    for (const auto* text : { "", "1", "{}", "[", "[1", "[1,", "[1,]", "[,1]", "[1 2]", "[\"a]", "[\"a\\\"]", "[{]", "[] x" })
        CHECK_FALSE(splitJsonArray(text));
    for (const auto* text : { "", "[]", "{", "{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{a:1}", "{\"a\":1", "{\"a\":[}", "{\"a\":1} x" })
        CHECK_FALSE(splitJsonObject(text));
}

// Guards against a stack overflow.
TEST_CASE("an element may be nested to any depth")
{
    const auto deep = deepText();
    const auto elements = splitJsonArray("[1," + deep + ",2]");
    REQUIRE(elements);
    CHECK(elements->size() == 3);
    CHECK(elements->at(1).size() == deep.size());
}

// Guards against a split that differs from what a JSON parser reads, and against reads beyond the text.
TEST_CASE("the split agrees with a JSON parser on every valid text")
{
    CHECK(rc::check("arrays", [] {
        const auto text = "[" + *tokenText() + "]";
        const auto elements = splitJsonArray(text);
        boost::system::error_code code;
        const auto value = boost::json::parse(text, code);
        if (code || !value.is_array())
            return;
        RC_ASSERT(elements.has_value());
        RC_ASSERT(elements->size() == value.get_array().size());
        for (std::size_t index = 0; index < elements->size(); ++index)
            RC_ASSERT(boost::json::parse(std::string(elements->at(index))) == value.get_array()[index]);
    }));
    CHECK(rc::check("objects", [] { splitJsonObject("{" + *tokenText() + "}"); }));
}
