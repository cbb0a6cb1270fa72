#include "ProcessIdentity.h"

#include "Rendezvous.h"

namespace jayhold {

auto processIdentity(const BackendServer& server) -> std::uint64_t
{
    return stableHash(server.id + "/" + server.incarnation);
}

}
