#include "VersionedCopy.h"

namespace jayhold {

auto shouldFetch(VersionedCopy& copy, TimePoint now, std::int64_t peerVersion, Duration fetchTimeout) -> bool
{
    if (peerVersion <= copy.version || now < copy.fetchingUntil)
        return false;
    copy.fetchingUntil = now + fetchTimeout;
    return true;
}

auto fetchEnded(VersionedCopy& copy) -> void
{
    copy.fetchingUntil = {};
}

auto acceptIfNewer(VersionedCopy& copy, std::int64_t version) -> bool
{
    if (version <= copy.version)
        return false;
    copy.version = version;
    return true;
}

}
