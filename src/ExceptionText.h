#pragma once

/// The text of an exception, for logs.

#include <exception>
#include <string>

namespace jayhold {

/// @param thrown must not be null.
inline auto exceptionText(const std::exception_ptr& thrown) -> std::string
{
    try {
        std::rethrow_exception(thrown);
    } catch (const std::exception& error) {
        return error.what();
    } catch (...) {
        return "not a standard exception";
    }
}

}
