#pragma once

/// Counts an exchange from the first byte of its request until it is answered. Private to the HTTP library.

#include <atomic>
#include <cstddef>

namespace jayhold {

struct ActiveExchange {
    explicit ActiveExchange(std::atomic<std::size_t>& total)
        : counter(total)
    {
        ++counter;
    }
    ~ActiveExchange() { --counter; }
    ActiveExchange(const ActiveExchange&) = delete;
    auto operator=(const ActiveExchange&) -> ActiveExchange& = delete;

    std::atomic<std::size_t>& counter;
};

}
