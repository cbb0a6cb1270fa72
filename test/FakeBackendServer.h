#pragma once

/// In-process fake of a backend server of the platform that answers plain calls, prefills and decodes by the published
/// protocol.

#include "HttpServer.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

namespace jayhold {

/// @param version software version of the server that writes the event; the event does not show an empty one.
/// @return an event of the streams that FakeBackendServer sends.
auto streamEventText(int index, const std::string& version) -> std::string;

/// A fake backend server of the platform whose behaviour a test sets.
class FakeBackendServer {
public:
    enum class Behaviour {
        Answer,
        /// Rejects every request.
        Reject,
        /// Runs the request and closes the connection without a response.
        DropConnection,
        /// Ends with the first run of a target that contains `crash`: all its connections break, new ones are refused.
        Crash,
        /// Responds with the identifier of another request.
        WrongRequestId,
        /// Responds to the request with status 500.
        Fail,
        /// Sends some events of a stream and closes the connection.
        TruncateStream,
        /// Delays the response by 500 ms.
        Stall,
    };

    FakeBackendServer(IoThreads& threads, std::string id, Behaviour behaviour = Behaviour::Answer, const HttpEndpoint& listen = { "127.0.0.1", 0 });

    auto endpoint() const -> HttpEndpoint { return m_server.endpoint(); }
    auto id() const -> const std::string& { return m_id; }
    auto runs() const -> int { return m_runs; }
    auto prefills() const -> int { return m_prefills; }
    /// @return how many streams have lost their connection before their end.
    auto closedRuns() const -> int { return m_closedRuns; }
    /// @param work time that a plain call or a prefill takes.
    /// @param gap time between two events of a stream.
    auto setTiming(Duration work, Duration gap) -> void
    {
        m_work = work;
        m_gap = gap;
    }
    /// @param version software version that the events of streams show; must be set before the first request.
    auto setVersion(std::string version) -> void { m_version = std::move(version); }
    /// @param events number of events of a whole stream.
    auto setEvents(int events) -> void { m_events = events; }
    /// @param delay time between the last event of a stream and its end.
    auto setEndDelay(Duration delay) -> void { m_endDelay = delay; }
    /// @param isSilent whether the streams wait with all events after their first.
    auto setSilent(bool isSilent) -> void { m_isSilent = isSilent; }
    /// @param isFull whether the server refuses slot reservations and decodes without one.
    auto setFull(bool isFull) -> void { m_isFull = isFull; }
    /// @param time time that a slot reservation takes.
    auto setReservationTime(Duration time) -> void { m_reservationTime = time; }
    /// @param refuses whether the server refuses all slot reservations.
    auto setRefusesReservations(bool refuses) -> void { m_refusesReservations = refuses; }
    /// @return how many slot reservations the server has refused, and how many slots were released.
    auto refusedReservations() const -> int { return m_refusedReservations; }
    auto releasedReservations() const -> int { return m_releasedReservations; }
    /// @param perSecond limit that the server names in its responses; 0 if it names none.
    auto setLimit(double perSecond) -> void { m_limit = perSecond; }
    /// @param isLeaving whether all answers say that the server is leaving.
    auto setLeaving(bool isLeaving) -> void { m_isLeaving = isLeaving; }
    /// @param text value of Retry-After in the rejections with which the server then answers every request; empty if it
    /// rejects none.
    auto setRetryDelay(std::string text) -> void;
    /// @return how many requests of clients have reached the server, including those that it rejected.
    auto requests() const -> int { return m_requests; }
    auto controlCalls() const -> int { return m_controlCalls; }
    auto hasCrashed() const -> bool { return m_hasCrashed; }
    /// Sets a callback that receives each request and each control call when it arrives; must be called before the first
    /// request.
    auto onArrival(std::function<void(const HttpRequest&)> callback) -> void { m_onArrival = std::move(callback); }
    /// Sets a callback that receives each request when it starts to run; must be called before the first request.
    auto onStart(std::function<void(const HttpRequest&)> callback) -> void { m_onStart = std::move(callback); }
    /// Sets a callback that receives the identifier and stage of each request when it starts to run;
    /// must be called before the first request.
    auto onRun(std::function<void(const std::string&, const std::string&)> callback) -> void { m_onRun = std::move(callback); }
    /// Sets a callback that receives the identifier, stage and retry delay of each request that is rejected with a
    /// retry delay; must be called before the first request.
    auto onRejection(std::function<void(const std::string&, const std::string&, const std::string&)> callback) -> void { m_onRejection = std::move(callback); }
    /// Sets a callback that receives each request before the first event of its stream or its answer; must be called
    /// before the first request.
    auto onFirstEvent(std::function<void(const HttpRequest&)> callback) -> void { m_onFirstEvent = std::move(callback); }
    auto isLeaving() const -> bool { return m_isLeaving; }
    auto setBehaviour(Behaviour behaviour) -> void { m_behaviour = behaviour; }
    /// @return the last received request.
    auto lastRequest() const -> HttpRequest;

private:
    auto handle(HttpExchange& exchange) -> boost::asio::awaitable<void>;
    auto handleControl(HttpExchange& exchange) -> boost::asio::awaitable<void>;
    /// Adds the fields that all answers have.
    auto respond(HttpExchange& exchange, HttpResponse response) -> boost::asio::awaitable<void>;
    auto retryDelay() const -> std::string;
    auto stream(HttpExchange& exchange, std::vector<HttpHeader> headers) -> boost::asio::awaitable<void>;

    const std::string m_id;
    std::string m_version;
    std::atomic<Behaviour> m_behaviour;
    std::atomic<Duration> m_work { Duration::zero() };
    std::atomic<Duration> m_gap { Duration::zero() };
    std::atomic<int> m_events { 5 };
    std::atomic<Duration> m_endDelay { Duration::zero() };
    std::atomic<double> m_limit { 0 };
    std::atomic<Duration> m_reservationTime { Duration::zero() };
    std::atomic<bool> m_refusesReservations { false };
    std::atomic<int> m_refusedReservations { 0 };
    std::atomic<int> m_releasedReservations { 0 };
    std::function<void(const HttpRequest&)> m_onArrival = [](const HttpRequest&) {};
    std::function<void(const HttpRequest&)> m_onStart = [](const HttpRequest&) {};
    std::function<void(const std::string&, const std::string&)> m_onRun = [](const std::string&, const std::string&) {};
    std::function<void(const std::string&, const std::string&, const std::string&)> m_onRejection = [](const std::string&, const std::string&, const std::string&) {};
    std::function<void(const HttpRequest&)> m_onFirstEvent = [](const HttpRequest&) {};
    std::atomic<int> m_runs { 0 };
    std::atomic<int> m_prefills { 0 };
    std::atomic<int> m_closedRuns { 0 };
    std::atomic<int> m_requests { 0 };
    std::atomic<int> m_controlCalls { 0 };
    std::atomic<bool> m_hasCrashed { false };
    std::atomic<bool> m_isLeaving { false };
    std::atomic<bool> m_isSilent { false };
    std::atomic<bool> m_isFull { false };
    mutable std::mutex m_lock;
    HttpRequest m_last;
    std::string m_retryDelay;
    HttpServer m_server;
};

}
