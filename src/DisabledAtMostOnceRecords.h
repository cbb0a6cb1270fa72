#pragma once

/// At-most-once records of a deployment that stores none: calls of a kind that needs them are refused as
/// not executed.

#include "AtMostOnceRecords.h"

namespace jayhold {

class DisabledAtMostOnceRecords final : public AtMostOnceRecords {
public:
    auto begin(HttpClient&, std::string, std::string, std::string) -> boost::asio::awaitable<RecordDecision> override { co_return RecordUnavailable {}; }
    auto finish(HttpClient&, std::string, std::string, StoredResponse) -> boost::asio::awaitable<bool> override { co_return false; }
    auto abandon(HttpClient&, std::string, std::string) -> boost::asio::awaitable<bool> override { co_return false; }
};

}
