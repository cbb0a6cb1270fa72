#include "Target.h"

#include <charconv>

namespace jayhold {

auto queryNumber(std::string_view target, std::string_view key, std::int64_t fallback) -> std::int64_t
{
    const auto question = target.find('?');
    auto rest = question == std::string_view::npos ? std::string_view {} : target.substr(question + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos || pair.substr(0, equals) != key)
            continue;
        const auto value = pair.substr(equals + 1);
        std::from_chars(value.data(), value.data() + value.size(), fallback);
    }
    return fallback;
}

}
