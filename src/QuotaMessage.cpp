#include "QuotaMessage.h"

#include "JsonFields.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iterator>

namespace jayhold {

namespace json = boost::json;

namespace {

constexpr std::string_view typeField = "quota";
constexpr std::string_view typePrefix = R"({"quota":)";
/// In the order of QuotaMessageType.
constexpr std::string_view typeNames[] = { "ask", "granted", "refused", "not_owner", "loan_request", "loan", "return" };

}

auto isQuotaMessage(std::string_view text) -> bool
{
    return text.starts_with(typePrefix);
}

auto serializeQuotaMessage(const QuotaMessage& message) -> std::string
{
    json::object object {
        { typeField, typeNames[static_cast<std::size_t>(message.type)] },
        { "from", message.instance },
        { "zone", message.zone },
        { "id", message.id },
        { "customer", message.customer },
        { "amount", message.amount },
    };
    if (message.type == QuotaMessageType::Refused) {
        object["retry_us"] = message.retryAfter.count();
        object["available"] = message.available;
        object["promised"] = message.promised;
    }
    if (!message.owner.empty())
        object["owner"] = message.owner;
    if (message.isDraining)
        object["draining"] = true;
    return json::serialize(object);
}

auto parseQuotaMessage(std::string_view text) -> std::optional<QuotaMessage>
{
    const auto object = parseObject(text);
    std::string typeName;
    QuotaMessage message;
    if (!object || !readText(*object, typeField, typeName) || !readName(*object, "from", message.instance) || !readNumber(*object, "id", message.id))
        return std::nullopt;
    const auto type = std::ranges::find(typeNames, typeName);
    if (type == std::end(typeNames))
        return std::nullopt;
    message.type = static_cast<QuotaMessageType>(type - std::begin(typeNames));
    readName(*object, "zone", message.zone);
    readName(*object, "customer", message.customer);
    readName(*object, "owner", message.owner);
    readBoolean(*object, "draining", message.isDraining);
    readNumber(*object, "available", message.available);
    readNumber(*object, "promised", message.promised);
    Duration::rep retryMicroseconds = 0;
    readNumber(*object, "retry_us", retryMicroseconds);
    message.retryAfter = Duration(std::max<Duration::rep>(0, retryMicroseconds));
    if (!readNumber(*object, "amount", message.amount) || message.amount < 0)
        return std::nullopt;
    return message;
}

}
