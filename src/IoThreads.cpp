#include "IoThreads.h"

#include <algorithm>

namespace jayhold {

IoThreads::IoThreads(std::size_t count, const HttpClientSettings& clientSettings)
{
    for (std::size_t index = 0; index < std::max<std::size_t>(count, 1); ++index)
        m_workers.push_back(std::make_unique<Worker>(clientSettings));
    for (auto& worker : m_workers)
        worker->thread = std::thread([&context = worker->context] { context.run(); });
}

IoThreads::~IoThreads()
{
    stop();
    // A coroutine that waits for one on another thread refers to both contexts, so all coroutines
    // are destroyed before the first context is.
    for (auto& worker : m_workers)
        worker->context.dropPending();
}

auto IoThreads::stop() -> void
{
    for (auto& worker : m_workers)
        worker->context.stop();
    for (auto& worker : m_workers) {
        if (worker->thread.joinable())
            worker->thread.join();
    }
}

}
