#include "RequestMachine.h"
#include "TokenEventReader.h"
#include "TokenSequence.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace jayhold;

namespace {

using Status = TokenEventReader::Status;

/// Reads a stream that arrives in pieces of the given sizes.
auto readPieces(const std::string& body, const std::vector<std::size_t>& sizes) -> std::vector<std::string>
{
    TokenEventReader reader;
    std::vector<std::string> texts;
    std::size_t position = 0;
    std::size_t turn = 0;
    while (position < body.size()) {
        const auto size = std::min(sizes[turn++ % sizes.size()], body.size() - position);
        // The piece is copied, so that a view kept beyond its life is found.
        const auto piece = body.substr(position, size);
        position += size;
        reader.feed(piece);
        TokenEvent event;
        auto status = Status::Event;
        while ((status = reader.next(event)) == Status::Event)
            texts.push_back(event.isDone ? "done" : std::string(event.text));
        RC_ASSERT(status == Status::NeedMore);
    }
    return texts;
}

}

// Guards against a token lost or split where the pieces of a stream end within an event.
TEST_CASE("token events survive any cutting of the stream")
{
    const std::string body = "data: {\"index\":0,\"text\":\"a\\n\\n\"}\n\ndata: {\"index\":1,\"text\":\" \xc3\xa9\"}\n\ndata: {\"done\":true,\"tokens\":2}\n\n";
    CHECK(rc::check("pieces of any size", [&] {
        const auto sizes = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 40)));
        RC_ASSERT(readPieces(body, sizes) == (std::vector<std::string> { "a\n\n", " \xc3\xa9", "done" }));
    }));
}

// Guards against a faulty event that is taken for a token.
TEST_CASE("malformed token events are recognised")
{
    for (const std::string body : { "data: {\n\n", "event: x\n\n", "data: {\"index\":-1,\"text\":\"a\"}\n\n", "data: {\"index\":0}\n\n", "data: {\"done\":true}\n\n", "data: 7\n\n" }) {
        TokenEventReader reader;
        TokenEvent event;
        reader.feed(body);
        CHECK(reader.next(event) == Status::Malformed);
    }
}

// Guards against a token lost, sent twice or sent after the end.
TEST_CASE("the token sequence takes each token once and in order")
{
    TokenSequence sequence;
    CHECK(sequence.takeToken(0) == TokenVerdict::Next);
    CHECK(sequence.takeToken(0) == TokenVerdict::Repeated);
    CHECK(sequence.takeToken(2) == TokenVerdict::Gap);
    CHECK(sequence.takeToken(1) == TokenVerdict::Next);
    CHECK(sequence.takeEnd(3) == TokenVerdict::Gap);
    CHECK(sequence.takeEnd(1) == TokenVerdict::Gap);
    CHECK(sequence.count() == 2);
    CHECK(sequence.takeEnd(2) == TokenVerdict::Next);
    CHECK(sequence.takeToken(2) == TokenVerdict::AfterEnd);
    CHECK(sequence.takeEnd(2) == TokenVerdict::AfterEnd);
}

// Guards against late and doubled outcomes that change the answer of a request.
TEST_CASE("the request machine rejects steps that can't follow")
{
    RequestMachine machine;
    CHECK(machine.stateName() == "queued");
    CHECK_FALSE(machine.apply(RequestStep::TokenSent));
    CHECK_FALSE(machine.apply(RequestStep::Finished));
    CHECK(machine.apply(RequestStep::PrefillStarted));
    CHECK(machine.stateName() == "prefilling");
    CHECK(machine.apply(RequestStep::PrefillDone));
    CHECK_FALSE(machine.apply(RequestStep::PrefillDone));
    CHECK(machine.stateName() == "prefilled");
    CHECK(machine.apply(RequestStep::DecodeStarted));
    CHECK(machine.stateName() == "transferring");
    CHECK(machine.apply(RequestStep::TokenSent));
    CHECK(machine.stateName() == "streaming");
    CHECK(machine.apply(RequestStep::TokenSent));
    CHECK(machine.apply(RequestStep::DecodeFailed));
    CHECK(machine.stateName() == "interrupted");
    CHECK_FALSE(machine.apply(RequestStep::TokenSent));
    CHECK(machine.apply(RequestStep::PrefillStarted));
    CHECK(machine.apply(RequestStep::PrefillDone));
    CHECK(machine.apply(RequestStep::DecodeStarted));
    CHECK(machine.apply(RequestStep::TokenSent));
    CHECK(machine.apply(RequestStep::Finished));
    CHECK(machine.hasEnded());
    for (const auto step : { RequestStep::TokenSent, RequestStep::Finished, RequestStep::Refused, RequestStep::Cancelled, RequestStep::PrefillStarted })
        CHECK_FALSE(machine.apply(step));
}

// Guards against a second final answer, whatever the order of events.
TEST_CASE("a request ends once")
{
    CHECK(rc::check("any order of steps", [] {
        RequestMachine machine;
        auto endings = 0;
        for (const auto number : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9))) {
            const auto step = static_cast<RequestStep>(number);
            const auto isEnding = step == RequestStep::Finished || step == RequestStep::Refused || step == RequestStep::Cancelled;
            endings += machine.apply(step) && isEnding ? 1 : 0;
        }
        RC_ASSERT(endings <= 1);
        RC_ASSERT(machine.hasEnded() == (endings == 1));
    }));
}
