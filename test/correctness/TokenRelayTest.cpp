#include "RequestStateMachine.h"
#include "TokenEventReader.h"
#include "TokenSequence.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace jayhold;

namespace {

using Status = TokenEventReader::Status;

/// Parses a stream that arrives in chunks of the given sizes, which are used in rotation.
auto readChunks(const std::string& body, const std::vector<std::size_t>& sizes) -> std::vector<std::string>
{
    TokenEventReader reader;
    std::vector<std::string> texts;
    std::size_t position = 0;
    std::size_t index = 0;
    while (position < body.size()) {
        const auto size = std::min(sizes[index++ % sizes.size()], body.size() - position);
        // The chunk is copied, so that sanitizers detect a view that outlives it.
        const auto chunk = body.substr(position, size);
        position += size;
        reader.feed(chunk);
        TokenEvent event;
        auto status = Status::Event;
        while ((status = reader.next(event)) == Status::Event)
            texts.push_back(event.isDone ? "done" : std::string(event.text));
        RC_ASSERT(status == Status::NeedMore);
    }
    return texts;
}

}

// Guards against a token that is lost or split when a chunk of the stream ends within an event.
TEST_CASE("token events are parsed from chunks of any size")
{
    const std::string body = "data: {\"index\":0,\"text\":\"a\\n\\n\"}\n\ndata: {\"index\":1,\"text\":\" \xc3\xa9\"}\n\ndata: {\"done\":true,\"tokens\":2}\n\n";
    CHECK(rc::check("chunks of any size", [&] {
        const auto sizes = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 40)));
        RC_ASSERT(readChunks(body, sizes) == (std::vector<std::string> { "a\n\n", " \xc3\xa9", "done" }));
    }));
}

// Guards against an invalid event that is accepted as a token.
TEST_CASE("malformed token events are recognised")
{
    for (const std::string body : { "data: {\n\n", "event: x\n\n", "data: {\"index\":-1,\"text\":\"a\"}\n\n", "data: {\"index\":0}\n\n", "data: {\"done\":true}\n\n", "data: 7\n\n" }) {
        TokenEventReader reader;
        TokenEvent event;
        reader.feed(body);
        CHECK(reader.next(event) == Status::Malformed);
    }
}

// Guards against a token that is lost, duplicated or sent after the end.
TEST_CASE("the token sequence accepts each token once and in order")
{
    TokenSequence sequence;
    CHECK(sequence.acceptToken(0) == TokenCheckResult::Next);
    CHECK(sequence.acceptToken(0) == TokenCheckResult::Duplicate);
    CHECK(sequence.acceptToken(2) == TokenCheckResult::Gap);
    CHECK(sequence.acceptToken(1) == TokenCheckResult::Next);
    CHECK(sequence.acceptEnd(3) == TokenCheckResult::Gap);
    CHECK(sequence.acceptEnd(1) == TokenCheckResult::Gap);
    CHECK(sequence.count() == 2);
    CHECK(sequence.acceptEnd(2) == TokenCheckResult::Next);
    CHECK(sequence.acceptToken(2) == TokenCheckResult::AfterEnd);
    CHECK(sequence.acceptEnd(2) == TokenCheckResult::AfterEnd);
}

// Guards against late or duplicate results that change the response of a request.
TEST_CASE("the request state machine rejects invalid transitions")
{
    RequestStateMachine machine;
    CHECK(machine.stateName() == "queued");
    CHECK_FALSE(machine.apply(RequestTransition::TokenSent));
    CHECK_FALSE(machine.apply(RequestTransition::Finished));
    CHECK(machine.apply(RequestTransition::PrefillStarted));
    CHECK(machine.stateName() == "prefilling");
    CHECK(machine.apply(RequestTransition::PrefillDone));
    CHECK_FALSE(machine.apply(RequestTransition::PrefillDone));
    CHECK(machine.stateName() == "prefilled");
    CHECK(machine.apply(RequestTransition::DecodeStarted));
    CHECK(machine.stateName() == "transferring");
    CHECK(machine.apply(RequestTransition::TokenSent));
    CHECK(machine.stateName() == "streaming");
    CHECK(machine.apply(RequestTransition::TokenSent));
    CHECK(machine.apply(RequestTransition::DecodeFailed));
    CHECK(machine.stateName() == "interrupted");
    CHECK_FALSE(machine.apply(RequestTransition::TokenSent));
    CHECK(machine.apply(RequestTransition::PrefillStarted));
    CHECK(machine.apply(RequestTransition::PrefillDone));
    CHECK(machine.apply(RequestTransition::DecodeStarted));
    CHECK(machine.apply(RequestTransition::TokenSent));
    CHECK(machine.apply(RequestTransition::Finished));
    CHECK(machine.hasEnded());
    for (const auto step : { RequestTransition::TokenSent, RequestTransition::Finished, RequestTransition::Refused, RequestTransition::Cancelled, RequestTransition::PrefillStarted })
        CHECK_FALSE(machine.apply(step));
}

// Guards against a second final response, for any order of events.
TEST_CASE("a request ends once")
{
    CHECK(rc::check("any order of transitions", [] {
        RequestStateMachine machine;
        auto finalTransitions = 0;
        for (const auto number : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9))) {
            const auto step = static_cast<RequestTransition>(number);
            const auto isFinal = step == RequestTransition::Finished || step == RequestTransition::Refused || step == RequestTransition::Cancelled;
            finalTransitions += machine.apply(step) && isFinal ? 1 : 0;
        }
        RC_ASSERT(finalTransitions <= 1);
        RC_ASSERT(machine.hasEnded() == (finalTransitions == 1));
    }));
}
