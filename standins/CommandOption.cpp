#include "CommandOption.h"

#include <charconv>

namespace jayhold {

namespace {

template <typename Number>
auto parseNumber(std::string_view text, Number& target) -> bool
{
    Number number {};
    const auto [rest, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc {} || rest != text.data() + text.size() || number < 0)
        return false;
    target = number;
    return true;
}

}

auto textOption(std::string name, std::string help, std::string& target) -> CommandOption
{
    return { std::move(name), "TEXT", std::move(help), [&target](std::string_view value) {
                target = value;
                return !value.empty();
            } };
}

auto numberOption(std::string name, std::string help, std::int64_t& target) -> CommandOption
{
    return { std::move(name), "N", std::move(help), [&target](std::string_view value) { return parseNumber(value, target); } };
}

auto decimalOption(std::string name, std::string help, double& target) -> CommandOption
{
    return { std::move(name), "NUMBER", std::move(help), [&target](std::string_view value) { return parseNumber(value, target); } };
}

auto booleanOption(std::string name, std::string help, bool& target) -> CommandOption
{
    return { std::move(name), "0|1", std::move(help), [&target](std::string_view value) {
                target = value == "1";
                return value == "0" || value == "1";
            } };
}

auto endpointOption(std::string name, std::string help, HttpEndpoint& target) -> CommandOption
{
    return { std::move(name), "IP:PORT", std::move(help), [&target](std::string_view value) {
                const auto endpoint = parseHttpEndpoint(value);
                target = endpoint.value_or(target);
                return endpoint.has_value();
            } };
}

auto endpointsOption(std::string name, std::string help, std::vector<HttpEndpoint>& target) -> CommandOption
{
    return { std::move(name), "IP:PORT", std::move(help), [&target](std::string_view value) {
                const auto endpoint = parseHttpEndpoint(value);
                if (endpoint)
                    target.push_back(*endpoint);
                return endpoint.has_value();
            } };
}

}
