#pragma once

/// Drives the state machine of one record partition: runs it on one I/O thread and performs its reads and
/// writes on the platform. Private to the cluster library.

#include "ClusterCore.h"
#include "RecordPartition.h"

#include <boost/asio/steady_timer.hpp>

#include <map>

namespace jayhold {

class RecordDriver : public std::enable_shared_from_this<RecordDriver> {
public:
    /// @param object name of the partition's object.
    /// @param thread index of the I/O thread that runs the state machine.
    RecordDriver(ClusterPointer core, std::string object, std::size_t thread);

    /// Runs an operation. The reply arrives no later than the operation's deadline.
    /// @return ReplyBegin or ReplyStored.
    auto run(RecordOperation operation) -> boost::asio::awaitable<RecordAction>;

private:
    struct Waiter {
        explicit Waiter(boost::asio::io_context& context)
            : timer(context)
        {
        }

        boost::asio::steady_timer timer;
        std::optional<RecordAction> reply;
    };

    auto runOnOwnThread(RecordOperation operation) -> boost::asio::awaitable<RecordAction>;
    auto execute(RecordActions actions) -> void;
    auto reply(std::uint64_t operationId, RecordAction action) -> void;
    auto load() -> boost::asio::awaitable<void>;
    auto write(WriteTable action) -> boost::asio::awaitable<void>;
    auto handleLoaded(const StoredObject& object, RecordActions& actions) -> void;
    auto handleConflict(const StoredObject& object, RecordActions& actions) -> void;
    auto handleFailure(const StoreError& error, RecordActions& actions) -> void;
    auto handleUnreadable(std::int64_t revision, RecordActions& actions) -> void;

    const ClusterPointer m_core;
    const std::string m_object;
    const std::size_t m_thread;
    RecordPartition m_partition;
    std::uint64_t m_lastOperationId = 0;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
};

}
