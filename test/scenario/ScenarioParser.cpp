#include "ScenarioParser.h"

#include "WordReader.h"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <array>

namespace jayhold {

namespace leaf = boost::leaf;

namespace {

/// The types of the processes that earlier lines start, by name.
using ProcessTypesByName = std::map<std::string, ProcessType, std::less<>>;

struct ProcessTypeName {
    std::string_view name;
    ProcessType type;
};

constexpr std::array<ProcessTypeName, 5> processTypes { {
    { "platform", ProcessType::Platform },
    { "engine", ProcessType::Engine },
    { "service", ProcessType::Service },
    { "link", ProcessType::Link },
    { "entry", ProcessType::Entry },
} };

class StatementParser {
public:
    StatementParser(WordReader reader, ProcessTypesByName& processes)
        : m_reader(std::move(reader))
        , m_processes(processes)
    {
        m_statement.line = m_reader.lineNumber();
    }

    auto parse() -> leaf::result<Statement>
    {
        if (m_reader.accept("at")) {
            BOOST_LEAF_ASSIGN(m_statement.at, m_reader.duration());
        }
        BOOST_LEAF_AUTO(verb, m_reader.word("a statement"));
        BOOST_LEAF_CHECK(parseVerb(verb));
        BOOST_LEAF_CHECK(m_reader.end());
        return m_statement;
    }

private:
    using Parse = leaf::result<void> (StatementParser::*)();

    struct Verb {
        std::string_view name;
        StatementType type;
        Parse parse;
    };

    auto parseVerb(std::string_view name) -> leaf::result<void>
    {
        static constexpr std::array<Verb, 20> verbs { {
            { "start", StatementType::Start, &StatementParser::parseStart },
            { "apply", StatementType::Apply, &StatementParser::parseApply },
            { "load", StatementType::Load, &StatementParser::parseLoad },
            { "kill", StatementType::Kill, &StatementParser::parseName },
            { "stop", StatementType::Stop, &StatementParser::parseName },
            { "freeze", StatementType::Freeze, &StatementParser::parseName },
            { "thaw", StatementType::Thaw, &StatementParser::parseName },
            { "leave", StatementType::Leave, &StatementParser::parseName },
            { "remove", StatementType::Remove, &StatementParser::parseName },
            { "drain", StatementType::Drain, &StatementParser::parseEntry },
            { "cut", StatementType::Fault, &StatementParser::parseCut },
            { "mend", StatementType::Fault, &StatementParser::parseMend },
            { "stall", StatementType::Fault, &StatementParser::parseStall },
            { "resume", StatementType::Fault, &StatementParser::parseResume },
            { "slow", StatementType::Fault, &StatementParser::parseSlow },
            { "lose", StatementType::Fault, &StatementParser::parseLose },
            { "platform", StatementType::Fault, &StatementParser::parsePlatform },
            { "fault", StatementType::Fault, &StatementParser::parseFault },
            { "wait", StatementType::Wait, &StatementParser::parseWait },
            { "expect", StatementType::Expect, &StatementParser::parseCondition },
        } };
        for (const auto& verb : verbs) {
            if (verb.name != name)
                continue;
            m_statement.type = verb.type;
            return (this->*verb.parse)();
        }
        return m_reader.errorAtLast("unknown statement \"" + std::string(name) + "\"");
    }

    auto parseStart() -> leaf::result<void>
    {
        BOOST_LEAF_AUTO(typeName, m_reader.word("a process type"));
        const auto* type = std::ranges::find(processTypes, std::string_view(typeName), &ProcessTypeName::name);
        if (type == processTypes.end())
            return m_reader.errorAtLast("expected platform, engine, service, link or entry");
        m_statement.process = type->type;
        BOOST_LEAF_ASSIGN(m_statement.name, m_reader.word("a name"));
        if (m_processes.contains(m_statement.name))
            return m_reader.errorAtLast("the name \"" + m_statement.name + "\" is already in use");
        while (!m_reader.isAtEnd())
            BOOST_LEAF_CHECK(parseStartOption());
        BOOST_LEAF_CHECK(requireStartOptions());
        m_processes.emplace(m_statement.name, type->type);
        return {};
    }

    auto parseStartOption() -> leaf::result<void>
    {
        BOOST_LEAF_AUTO(key, m_reader.word("an option"));
        const auto namesProcess = key == "to" || key == "platform";
        BOOST_LEAF_AUTO(value, namesProcess ? parseProcessName() : m_reader.word("a value for " + key));
        m_statement.options[key] = value;
        return {};
    }

