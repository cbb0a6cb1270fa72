#include "CallSignature.h"

#include "Rendezvous.h"

#include <algorithm>
#include <string>

namespace jayhold {

auto callSignature(std::string_view host, std::string_view caller, const HttpRequest& request) -> std::uint64_t
{
    std::string text;
    for (const auto field : { host, caller, std::string_view(request.method), std::string_view(request.target) })
        text.append(field).append(1, '\n');
    return std::max<std::uint64_t>(stableHash(text, request.content()), 1);
}

}
