#include "LogLine.h"

#include "LogQueue.h"

#include <easylogging++.h>

#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace jayhold {

namespace {

/// Capacity of the queue of log lines: some seconds of output of a busy instance.
constexpr std::size_t queueCapacityBytes = 256U << 10U;

auto outputQueue() -> LogQueue&
{
    static LogQueue queue(STDOUT_FILENO, queueCapacityBytes);
    return queue;
}

/// Replaces the logger's own output, which would block on a reader.
class QueueDispatch final : public el::LogDispatchCallback {
protected:
    auto handle(const el::LogDispatchData* data) noexcept -> void override
    {
        const auto* message = data->logMessage();
        const auto isFailure = message->level() == el::Level::Warning || message->level() == el::Level::Error;
        outputQueue().push(message->logger()->logBuilder()->build(message, true), isFailure);
    }
};

auto needsQuotes(std::string_view value) -> bool
{
    if (value.empty())
        return true;
    for (const auto character : value) {
        if (character <= ' ' || character == '"' || character == '=' || character == '\\' || character == '\x7f')
            return true;
    }
    return false;
}

auto appendEscaped(std::string& line, char character) -> void
{
    static constexpr std::string_view digits = "0123456789abcdef";
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
        line += '\\';
        line += character;
    } else if (character == '\n') {
        line += "\\n";
    } else if (code < ' ' || code == 0x7f) {
        line += "\\x";
        line += digits[code >> 4U];
        line += digits[code & 0xfU];
    } else {
        line += character;
    }
}

auto appendField(std::string& line, std::string_view key, std::string_view value) -> void
{
    if (!line.empty())
        line += ' ';
    line += key;
    line += '=';
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const auto character : value)
        appendEscaped(line, character);
    line += '"';
}

}

auto configureLogging(LogLevel minimumLevel) -> void
{
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "level=%levshort %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    const auto enable = [&](el::Level level, bool enabled) {
        configuration.set(level, el::ConfigurationType::Enabled, enabled ? "true" : "false");
    };
    enable(el::Level::Debug, minimumLevel <= LogLevel::Debug);
    enable(el::Level::Info, minimumLevel <= LogLevel::Info);
    enable(el::Level::Warning, minimumLevel <= LogLevel::Warning);
    el::Loggers::reconfigureLogger("default", configuration);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<QueueDispatch>("QueueDispatch");
}

auto formatLogLine(HybridTime time, std::string_view event, std::span<const LogField> fields) -> std::string
{
    std::string line;
    appendField(line, "time", toString(time));
    appendField(line, "event", event);
    for (const auto& field : fields)
        appendField(line, field.key, field.value);
    return line;
}

auto flushLog() -> void
{
    outputQueue().flush();
}

auto droppedLogLines() -> std::uint64_t
{
    return outputQueue().droppedLines();
}

auto writeLogLine(LogLevel level, std::string_view line) -> void
{
    switch (level) {
    case LogLevel::Debug:
        LOG(DEBUG) << line;
        break;
    case LogLevel::Info:
        LOG(INFO) << line;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << line;
        break;
    case LogLevel::Error:
        LOG(ERROR) << line;
        break;
    }
}

}
