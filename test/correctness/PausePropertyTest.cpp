#include "../PauseModel.h"

#include "PlainBalancer.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <memory>

using namespace jayhold;
using namespace jayhold::test;

namespace {

class PlainModel final : public PauseModel {
public:
    PlainModel() { updateList(); }

private:
    struct Call {
        std::size_t server;
        std::string incarnation;
        std::shared_ptr<PausingServer> process;
        std::optional<std::uint8_t> response;
    };

    auto arrive() -> void override
    {
        const auto chosen = m_balancer.acquire(m_now, {});
        if (!chosen) {
            // A call is refused only if each server is paused, returns from a pause, is full or has failed.
            for (const auto& backend : m_balancer.backends())
                RC_ASSERT(backend.pausedUntil > m_now || backend.isReturning || backend.inFlight >= backend.slots || backend.consecutiveFailures > 0);
            return;
        }
        const auto server = indexOf(chosen->id);
        m_servers.at(server).process->receive(m_now);
        m_calls.push_back({ server, incarnationOf(server), m_servers.at(server).process, std::nullopt });
    }

    auto answer(const PauseStep& step) -> void override
    {
        if (m_calls.empty())
            return;
        auto& call = m_calls.at(step.first % m_calls.size());
        if (call.response) {
            deliver(call);
            m_calls.erase(m_calls.begin() + step.first % static_cast<std::ptrdiff_t>(m_calls.size()));
            return;
        }
        call.response = step.second;
        if (isPause(step.second))
            call.process->askForPause(m_now, askedTime(step.second / 4));
        else if (step.second % 4 == 2)
            call.process->serve();
    }

    static auto isPause(std::uint8_t response) -> bool { return response % 4 < 2; }

    auto deliver(const Call& call) -> void
    {
        const auto id = idOf(call.server);
        const auto response = *call.response;
        if (isPause(response)) {
            if (recordPause(m_pauses, m_now, id, call.incarnation, askedTime(response / 4)))
                m_balancer.applyPause(id, call.incarnation, *pauseOf(m_pauses, m_now, id, call.incarnation));
            m_balancer.releaseRejected(m_now, id);
        } else if (m_balancer.release(m_now, id, response % 4 == 2)) {
            endPause(m_pauses, m_now, id, call.incarnation);
        }
    }

    auto deliverResponses() -> void override
    {
        for (const auto& call : m_calls) {
            if (call.response)
                deliver(call);
        }
        std::erase_if(m_calls, [](const Call& call) { return call.response.has_value(); });
    }

    auto updateList() -> void override
    {
        std::vector<PlainBackend> list;
        for (std::size_t server = 0; server < m_servers.size(); ++server) {
            if (isListed(server))
                list.push_back({ .server = { .id = idOf(server), .incarnation = incarnationOf(server) }, .slots = 4 });
        }
        m_balancer.update(std::move(list));
        forgetEndedPauses(m_pauses, m_now);
        handleMissing(m_pauses, m_now, [this](const std::string& id, const std::string& incarnation) { return isListed(indexOf(id)) && incarnation == incarnationOf(indexOf(id)); });
        for (const auto& [process, entry] : m_pauses.entries)
            m_balancer.applyPause(process.first, process.second, entry.pause);
    }

    auto resetInstance() -> void override
    {
        m_balancer = {};
        m_calls.clear();
    }

    PlainBalancer m_balancer;
    std::vector<Call> m_calls;
};

}

// Guards against more requests than a server allows within the time for which it wants none, whatever it answers and
// whenever servers, lists and instances change.
TEST_CASE("plain servers get at most two calls within the time for which they want none")
{
    rc::prop("pauses of plain servers hold for random answers and changes", [] {
        PlainModel model;
        for (const auto& step : *pauseSteps())
            model.play(step);
    });
}
