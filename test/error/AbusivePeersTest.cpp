#include "../AbusedRouter.h"
#include "../AbusiveRequests.h"

#include "DirectoryUpdate.h"
#include "LoadMessage.h"
#include "QuotaMessage.h"

#include <boost/asio/ip/udp.hpp>

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// The port range of the test's settings begins with the port for datagrams, and metrics have a fixed port.
constexpr std::uint16_t datagramPort = 7'660;
constexpr std::uint16_t metricsPort = 9'464;
/// Bytes of a name that leave room for the rest of a datagram.
constexpr std::size_t longName = 60'000;
/// Bytes of a name that a real instance could have.
constexpr std::size_t shortName = 60;
/// Entries with short names that nearly fill a datagram.
constexpr std::uint64_t manyEntries = 700;

auto nameOf(std::uint64_t number, std::size_t size) -> std::string
{
    auto name = "n" + std::to_string(number);
    name.resize(std::max(size, name.size()), 'x');
    return name;
}

auto loadMessage(std::uint64_t number, std::size_t nameBytes = 0) -> LoadMessage
{
    LoadMessage message;
    message.instance = nameOf(number, nameBytes);
    message.incarnation = "run";
    message.sequence = 1;
    message.availabilityZone = "alpine";
    return message;
}

auto usageMessage(std::uint64_t number) -> std::string
{
    auto message = loadMessage(number);
    for (std::uint64_t entry = 0; entry < manyEntries; ++entry)
        message.usages.push_back({ nameOf(number * manyEntries + entry, shortName), 1, 1, 1 });
    return serializeLoadMessage(message);
}

auto longNameMessage(std::uint64_t number) -> std::string
{
    return serializeLoadMessage(loadMessage(number, longName));
}

auto shortNameMessage(std::uint64_t number) -> std::string
{
    return serializeLoadMessage(loadMessage(number, shortName));
}

auto zoneMessage(std::uint64_t number) -> std::string
{
    auto message = loadMessage(number);
    message.availabilityZone = nameOf(number, longName);
    return serializeLoadMessage(message);
}

auto limitMessage(std::uint64_t number) -> std::string
{
    auto message = loadMessage(number % 8);
    message.sequence = number;
    message.limits.push_back({ nameOf(number, longName), "run", 1.0, {} });
    return serializeLoadMessage(message);
}

auto manyLimitsMessage(std::uint64_t number) -> std::string
{
    auto message = loadMessage(number % 8);
    message.sequence = number;
    for (std::uint64_t entry = 0; entry < manyEntries; ++entry)
        message.limits.push_back({ nameOf(number * manyEntries + entry, shortName), "run", 1.0, {} });
    return serializeLoadMessage(message);
}

auto roleMessage(std::uint64_t number) -> std::string
{
    auto message = loadMessage(number % 8);
    message.sequence = number;
    message.backendsChangingRole.push_back(nameOf(number, longName));
    message.revisions[nameOf(number, 10)] = 1;
    return serializeLoadMessage(message);
}

auto suspectMessage(std::uint64_t number) -> std::string
{
    auto message = loadMessage(number % 8);
    message.sequence = number;
    message.suspects.push_back({ number, nameOf(number, longName), "run", "peer" });
    return serializeLoadMessage(message);
}

auto manySuspectsMessage(std::uint64_t number) -> std::string
{
    auto message = loadMessage(number % 8);
    message.sequence = number;
    for (std::uint64_t entry = 0; entry < manyEntries; ++entry)
        message.suspects.push_back({ number * manyEntries + entry, nameOf(number, shortName), "run", "peer" });
    return serializeLoadMessage(message);
}

auto promptMessage(std::uint64_t number) -> std::string
{
    auto message = loadMessage(number % 8);
    message.sequence = number;
    PromptReport report;
    report.service = "silent";
    report.instance = nameOf(number, longName);
    report.id = number;
    message.promptReports.push_back(std::move(report));
    return serializeLoadMessage(message);
}

