#include "RetryDelayFormat.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>

using namespace jayhold;
using namespace jayhold::platform;
using namespace std::chrono_literals;

namespace {

/// Sun, 06 Nov 1994 08:49:37 GMT
constexpr std::chrono::system_clock::time_point someDate { 784'111'777s };

auto parsed(std::string_view text) -> std::optional<Duration>
{
    return parseRetryDelay(text, someDate);
}

}

// Guards against a pause that is shorter than the server asks for, because a fraction is cut off.
TEST_CASE("a retry delay is a number of seconds that may have a fraction")
{
    CHECK(parsed("2") == 2s);
    CHECK(parsed("1.5") == 1500ms);
    CHECK(parsed(" 0.25\t") == 250ms);
    CHECK(parsed("0.0000001") == 1us);
    CHECK(parsed("0010") == 10s);
    CHECK(parsed("3600") == 1h);
}

// Guards against a server that is never used again, or a point in time that overflows, after a faulty value.
TEST_CASE("zero, huge and tiny retry delays have defined results")
{
    CHECK(parsed("0") == 0s);
    CHECK(parsed("0.0") == 0s);
    CHECK(parsed("99999999999999999999") == maxRetryDelay);
    CHECK(parsed(std::string(400, '9')) == maxRetryDelay);
    CHECK(parsed("31536000") == maxRetryDelay);
    CHECK(parsed("31536001") == maxRetryDelay);
    CHECK(parsed("0." + std::string(400, '0') + "1") == 1us);
    CHECK(TimePoint::max() - maxRetryDelay > monotonicNow());
}

// Guards against a pause that a server did not ask for, because part of an unreadable value is taken as a number.
TEST_CASE("an unreadable retry delay has no result")
{
    for (const auto* text : { "", " ", "-1", "-0", "+1", "1e3", "0x10", "inf", "nan", "1,5", "1 2", "10, 20", "5s", ".5", "5.", "1.2.3", "soon", "\"5\"" })
        CHECK_FALSE(parsed(text));
}

// Guards against a pause that starts from the wrong time or is unbounded, because a date is misread.
TEST_CASE("a retry delay may be an HTTP date in each of its forms")
{
    CHECK(parsed("Sun, 06 Nov 1994 08:49:39 GMT") == 2s);
    CHECK(parsed("Sunday, 06-Nov-94 08:50:37 GMT") == 1min);
    CHECK(parsed("Sun Nov  6 08:49:38 1994") == 1s);
    CHECK(parsed("Sun, 06 Nov 1994 08:49:37 GMT") == 0s);
    CHECK(parsed("Sat, 05 Nov 1994 08:49:37 GMT") == 0s);
    CHECK(parsed("Fri, 31 Dec 9999 23:59:59 GMT") == maxRetryDelay);
    CHECK(parseRetryDelay("Sun, 06 Nov 1994 08:49:39 GMT", someDate + 500ms) == 1500ms);
    for (const auto* text : { "Sun, 06 Nov 1994 08:49:39", "Sun, 06 Nov 1994 08:49:39 CET", "Sun, 31 Feb 1994 08:49:39 GMT", "Sun, 06 Nov 1994 25:49:39 GMT", "1994-11-06T08:49:39Z", "Sun, 06 Nov 1994 08:49:39 GMT x" })
        CHECK_FALSE(parsed(text));
}

// Guards against any text that a server may send ending the process or giving a time outside the bounds.
TEST_CASE("the retry delay of any text is absent or within its bounds")
{
    rc::prop("any text is read within bounds", [](const std::string& text) {
        const auto delay = parsed(text);
        RC_ASSERT(!delay || (*delay >= Duration::zero() && *delay <= maxRetryDelay));
    });
    rc::prop("milliseconds are read exactly", [](std::uint32_t milliseconds) {
        const auto fraction = std::to_string(1'000 + milliseconds % 1'000).substr(1);
        RC_ASSERT(parsed(std::to_string(milliseconds / 1'000) + "." + fraction) >= std::chrono::milliseconds(milliseconds));
        RC_ASSERT(parsed(std::to_string(milliseconds / 1'000) + "." + fraction) <= std::chrono::milliseconds(milliseconds) + 1us);
    });
}
