#include "StreamVersionModel.h"

#include "StoreRevision.h"
#include "StreamVersionList.h"

#include <algorithm>

namespace jayhold {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t servers = 4;
/// Servers write their entries at least this often.
constexpr auto heartbeat = 3s;
constexpr int percent = 100;
/// Chances in percent, for each tick and instance.
constexpr int listChance = 80;
constexpr int stateChance = 60;
constexpr int recordChance = 80;
constexpr int reportChance = 80;
constexpr int lowestWriteChance = 80;
constexpr int otherWriteChance = 15;
constexpr int lostAnswerChance = 10;
constexpr int otherServerChance = 15;
constexpr int moveChance = 20;
/// A first event arrives after up to so many ticks.
constexpr int prefillTicks = 6;

}

StreamVersionModel::StreamVersionModel(std::size_t instances, std::function<int(int)> random, const std::string& version)
    : m_random(std::move(random))
    , m_servers(servers, Server { { version } })
    , m_instances(instances)
{
    registerServers();
    m_copy = m_store;
    for (std::size_t index = 0; index < instances; ++index) {
        m_instances[index].name = "entry-" + std::to_string(index);
        load(m_instances[index]);
    }
}

auto StreamVersionModel::registerServers() -> void
{
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        auto& server = m_servers[index];
        if (m_isDown || m_now < server.nextWrite)
            continue;
        server.nextWrite = m_now + std::chrono::milliseconds(m_random(std::chrono::milliseconds(heartbeat).count()));
        auto& entry = m_store.servers[index];
        if (entry != server.entry)
            ++m_store.revision;
        entry = server.entry;
    }
}

auto StreamVersionModel::list() const -> StreamVersionList
{
    StreamVersionList list { .revision = m_store.revision };
    if (m_store.state.epoch > 0)
        list.states["llm"] = m_store.state;
    ItemList items { .revision = makeRevision(m_history, m_store.revision) };
    for (const auto& [instance, value] : m_store.records)
        items.items.push_back({ streamRecordsName(instance), items.revision, value });
    auto records = readStreamVersions(items);
    list.records = std::move(records.records);
    list.contradictory = std::move(records.contradictory);
    return list;
}

auto StreamVersionModel::load(Instance& instance) -> void
{
    if (!reaches(instance))
        return;
    updateHistory(instance.view, m_now, m_history);
    readState(instance);
    instance.table.history = m_history;
    if (const auto stored = m_store.records.find(instance.name); stored != m_store.records.end())
        mergeStored(instance.table, *reliableStreamRecords(stored->second, m_history), 1, m_now + instance.view.times.streamLifetime);
    instance.view.availableSince = m_now;
    readServers(instance);
    instance.isLoaded = true;
}

auto StreamVersionModel::work(Instance& instance, bool isFirst) -> void
{
    if (!instance.isLoaded) {
        load(instance);
        return;
    }
    removeExpired(instance.table, m_now);
    if (m_random(percent) < reportChance)
        hearPeers(instance);
    if (m_random(percent) >= listChance)
        return;
    updateAvailability(instance.view, m_now, reaches(instance));
    if (!reaches(instance))
        return;
    learnHistory(instance);
    readServers(instance);
    if (m_random(percent) < stateChance)
        readState(instance);
    if (dueState(instance.view, m_now) && m_random(percent) < (isFirst ? lowestWriteChance : otherWriteChance))
        writeState(instance);
    if (needsWrite(instance.table) && m_random(percent) < recordChance)
        writeRecords(instance);
}

auto StreamVersionModel::learnHistory(Instance& instance) -> void
{
    if (m_history <= instance.view.history)
        return;
    updateHistory(instance.view, m_now, m_history);
    instance.table.history = m_history;
    loseStored(instance.table);
}

