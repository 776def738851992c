#include "servers/quarantine/crash_report.h"

#include "core/hash.h"

namespace foxtailtally {

std::uint64_t incarnationHash(const BackendServerId &server, Incarnation incarnation)
{
    return stableHash(server.str(), incarnation);
}

CrashKey crashKey(const CrashReport &report)
{
    return {report.fingerprint, incarnationHash(report.server, report.incarnation)};
}

} // namespace foxtailtally
