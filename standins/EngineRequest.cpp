#include "EngineRequest.h"

namespace jayhold::standin {

namespace leaf = boost::leaf;

namespace {

constexpr NumberRange anyCount { 0, 1e9 };

auto readCommon(JsonReader& reader) -> leaf::result<EngineRequest>
{
    EngineRequest request;
    BOOST_LEAF_ASSIGN(request.requestId, reader.string("request_id"));
    BOOST_LEAF_ASSIGN(request.owner, reader.string("owner"));
    BOOST_LEAF_ASSIGN(request.model, reader.string("model"));
    BOOST_LEAF_ASSIGN(request.prompt, reader.string("prompt"));
    BOOST_LEAF_ASSIGN(request.priority, reader.integer("priority", { -1e9, 1e9 }, 0));
    return request;
}

auto readKvSource(JsonReader reader) -> leaf::result<KvSource>
{
    KvSource source;
    BOOST_LEAF_ASSIGN(source.address, reader.string("address"));
    BOOST_LEAF_ASSIGN(source.handle, reader.string("handle"));
    BOOST_LEAF_CHECK(reader.finish());
    return source;
}

}

auto readPrefillRequest(JsonReader& reader) -> leaf::result<EngineRequest>
{
    BOOST_LEAF_AUTO(request, readCommon(reader));
    BOOST_LEAF_CHECK(reader.integer("deadline_ms", anyCount, 0));
    BOOST_LEAF_CHECK(reader.finish());
    return request;
}

auto readDecodeRequest(JsonReader& reader) -> leaf::result<EngineRequest>
{
    BOOST_LEAF_AUTO(request, readCommon(reader));
    BOOST_LEAF_ASSIGN(request.maxTokens, reader.integer("max_tokens", anyCount));
    BOOST_LEAF_ASSIGN(request.resumeFrom, reader.integer("resume_from", anyCount, 0));
    // Without a source, or with null, the decode engine prefills the prompt itself.
    if (reader.has("kv") && !reader.isNull("kv")) {
        BOOST_LEAF_AUTO(source, reader.object("kv"));
        BOOST_LEAF_ASSIGN(request.kv, readKvSource(std::move(source)));
    }
    BOOST_LEAF_CHECK(reader.finish());
    return request;
}

}
