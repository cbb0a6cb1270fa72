#pragma once

/// Small integer identifiers of the decision code. The daemon maps them to the names of the
/// configuration and of the instance list.

#include <cstdint>

namespace jayhold {

/// A request within one shard; never reused.
enum class RequestId : std::uint64_t {};

/// A backend server of the shard's service.
enum class ReplicaId : std::uint32_t {};

/// A customer, as an index into the configuration's list.
enum class CustomerId : std::uint32_t {};

/// A request kind, as an index into the service's list.
enum class KindId : std::uint16_t {};

/// An availability zone, as an index into the configuration's list.
enum class ZoneId : std::uint16_t {};

/// Counts the attempts of one request, from 1, so that a late outcome of an earlier attempt can be
/// told from that of the present one.
using Attempt = std::uint32_t;

}
