#pragma once

/// Whether a service is a language model or a plain HTTP service.

#include <optional>
#include <string_view>

namespace jayhold {

enum class ServiceType {
    Model,
    Plain,
};

auto name(ServiceType type) -> std::string_view;
auto parseServiceType(std::string_view text) -> std::optional<ServiceType>;

}
