#include "../FakeBackendServer.h"
#include "../HttpTestServer.h"

#include "Protocols.h"

#include <catch2/catch.hpp>

#include <mutex>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

/// Collects the notices of the calls to one server.
struct Observer {
    auto handler() -> NoticeHandler
    {
        return [this](const BackendServer& server, TimePoint, const BackendNotice& notice) {
            const std::lock_guard guard(lock);
            CHECK(server.id == "server-1");
            notices.push_back(notice);
        };
    }

    /// Forgets the notices.
    /// @return the only one since the last call.
    auto take() -> BackendNotice
    {
        const std::lock_guard guard(lock);
        REQUIRE(notices.size() == 1);
        return std::exchange(notices, {}).front();
    }

    std::mutex lock;
    std::vector<BackendNotice> notices;
};

struct NoticeFixture {
    ~NoticeFixture() { threads.stop(); }

    auto target() const -> BackendServer { return { .id = "server-1", .endpoint = server.endpoint(), .incarnation = "900" }; }

    auto engineCall() -> EngineCall
    {
        EngineCall call;
        call.deadlineMs = 1'000;
        HttpRequest request { "POST", "/x", { { "Request-Id", "r1" }, { "Model", "m" } }, "prompt" };
        call.forwarded = std::make_shared<const ForwardedCall>(ForwardedCall { .requestId = "r1", .request = std::move(request) });
        call.onNotice = observer.handler();
        return call;
    }

    auto plainCall() -> PlainCallInfo
    {
        PlainCallInfo call;
        call.request = { "GET", "/x", { { "Request-Id", "r1" } }, {} };
        call.requestId = "r1";
        call.deadline = monotonicNow() + 1s;
        call.onNotice = observer.handler();
        return call;
    }

    IoThreads threads { 1 };
    FakeBackendServer server { threads, "server-1" };
    Observer observer;
    const BackendProtocol& protocol = platform::backendProtocol();
    HttpClient& client = threads.client(0);
};

}

// Guards against what a server says in the responses to some calls being ignored.
TEST_CASE("the responses to all calls tell whether the server is leaving")
{
    NoticeFixture fixture;
    auto& observer = fixture.observer;
    auto& threads = fixture.threads;
    auto& client = fixture.client;
    const auto& protocol = fixture.protocol;
    for (const auto isLeaving : { false, true }) {
        fixture.server.setLeaving(isLeaving);
        const auto checkNotice = [&](ResponseOrigin origin) {
            const auto notice = observer.take();
            CHECK(notice.isLeaving == isLeaving);
            CHECK(notice.origin == origin);
        };
        runOn(threads, 0, protocol.reserveSlot(client, fixture.target(), 10, 1s, 1s, observer.handler()));
        checkNotice(ResponseOrigin::ControlCall);
        runOn(threads, 0, protocol.releaseSlot(client, fixture.target(), "seat", 1s, observer.handler()));
        checkNotice(ResponseOrigin::ControlCall);
        runOn(threads, 0, protocol.releasePrefill(client, fixture.target(), "h1", 1s, observer.handler()));
        checkNotice(ResponseOrigin::ControlCall);
        runOn(threads, 0, protocol.orderState(client, fixture.target(), 1s, observer.handler()));
        checkNotice(ResponseOrigin::ControlCall);
        runOn(threads, 0, protocol.orderRole(client, fixture.target(), {}, 1s, observer.handler()));
        checkNotice(ResponseOrigin::ControlCall);
        runOn(threads, 0, protocol.prefill(client, fixture.target(), fixture.engineCall(), 1s));
        checkNotice(ResponseOrigin::Call);
        runOn(threads, 0, protocol.decode(client, fixture.target(), fixture.engineCall(), 1s));
        checkNotice(ResponseOrigin::Call);
        const auto call = fixture.plainCall();
        runOn(threads, 0, protocol.plainCall(client, fixture.target(), call, 1s));
        checkNotice(ResponseOrigin::Call);
    }
}

// Guards against a notice only of successful responses, and against one that is taken for that of another server.
TEST_CASE("rejections and errors tell whether the server is leaving, and which server responded")
{
    NoticeFixture fixture;
    fixture.server.setLeaving(true);
    const auto call = fixture.plainCall();
    const auto noticeOf = [&](const BackendServer& target) {
        runOn(fixture.threads, 0, fixture.protocol.plainCall(fixture.client, target, call, 1s));
        return fixture.observer.take();
    };
    fixture.server.setBehaviour(FakeBackendServer::Behaviour::Fail);
    CHECK(noticeOf(fixture.target()).isLeaving);
    fixture.server.setBehaviour(FakeBackendServer::Behaviour::Reject);
    CHECK(noticeOf(fixture.target()).isLeaving);
    fixture.server.setRetryDelay("1");
    CHECK(noticeOf(fixture.target()).status == 503);
    FakeBackendServer other(fixture.threads, "server-2");
    other.setLeaving(true);
    auto moved = fixture.target();
    moved.endpoint = other.endpoint();
    const auto misdirected = noticeOf(moved);
    CHECK(misdirected.isLeaving);
    CHECK(misdirected.status == 421);
    CHECK(misdirected.responder == "server-2");
}

// Guards against a limit or a delay of another program's response that is taken for that of the server.
TEST_CASE("a response without the id of its request is reported as such")
{
    NoticeFixture fixture;
    fixture.server.setLeaving(true);
    fixture.server.setBehaviour(FakeBackendServer::Behaviour::WrongRequestId);
    const auto call = fixture.plainCall();
    runOn(fixture.threads, 0, fixture.protocol.plainCall(fixture.client, fixture.target(), call, 200ms));
    const auto notice = fixture.observer.take();
    CHECK(notice.isLeaving);
    CHECK(notice.origin == ResponseOrigin::Unidentified);
}
