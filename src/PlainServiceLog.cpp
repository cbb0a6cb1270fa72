#include "PlainService.h"

#include "Hexadecimal.h"

namespace jayhold {

auto PlainService::record(LogLevel level, const PlainCallInfo& call, std::string_view event, std::initializer_list<LogField> details) -> void
{
    m_context.log.record(level, event, fieldsOf(call, details));
}

auto PlainService::recordDecision(const PlainCallInfo& call, std::string_view event, std::initializer_list<LogField> details) -> void
{
    auto fields = fieldsOf(call, details);
    addFreshnessFields(m_context, fields);
    m_context.log.record(LogLevel::Info, event, fields);
}

auto PlainService::fieldsOf(const PlainCallInfo& call, std::initializer_list<LogField> details) const -> std::vector<LogField>
{
    std::vector<LogField> fields { { "request", call.requestId.empty() ? call.idempotencyKey : call.requestId }, { "service", m_name }, { "kind", call.kind.name } };
    if (!call.customer.empty())
        fields.emplace_back("customer", call.customer);
    if (call.signature)
        fields.emplace_back("signature", toHexadecimal(call.signature));
    fields.insert(fields.end(), details.begin(), details.end());
    return fields;
}

}
