#pragma once

/// The body of a prefill or decode call.

#include "JsonReader.h"

#include <optional>

namespace jayhold::standin {

struct KvSource {
    std::string address;
    std::string handle;
};

struct EngineRequest {
    std::string requestId;
    std::string owner;
    std::string model;
    std::string prompt;
    std::int64_t priority = 0;
    std::int64_t maxTokens = 0;
    std::int64_t resumeFrom = 0;
    std::optional<KvSource> kv;
};

auto readPrefillRequest(JsonReader& reader) -> boost::leaf::result<EngineRequest>;
auto readDecodeRequest(JsonReader& reader) -> boost::leaf::result<EngineRequest>;

}