auto StreamVersionModel::readServers(Instance& instance) -> void
{
    instance.servers = m_store.servers;
    instance.serversRevision = m_store.revision;
    std::set<std::string> versions;
    for (const auto& [index, entry] : instance.servers)
        versions.insert(entry.version);
    updateListedVersions(instance.view, m_now, versions);
}

auto StreamVersionModel::readState(Instance& instance) -> void
{
    updateState(instance.view, m_now, m_store.state);
    instance.stateRevision = m_store.stateRevision;
}

auto StreamVersionModel::writeState(Instance& instance) -> void
{
    readState(instance);
    const auto due = dueState(instance.view, m_now);
    if (!due)
        return;
    m_store.state = *due;
    ++m_store.revision;
    ++m_store.stateRevision;
    ++m_stateWrites;
    if (m_random(percent) >= lostAnswerChance)
        readState(instance);
}

auto StreamVersionModel::writeRecords(Instance& instance) -> void
{
    const auto change = beginWrite(instance.table);
    m_store.records[instance.name] = streamRecordsToJson(instance.table);
    ++m_writes;
    if (m_random(percent) >= lostAnswerChance)
        confirmWrite(instance.table, change, 1);
}

auto StreamVersionModel::tick() -> void
{
    m_now += tickTime;
    registerServers();
    for (std::size_t index = 0; index < m_instances.size(); ++index)
        work(m_instances[index], index == 0);
    for (auto& waiting : m_waiting) {
        if (m_random(percent) < moveChance)
            move(waiting);
    }
    sendFirstEvents();
    std::erase_if(m_streams, [&](const Stream& stream) { return stream.endsAt <= m_now; });
}

auto StreamVersionModel::run(Duration time) -> void
{
    for (auto end = m_now + time; m_now < end;)
        tick();
}

auto StreamVersionModel::begin() -> void
{
    const auto index = static_cast<std::size_t>(m_random(static_cast<int>(m_instances.size())));
    auto& instance = m_instances[index];
    const auto version = anyVersion(instance);
    if (!instance.isLoaded || !version)
        return;
    Waiting waiting { .request = "request-" + std::to_string(++m_requests), .instance = index, .version = *version, .arrivesAt = m_now + tickTime * m_random(prefillTicks), .endsAt = m_now + callerTime };
    announce(waiting);
    if (m_random(percent) < otherServerChance)
        move(waiting);
    m_waiting.push_back(std::move(waiting));
    sendFirstEvents();
}

auto StreamVersionModel::anyVersion(const Instance& instance) -> std::optional<std::string>
{
    // A server that has been replaced is not reached with its old entry.
    std::vector<std::string> usable;
    for (const auto& [server, entry] : instance.servers) {
        if (m_servers[server].entry == entry)
            usable.push_back(entry.version);
    }
    if (usable.empty())
        return std::nullopt;
    return usable[static_cast<std::size_t>(m_random(static_cast<int>(usable.size())))];
}

auto StreamVersionModel::announce(Waiting& waiting) -> void
{
    auto& instance = m_instances[waiting.instance];
    waiting.change = 0;
    if (recordNeed(instance.view, instance.table, m_now, waiting.request, waiting.version) != RecordNeed::None)
        waiting.change = addRecord(instance.table, waiting.request, { "llm", waiting.version }, m_now + instance.view.times.streamLifetime);
}

auto StreamVersionModel::move(Waiting& waiting) -> void
{
    const auto version = anyVersion(m_instances[waiting.instance]);
    if (!version)
        return;
    waiting.version = *version;
    waiting.hasWaited = false;
    announce(waiting);
}

