#pragma once

/// The I/O threads of a process. Each thread runs its own io_context, so state that belongs to one
/// thread needs no lock; state that several threads share is kept in shards with locks.

#include "HttpClient.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace jayhold {

/// An io_context whose pending operations can be destroyed before the context itself.
class IoContext : public boost::asio::io_context {
public:
    using boost::asio::io_context::io_context;

    /// Destroys pending operations. No thread may be running the context.
    auto dropPending() -> void { shutdown(); }
};

class IoThreads {
public:
    /// @param count number of threads, at least 1.
    explicit IoThreads(std::size_t count, const HttpClientSettings& clientSettings = {});
    ~IoThreads();
    IoThreads(const IoThreads&) = delete;
    auto operator=(const IoThreads&) -> IoThreads& = delete;

    auto size() const -> std::size_t { return m_workers.size(); }
    auto context(std::size_t index) -> boost::asio::io_context& { return m_workers[index]->context; }
    auto client(std::size_t index) -> HttpClient& { return m_workers[index]->client; }

    /// @return the index of the thread for the next connection, round robin.
    auto nextIndex() -> std::size_t { return m_next.fetch_add(1, std::memory_order_relaxed) % m_workers.size(); }

    /// Stops the threads and waits for them. Pending operations are not completed.
    auto stop() -> void;

private:
    struct Worker {
        explicit Worker(HttpClientSettings settings)
            : client(context, std::move(settings))
        {
        }

        IoContext context { 1 };
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work = boost::asio::make_work_guard(context);
        HttpClient client;
        std::thread thread;
    };

    std::vector<std::unique_ptr<Worker>> m_workers;
    std::atomic<std::size_t> m_next { 0 };
};

}