    auto requireStartOptions() -> leaf::result<void>
    {
        std::vector<std::string> required;
        if (m_statement.process == ProcessType::Engine)
            required = { "zone", "pool", "role" };
        else if (m_statement.process == ProcessType::Service)
            required = { "zone", "pool" };
        else if (m_statement.process == ProcessType::Link)
            required = { "to" };
        else if (m_statement.process == ProcessType::Entry)
            required = { "zone" };
        for (const auto& key : required) {
            if (!m_statement.options.contains(key))
                return m_reader.error("expected \"" + key + "\" and its value");
        }
        return {};
    }

    auto parseApply() -> leaf::result<void>
    {
        BOOST_LEAF_ASSIGN(m_statement.file, m_reader.word("a configuration file"));
        BOOST_LEAF_CHECK(m_reader.keyword("through"));
        BOOST_LEAF_CHECK(parseEntry());
        if (m_reader.accept("expecting")) {
            BOOST_LEAF_AUTO(status, m_reader.number());
            m_statement.status = static_cast<unsigned>(status);
        }
        return {};
    }

    auto parseLoad() -> leaf::result<void>
    {
        if (m_reader.accept("from")) {
            BOOST_LEAF_ASSIGN(m_statement.file, m_reader.word("a load mix"));
        }
        BOOST_LEAF_ASSIGN(m_statement.rate, m_reader.number());
        BOOST_LEAF_CHECK(m_reader.keyword("per"));
        BOOST_LEAF_CHECK(m_reader.keyword("second"));
        BOOST_LEAF_CHECK(m_reader.keyword("for"));
        BOOST_LEAF_ASSIGN(m_statement.duration, m_reader.duration());
        m_statement.isRetrying = m_reader.accept("retrying");
        if (!m_reader.accept("through"))
            return {};
        while (!m_reader.isAtEnd()) {
            BOOST_LEAF_AUTO(entry, parseProcessNameOfType(ProcessType::Entry, "an entry instance"));
            m_statement.entries.push_back(entry);
        }
        return {};
    }

    auto parseProcessName() -> leaf::result<std::string>
    {
        BOOST_LEAF_AUTO(name, m_reader.word("the name of a process"));
        if (!m_processes.contains(name))
            return m_reader.errorAtLast("no process \"" + name + "\" has been started");
        return name;
    }

    auto parseProcessNameOfType(ProcessType type, const std::string& expected) -> leaf::result<std::string>
    {
        BOOST_LEAF_AUTO(name, parseProcessName());
        if (m_processes.find(name)->second != type)
            return m_reader.errorAtLast("expected " + expected);
        return name;
    }

    auto parseName() -> leaf::result<void>
    {
        BOOST_LEAF_ASSIGN(m_statement.name, parseProcessName());
        m_statement.process = m_processes.find(m_statement.name)->second;
        return {};
    }

    auto parseEntry() -> leaf::result<void>
    {
        BOOST_LEAF_ASSIGN(m_statement.name, parseProcessNameOfType(ProcessType::Entry, "an entry instance"));
        return {};
    }

    auto parseLinkFault(const std::string& key, const std::string& value) -> leaf::result<void>
    {
        BOOST_LEAF_ASSIGN(m_statement.name, parseProcessNameOfType(ProcessType::Link, "a link"));
        m_statement.options[key] = value;
        return {};
    }

    auto parseCut() -> leaf::result<void> { return parseLinkFault("cut", "true"); }
    auto parseMend() -> leaf::result<void> { return parseLinkFault("cut", "false"); }
    auto parseStall() -> leaf::result<void> { return parseStallState("true"); }
    auto parseResume() -> leaf::result<void> { return parseStallState("false"); }

    /// Stalls or resumes a link or the KV transfers of an engine.
    auto parseStallState(const std::string& value) -> leaf::result<void>
    {
        BOOST_LEAF_CHECK(parseName());
        const auto type = m_statement.process;
        if (type != ProcessType::Link && type != ProcessType::Engine)
            return m_reader.errorAtLast("expected a link or an engine");
        m_statement.options[type == ProcessType::Link ? "stall" : "stall_transfers"] = value;
        return {};
    }

