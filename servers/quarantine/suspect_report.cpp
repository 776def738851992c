#include "servers/quarantine/suspect_report.h"

#include "core/hash.h"

namespace foxtailtally {

std::uint64_t lifeHash(const BackendServerId &server, Incarnation incarnation)
{
    return stableHash(server.str(), incarnation);
}

DeathKey deathKey(const SuspectReport &report)
{
    return {report.fingerprint, lifeHash(report.server, report.incarnation)};
}

} // namespace foxtailtally
