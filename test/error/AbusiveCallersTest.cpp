#include "../AbusedRouter.h"
#include "../AbusiveRequests.h"

using namespace jayhold;
using namespace jayhold::test;
using namespace std::chrono_literals;

// Guards against a process that exceeds its memory because the fields of a request take many times their bytes.
TEST_CASE("requests of legal size with many header lines stay within the memory")
{
    AbusedRouter router;
    const auto* name = GENERATE("short", "empty-valued", "unusual");
    const auto& caller = *name == 's' ? shortLines : *name == 'e' ? emptyLines
                                                                  : unusualLines;
    router.check(std::string(name) + " header lines", router.callers, crowdOf(crowdSize, caller));
}

// Guards against a part of a request that has no end and is held until it has arrived.
TEST_CASE("parts of requests without an end stay within the memory")
{
    AbusedRouter router;
    const std::pair<const char*, const AbusiveCaller*> cases[] = { { "trailers", &trailers }, { "head over the limit", &largeHead }, { "endless head", &endlessHead },
        { "endless header lines", &endlessLines }, { "slow endless head", &slowHead }, { "empty lines before a request", &emptyLinesBefore }, { "chunk extensions", &chunkExtensions }, { "one-byte chunks", &smallChunks } };
    const auto index = GENERATE(range(0, 8));
    const auto& [name, caller] = cases[index];
    router.check(name, router.callers, crowdOf(crowdSize, *caller));
}

// Guards against connections that hold memory and send nothing, and against more connections than there are descriptors.
TEST_CASE("silent connections stay within the memory and the descriptors")
{
    AbusedRouter router;
    const auto index = GENERATE(range(0, 3));
    if (index == 0)
        router.check("unsent bodies", router.callers, crowdOf(crowdSize, unsentBody));
    else if (index == 1)
        router.check("many header lines and an unsent body", router.callers, crowdOf(crowdSize, unsentSmallBody));
    else
        router.check("connections that send nothing", router.callers, crowdOf(4 * crowdSize, silentCaller));
}

// Guards against requests or responses that pile up because the caller does not read.
TEST_CASE("pipelined requests whose responses are not read stay within the memory")
{
    AbusedRouter router;
    router.check("pipelined requests", router.callers, crowdOf(crowdSize, pipelined));
}

// Guards against bounds that hold for each sort of abuse alone, and not for their sum.
TEST_CASE("a mixture of abusive callers stays within the memory and the descriptors")
{
    AbusedRouter router;
    router.check("mixture", router.callers, mixtureOf(2 * crowdSize));
}

// Guards against the same faults at an address that the platform probes.
TEST_CASE("abusive callers of the readiness address stay within the memory and the descriptors")
{
    AbusedRouter router;
    router.check("readiness", router.readiness, mixtureOf(3 * crowdSize));
}

// Guards against figures in docs/CAPACITY.md that no run shows. Hidden: run it with "[capacity]".
TEST_CASE("what many abusive callers take in the smallest instance", "[.capacity]")
{
    const auto count = GENERATE(std::size_t { 50 }, std::size_t { 200 }, std::size_t { 1'000 });
    AbusedRouter router(smallestInstance);
    router.check(std::to_string(count) + " of all sorts", router.callers, mixtureOf(count));
}

// As the test before it, for the sort that takes most by request.
TEST_CASE("what many requests with many header lines take in the smallest instance", "[.capacity]")
{
    const auto count = GENERATE(std::size_t { 50 }, std::size_t { 200 }, std::size_t { 1'000 });
    AbusedRouter router(smallestInstance);
    router.check(std::to_string(count) + " with many header lines", router.callers, crowdOf(count, emptyLines));
}