auto quotaMessage(std::uint64_t number, QuotaMessageType type, std::size_t nameBytes) -> std::string
{
    QuotaMessage message;
    message.type = type;
    message.instance = nameOf(number, nameBytes);
    message.zone = "alpine";
    message.id = number;
    message.customer = "c";
    message.amount = 1;
    return serializeQuotaMessage(message);
}

auto longQuestion(std::uint64_t number) -> std::string
{
    return quotaMessage(number, QuotaMessageType::Ask, longName);
}

auto shortQuestion(std::uint64_t number) -> std::string
{
    return quotaMessage(number, QuotaMessageType::Ask, shortName);
}

auto returnMessage(std::uint64_t number) -> std::string
{
    return quotaMessage(number, QuotaMessageType::Return, shortName);
}

auto directoryMessage(std::uint64_t number) -> std::string
{
    DirectoryUpdate update;
    update.instance = nameOf(number, longName);
    update.isWatching = true;
    return serializeDirectoryUpdate(update);
}

auto nestedText(std::uint64_t /*number*/) -> std::string
{
    return std::string(longName, '[');
}

struct NamedMessage {
    const char* name;
    std::string (*text)(std::uint64_t);
};

/// Datagrams that a faulty instance, or a process that pretends to be many, may send.
const NamedMessage messages[] = {
    { "instances with many reservations", usageMessage },
    { "instances with long names", longNameMessage },
    { "ever new instances", shortNameMessage },
    { "zones with long names", zoneMessage },
    { "limits of servers with long names", limitMessage },
    { "limits of very many servers", manyLimitsMessage },
    { "role changes and kinds", roleMessage },
    { "crash suspects", suspectMessage },
    { "very many crash suspects", manySuspectsMessage },
    { "prompt reports", promptMessage },
    { "questions of instances with long names about quotas", longQuestion },
    { "questions of ever new instances about quotas", shortQuestion },
    { "returned amounts of ever new instances", returnMessage },
    { "watchers with long names", directoryMessage },
    { "unreadable text", nestedText },
};
constexpr auto messageCount = static_cast<int>(std::size(messages));

/// Sends datagrams from several addresses.
class DatagramCrowd {
public:
    explicit DatagramCrowd(const std::string& address)
        : m_target(boost::asio::ip::make_address(address), datagramPort)
    {
        for (std::size_t index = 0; index < crowdSize; ++index)
            m_sockets.emplace_back(m_context, boost::asio::ip::udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    }

    auto send(const std::string& text) -> void
    {
        m_sockets[m_sent++ % m_sockets.size()].send_to(boost::asio::buffer(text), m_target);
    }

    auto sent() const -> std::uint64_t { return m_sent; }

private:
    boost::asio::io_context m_context;
    const boost::asio::ip::udp::endpoint m_target;
    std::vector<boost::asio::ip::udp::socket> m_sockets;
    std::uint64_t m_sent = 0;
};

}

// Guards against names and reports that are kept for each datagram.
TEST_CASE("datagrams of ever new instances stay within the memory")
{
    const auto& message = messages[GENERATE(range(0, messageCount))];
    AbusedRouter router;
    DatagramCrowd crowd(router.address);
    const auto descriptors = router.run([&] { crowd.send(message.text(crowd.sent())); });
    router.checkProcess("datagrams: " + std::string(message.name), descriptors, crowdSize);
}

// Guards against bounds that hold for each sort of message alone, and not for their sum.
TEST_CASE("a mixture of datagrams stays within the memory")
{
    AbusedRouter router;
    DatagramCrowd crowd(router.address);
    const auto descriptors = router.run([&] { crowd.send(messages[crowd.sent() % messageCount].text(crowd.sent())); });
    router.checkProcess("datagrams: mixture", descriptors, crowdSize);
}

// Guards against the faults of callers' requests at the address of the metrics.
TEST_CASE("abusive callers of the metrics address stay within the memory and the descriptors")
{
    AbusedRouter router;
    const HttpEndpoint metrics { router.address, metricsPort };
    router.check("metrics", metrics, mixtureOf(3 * crowdSize));
    CHECK(router.statusOf(metrics, { "GET", "/metrics", {}, {} }) == 200);
}
