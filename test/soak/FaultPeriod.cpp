#include "FaultPeriod.h"

namespace jayhold::soak {

namespace {

auto isLinkFault(FaultKind kind) -> bool
{
    return kind >= FaultKind::CutLink && kind <= FaultKind::SlowLink;
}

}

auto isActive(const FaultPeriod& fault, TimePoint from, TimePoint until) -> bool
{
    // A fault that has not ended has the latest time as its end.
    return fault.from - faultTolerance <= until && fault.until >= from - faultTolerance;
}

auto concernsEntry(const PlannedFault& fault, std::size_t entry) -> bool
{
    return fault.kind == FaultKind::KillAllEntries || (fault.kind <= FaultKind::KillAllEntries && fault.target == entry);
}

auto concernsBackend(const PlannedFault& fault, std::size_t backend) -> bool
{
    const auto kind = fault.kind;
    const auto isProcessFault = (kind >= FaultKind::FreezeBackend && kind <= FaultKind::BackendLeaves) || kind >= FaultKind::BackendSaysLeaving;
    return (isProcessFault || isLinkFault(kind)) && fault.target == backend;
}

auto breaksConnections(const FaultPeriod& fault, std::size_t backend, TimePoint from, TimePoint until) -> bool
{
    if (fault.fault.target != backend)
        return false;
    const auto kind = fault.fault.kind;
    // The process is killed when the fault ends, before its replacement starts.
    const auto killedAt = fault.killedAt.value_or(fault.until);
    if (kind == FaultKind::BackendSaysLeaving || isRelease(kind))
        return killedAt >= from - faultTolerance && killedAt <= until + faultTolerance;
    return (kind == FaultKind::KillBackend || kind == FaultKind::CutLink || kind == FaultKind::ResetLink) && isActive(fault, from, until);
}

auto isStoreFault(FaultKind kind) -> bool
{
    return (kind >= FaultKind::StoreDown && kind <= FaultKind::StoreHistoryCompacted) || kind == FaultKind::StoreRestored;
}

auto concernsStoreOrEntry(const PlannedFault& fault, std::size_t entry, const FleetSize& size) -> bool
{
    return isStoreFault(fault.kind) || concernsEntry(fault, entry) || (isLinkFault(fault.kind) && fault.target == size.backends + entry);
}

auto concernsStoreOrEntries(const PlannedFault& fault, const FleetSize& size) -> bool
{
    return fault.kind <= FaultKind::KillAllEntries || isStoreFault(fault.kind) || (isLinkFault(fault.kind) && fault.target >= size.backends);
}

}
