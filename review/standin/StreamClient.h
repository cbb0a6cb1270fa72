#pragma once

/// A client of a streaming route.

#include "Fleet.h"
#include "Http.h"

#include <set>
#include <string>

namespace review {

struct StreamResult {
    int status = 0;
    int events = 0;
    int lastEvent = 0;
    bool isComplete = false;
    /// Software versions and engines named in the events.
    std::set<std::string> versions;
    std::set<std::string> engines;
};

/// Sends a request and reads its stream to the end.
auto runStream(const Address& front, const std::string& id, const std::string& path, int deadlineMs) -> StreamResult;

/// The same, and takes a stream that was broken off up once, at another instance.
auto runStreamWithTakeUp(const Address& front, const Address& otherFront, const std::string& id, const std::string& path, int deadlineMs) -> StreamResult;

auto describe(const StreamResult& result) -> std::string;

}
