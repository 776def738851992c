#pragma once

#include "servers/membership/gossip_messages.h"
#include "servers/quarantine/quarantine.h"

#include <optional>
#include <pthread.h>
#include <vector>

namespace foxtailtally {

/** Quarantine table of an instance; converts its reports from and to gossip. Thread-safe. */
class SuspectTracker
{
public:
    SuspectTracker() = default;
    ~SuspectTracker();
    SuspectTracker(const SuspectTracker &) = delete;
    SuspectTracker &operator=(const SuspectTracker &) = delete;

    /** Records a confirmed death; returns the crash reports to spread by gossip. */
    std::vector<CrashReportEntry> onServerDeath(const BackendServerId &server,
                                                Incarnation incarnation,
                                                const Fingerprint &fingerprint, absl::Time now);
    /** Merges a crash report. Returns its fingerprint, or none if the report is malformed. */
    std::optional<Fingerprint> onCrashReport(const CrashReportEntry &crashReport, absl::Time now);
    std::uint32_t deathsSeen(const Fingerprint &fingerprint, absl::Time now) const;
    void onTick(absl::Time now);

private:
    mutable pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
    Quarantine quarantine;
};

} // namespace foxtailtally
