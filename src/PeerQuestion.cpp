#include "PeerQuestion.h"

#include "JsonFields.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace jayhold {

namespace json = boost::json;

namespace {

constexpr std::string_view questionField = "question";
constexpr std::string_view replyField = "reply";

auto readQuestion(const json::object& object, std::string_view field) -> std::optional<PeerQuestion>
{
    PeerQuestion question;
    if (!readNumber(object, field, question.number) || !readName(object, "run", question.run))
        return std::nullopt;
    return question;
}

}

auto serializeQuestion(const PeerQuestion& question) -> std::string
{
    return json::serialize(json::object { { questionField, question.number }, { "run", question.run } });
}

auto serializeReply(const PeerReply& reply) -> std::string
{
    json::object revisions;
    for (const auto& [kind, revision] : reply.revisions)
        revisions[kind] = revision;
    return json::serialize(json::object { { replyField, reply.question.number }, { "run", reply.question.run }, { "from", reply.instance }, { "revisions", std::move(revisions) } });
}

auto parseQuestion(std::string_view text) -> std::optional<PeerQuestion>
{
    const auto object = parseObject(text);
    return object ? readQuestion(*object, questionField) : std::nullopt;
}

auto parseReply(std::string_view text) -> std::optional<PeerReply>
{
    const auto object = parseObject(text);
    auto question = object ? readQuestion(*object, replyField) : std::nullopt;
    PeerReply reply;
    if (!question || !readName(*object, "from", reply.instance))
        return std::nullopt;
    reply.question = std::move(*question);
    const auto* revisions = objectField(*object, "revisions");
    for (const auto& kind : revisions ? *revisions : json::object()) {
        std::int64_t revision = 0;
        if (readNumber(*revisions, kind.key(), revision))
            reply.revisions[kind.key()] = revision;
    }
    return reply;
}

}
