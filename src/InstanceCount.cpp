#include "InstanceCount.h"

#include <algorithm>

namespace jayhold {

auto noteInstance(InstanceCount& count, TimePoint now, const std::string& name, std::int64_t revision) -> void
{
    auto [entry, isNew] = count.instances.try_emplace(name, InstanceCount::Seen { revision, now });
    if (!isNew && entry->second.revision != revision)
        entry->second = { revision, now };
}

auto liveInstances(InstanceCount& count, TimePoint now) -> std::uint32_t
{
    const auto live = std::ranges::count_if(count.instances, [&](const auto& entry) { return now - entry.second.at < count.lifetime; });
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(live));
}

}