auto StreamVersionModel::sendFirstEvents() -> void
{
    std::erase_if(m_waiting, [&](Waiting& waiting) {
        if (m_now >= waiting.endsAt)
            return true;
        if (m_now < waiting.arrivesAt)
            return false;
        auto& instance = m_instances[waiting.instance];
        const auto need = recordNeed(instance.view, instance.table, m_now, waiting.request, waiting.version);
        const auto isWritten = waiting.change > 0 && isStored(instance.table, waiting.change);
        // A request whose record was not needed when it began is recorded when that has changed.
        if (need != RecordNeed::None && waiting.change == 0)
            waiting.change = addRecord(instance.table, waiting.request, { "llm", waiting.version }, m_now + instance.view.times.streamLifetime);
        const auto maySend = need == RecordNeed::None || isWritten || (need == RecordNeed::Bounded && waiting.hasWaited);
        waiting.hasWaited = true;
        if (!maySend)
            return false;
        m_streams.push_back({ waiting.request, waiting.version, waiting.endsAt });
        instance.memory[waiting.request] = waiting.version;
        markBegun(instance.table, waiting.request);
        return true;
    });
}

auto StreamVersionModel::hearPeers(Instance& instance) const -> void
{
    for (const auto& peer : m_instances) {
        if (peer.name != instance.name && (peer.isIsolated || instance.isIsolated))
            continue;
        instance.reportedServers = std::max(instance.reportedServers, peer.serversRevision);
        instance.reportedState = std::max(instance.reportedState, peer.stateRevision);
    }
    updateBehind(instance.view, m_now, instance.reportedState > instance.stateRevision);
}

auto StreamVersionModel::isConfirmedByPeers(const Instance& instance) const -> bool
{
    PeerInquiry inquiry;
    std::vector<std::string> names;
    for (const auto& peer : m_instances) {
        if (peer.name != instance.name)
            names.push_back(peer.name);
    }
    beginInquiry(inquiry, names);
    for (const auto& peer : m_instances) {
        if (!instance.isIsolated && !peer.isIsolated)
            recordReply(inquiry, inquiry.number, peer.name, peer.serversRevision);
    }
    return isConfirmed(inquiry, inquiry.number, instance.serversRevision);
}

auto StreamVersionModel::takeUp() -> void
{
    auto& instance = m_instances[static_cast<std::size_t>(m_random(static_cast<int>(m_instances.size())))];
    if (m_streams.empty() || !instance.isLoaded)
        return;
    const auto& stream = m_streams[static_cast<std::size_t>(m_random(static_cast<int>(m_streams.size())))];
    std::optional<std::string> version;
    if (const auto known = instance.memory.find(stream.request); known != instance.memory.end()) {
        version = known->second;
    } else if (reaches(instance)) {
        learnHistory(instance);
        readState(instance);
        version = findStreamVersion(instance.view, list(), "llm", stream.request).version;
    } else {
        version = findStreamVersionWithoutStore(instance.view, m_now, !isConfirmedByPeers(instance) || instance.reportedServers > instance.serversRevision).version;
    }
    ++m_takeUps;
    if (!version)
        return;
    ++m_found;
    m_joined += *version != stream.version;
    instance.memory[stream.request] = *version;
}

auto StreamVersionModel::kill(std::size_t instance) -> void
{
    std::erase_if(m_waiting, [&](const Waiting& waiting) { return waiting.instance == instance; });
    auto& killed = m_instances[instance];
    Instance next;
    next.name = killed.name;
    next.isCutOff = killed.isCutOff;
    killed = std::move(next);
    load(killed);
}

auto StreamVersionModel::killAll() -> void
{
    for (std::size_t index = 0; index < m_instances.size(); ++index)
        kill(index);
}

auto StreamVersionModel::restartServer(std::size_t server, const std::string& version) -> void
{
    // A server writes its entry before it takes requests. While the store is away none can start.
    if (m_isDown)
        return;
    m_servers[server] = { { version, ++m_processes }, m_now };
    registerServers();
}

auto StreamVersionModel::restore() -> void
{
    const auto revision = m_store.revision;
    const auto stateRevision = m_store.stateRevision;
    m_store = m_copy;
    // Revisions of a later history are greater.
    m_store.revision = revision + 1;
    m_store.stateRevision = stateRevision + 1;
    ++m_history;
}

}
