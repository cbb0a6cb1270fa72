#pragma once

/// Small integer identifiers of the decision code. The daemon maps them to the names in the
/// configuration and in the list of instances.

#include <cstdint>

namespace jayhold {

/// A request within one shard. Identifiers are never reused.
enum class RequestId : std::uint64_t {};

/// A backend server of the shard's service.
enum class ReplicaId : std::uint32_t {};

/// A customer, as an index into the configuration's list.
enum class CustomerId : std::uint32_t {};

/// Stands for the callers of requests that come on behalf of no customer.
constexpr CustomerId noCustomer { UINT32_MAX };

/// A request kind, as an index into the service's list.
enum class KindId : std::uint16_t {};

/// An availability zone, as an index into the configuration's list.
enum class ZoneId : std::uint16_t {};

/// A software version of backend servers. Versions have no order.
enum class SoftwareVersionId : std::uint32_t {};

/// The version of all servers whose entries name none.
constexpr SoftwareVersionId unknownVersion { 0 };

/// Number of an attempt of one request, starting from 1. It distinguishes a late outcome of an earlier
/// attempt from an outcome of the current one.
using Attempt = std::uint32_t;

/// Number of a reservation for the replacement of a silent attempt, starting from 1 and never reused by a shard. It
/// distinguishes a late outcome of an earlier reservation from that of the current one.
using ReplacementNumber = std::uint64_t;

}
