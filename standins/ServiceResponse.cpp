#include "ServiceResponse.h"

#include "PromptBlocks.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace jayhold {

auto expectedServiceResponse(std::string_view method, std::string_view target, std::string_view body) -> std::string
{
    const auto digest = hashText(body, hashText(target, hashText(method)));
    const boost::json::object response { { "method", method }, { "target", target }, { "digest", digest } };
    return boost::json::serialize(response);
}

}
