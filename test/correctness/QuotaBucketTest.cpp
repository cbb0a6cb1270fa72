#include "QuotaBucket.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };

auto bucketOf(double perSecond, double capacity, double level) -> QuotaBucket
{
    return { perSecond, capacity, level, start };
}

}

// Guards against a bucket that holds more than its capacity after a quiet time, or grants what it does not hold.
TEST_CASE("a bucket grants what it has gained and not more than its capacity")
{
    auto bucket = bucketOf(1'000, 500, 0);
    CHECK_FALSE(tryTake(bucket, start + 99ms, 100));
    CHECK(tryTake(bucket, start + 100ms, 100));
    CHECK(tryTake(bucket, start + 10s, 500));
    CHECK_FALSE(tryTake(bucket, start + 10s, 1));
}

// Guards against large requests that are never granted, or granted without being paid for.
TEST_CASE("a request larger than the capacity takes a full bucket and leaves a debt")
{
    auto bucket = bucketOf(1'000, 500, 499);
    CHECK_FALSE(tryTake(bucket, start, 800));
    CHECK(tryTake(bucket, start + 1ms, 800));
    CHECK(bucket.level == Approx(-300));
    empty(bucket, start + 1ms);
    CHECK(timeToGain(bucket, missingFor(bucket, 100), 8s) == 400ms);
    CHECK_FALSE(tryTake(bucket, start + 400ms, 100));
    CHECK(tryTake(bucket, start + 401ms, 100));
}

// Guards against a burst at the old limits after the quota was lowered.
TEST_CASE("lower limits apply at once")
{
    auto bucket = bucketOf(1'000, 500, 500);
    setLimits(bucket, start, 10, 50);
    CHECK_FALSE(missingFor(bucket, 500) > 0);
    CHECK(bucket.level == Approx(50));
    deposit(bucket, start, 1'000);
    CHECK(bucket.level == Approx(50));
}

// Guards against a lender that lends what its own zone needs.
TEST_CASE("a loan leaves what has to be kept")
{
    auto bucket = bucketOf(0, 500, 300.5);
    CHECK(takeUpTo(bucket, start, 1'000, 100) == 200);
    CHECK(takeUpTo(bucket, start, 1'000, 100) == 0);
    CHECK(timeToGain(bucket, 1, 8s) == 8s);
}
