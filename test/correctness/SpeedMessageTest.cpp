#include "LoadMessage.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

const SpeedReport report { "engine-1", "run-7", WorkType::Decode, 0.46, 1'500ms, 20ms };

auto speedsOf(const std::string& speeds) -> std::vector<SpeedReport>
{
    const auto message = parseLoadMessage(R"({"instance":"a","run":"r","sequence":1,"uses":[],"speeds":)" + speeds + "}");
    REQUIRE(message);
    return message->speeds;
}

}

// Guards against speeds that arrive changed, and messages that grow where servers are equal.
TEST_CASE("load messages carry observed speeds")
{
    LoadMessage message { .instance = "a", .incarnation = "r", .sequence = 1 };
    CHECK(serializeLoadMessage(message).find("speeds") == std::string::npos);
    message.speeds = { report };
    const auto parsed = parseLoadMessage(serializeLoadMessage(message));
    REQUIRE(parsed);
    CHECK(parsed->speeds == message.speeds);
}

// Load pattern: another version or a faulty instance sends unusable speeds.
// Guards against an entry that makes the whole message unreadable, and against many entries in one message.
TEST_CASE("an unusable speed costs only itself")
{
    for (const auto* bad : { "7", "{}", "[[]]", "[[1,2,3,4,5,6]]", R"([["b","i","decode",0,1,1]])", R"([["b","i","decode",-1,1,1]])", R"([["b","i","decode",1e400,1,1]])", R"([["b","i","decode","x",1,1]])",
             R"([["b","i","other",1,1,1]])", R"([["b","i","decode",1,-1,1]])", R"([["b","i","decode",1,1,1e300]])", R"([["b","i","decode",1,1]])" })
        CHECK(speedsOf(bad).empty());
    CHECK(speedsOf(R"([["b","i","other",1,1,1],["engine-1","run-7","decode",0.46,1500,20]])") == std::vector { report });
    std::string many = "[";
    for (int count = 0; count < 20; ++count)
        many += R"(["engine-1","run-7","decode",0.46,1500,20],)";
    many.back() = ']';
    CHECK(speedsOf(many).size() == maxSpeedReportsPerMessage);
}