    auto parseSlow() -> leaf::result<void>
    {
        BOOST_LEAF_CHECK(parseName());
        BOOST_LEAF_CHECK(m_reader.keyword("by"));
        BOOST_LEAF_AUTO(delay, m_reader.duration());
        if (m_statement.process == ProcessType::Link)
            m_statement.options["delay_us"] = std::to_string(delay.count());
        else
            m_statement.options["delay_ms"] = std::to_string(delay.count() / 1'000);
        return {};
    }

    /// Parses `lose reply` and `lose N replies`. They apply to the platform, or with `of NAME` to a
    /// service.
    auto parseLose() -> leaf::result<void>
    {
        std::string count = "1";
        if (!m_reader.accept("reply")) {
            BOOST_LEAF_AUTO(number, m_reader.number());
            count = std::to_string(static_cast<std::int64_t>(number));
            BOOST_LEAF_CHECK(m_reader.keyword("replies"));
        }
        if (!m_reader.accept("of")) {
            m_statement.options["lose_replies"] = count;
            return selectPlatform();
        }
        BOOST_LEAF_ASSIGN(m_statement.name, parseProcessNameOfType(ProcessType::Service, "a service"));
        m_statement.options["drop_replies"] = count;
        return {};
    }

    auto parsePlatform() -> leaf::result<void>
    {
        if (m_reader.accept("up")) {
            m_statement.options["down"] = "false";
            return selectPlatform();
        }
        BOOST_LEAF_CHECK(m_reader.keyword("down"));
        m_statement.options["down"] = m_reader.accept("hanging") ? "\"hang\"" : "true";
        return selectPlatform();
    }

    auto selectPlatform() -> leaf::result<void>
    {
        const auto found = std::ranges::find(m_processes, ProcessType::Platform, [](const auto& item) { return item.second; });
        if (found == m_processes.end())
            return m_reader.errorAtLast("no platform has been started");
        m_statement.name = found->first;
        return {};
    }

    auto parseFault() -> leaf::result<void>
    {
        BOOST_LEAF_CHECK(parseName());
        if (m_statement.process == ProcessType::Entry)
            return m_reader.errorAtLast("entry instances have no fault settings");
        if (m_reader.isAtEnd())
            return m_reader.error("expected KEY=VALUE");
        while (!m_reader.isAtEnd()) {
            BOOST_LEAF_AUTO(pair, m_reader.word("KEY=VALUE"));
            const auto equals = pair.find('=');
            if (equals == std::string::npos || equals == 0 || equals + 1 == pair.size())
                return m_reader.errorAtLast("expected KEY=VALUE");
            m_statement.options[pair.substr(0, equals)] = pair.substr(equals + 1);
        }
        return {};
    }

    auto parseWait() -> leaf::result<void>
    {
        if (!m_reader.accept("until")) {
            BOOST_LEAF_ASSIGN(m_statement.duration, m_reader.duration());
            return {};
        }
        if (m_reader.accept("load")) {
            m_statement.type = StatementType::WaitForLoad;
            return m_reader.keyword("ends");
        }
        m_statement.type = StatementType::WaitUntil;
        BOOST_LEAF_CHECK(parseCondition());
        // The default exceeds the duration of every step in the scenarios. `within` sets a shorter
        // timeout.
        if (!m_statement.condition.within)
            m_statement.condition.within = std::chrono::seconds(20);
        return {};
    }

    auto parseCondition() -> leaf::result<void>
    {
        auto& condition = m_statement.condition;
        BOOST_LEAF_ASSIGN(condition.metric, m_reader.word("a metric"));
        if (m_reader.accept("of")) {
            BOOST_LEAF_ASSIGN(condition.process, parseProcessName());
        }
        BOOST_LEAF_ASSIGN(condition.comparison, comparison());
        BOOST_LEAF_ASSIGN(condition.number, m_reader.number());
        if (m_reader.accept("within")) {
            BOOST_LEAF_ASSIGN(condition.within, m_reader.duration());
        }
        return {};
    }

    auto comparison() -> leaf::result<Comparison>
    {
        struct ComparisonSymbol {
            std::string_view text;
            Comparison comparison;
        };
        static constexpr std::array<ComparisonSymbol, 6> symbols { {
            { "=", Comparison::Equal },
            { "!=", Comparison::NotEqual },
            { "<", Comparison::Less },
            { "<=", Comparison::LessOrEqual },
            { ">", Comparison::Greater },
            { ">=", Comparison::GreaterOrEqual },
        } };
        for (const auto& symbol : symbols) {
            if (m_reader.accept(symbol.text))
                return symbol.comparison;
        }
        return m_reader.error("expected =, !=, <, <=, > or >=");
    }

    WordReader m_reader;
    ProcessTypesByName& m_processes;
    Statement m_statement;
};

}

auto parseScenario(std::string_view text) -> leaf::result<std::vector<Statement>>
{
    std::vector<Statement> statements;
    ProcessTypesByName processes;
    for (std::size_t line = 1; !text.empty(); ++line) {
        const auto end = std::min(text.find('\n'), text.size());
        WordReader reader(text.substr(0, end), line);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (reader.isAtEnd())
            continue;
        StatementParser parser(std::move(reader), processes);
        BOOST_LEAF_AUTO(statement, parser.parse());
        statements.push_back(std::move(statement));
    }
    return statements;
}

}
