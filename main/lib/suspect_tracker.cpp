#include "main/lib/suspect_tracker.h"

#include "core/hash.h"
#include "core/lock.h"
#include "peers/instance/envelope.h"

#include <array>

namespace foxtailtally {

namespace {

/** Content of a crash report. The server is a hash, to stay within kMaxCrashReportBytes. */
struct CrashReportContent
{
    Fingerprint fingerprint {};
    std::uint64_t serverHash = 0;
    Incarnation incarnation = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->fingerprint, this->serverHash, this->incarnation);
    }
};

BackendServerId idOfHash(std::uint64_t hash)
{
    return BackendServerId(std::to_string(hash));
}

CrashReportEntry toCrashReportEntry(const CrashReport &report, absl::Time now)
{
    CrashReportContent content;
    content.fingerprint = report.fingerprint;
    content.serverHash = std::strtoull(report.server.str().c_str(), nullptr, 10);
    content.incarnation = report.incarnation;
    CrashReportEntry entry;
    entry.content = packMessage(content);
    entry.key = fingerprintOf(entry.content);
    const absl::Duration remaining = report.diedAt + kQuarantineDuration - now;
    entry.remainingMs = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(remaining));
    return entry;
}

} // namespace

SuspectTracker::~SuspectTracker()
{
    pthread_mutex_destroy(&this->mutex);
}

std::vector<CrashReportEntry> SuspectTracker::onServerDeath(const BackendServerId &server,
                                                            Incarnation incarnation,
                                                            const Fingerprint &fingerprint,
                                                            absl::Time now)
{
    const Lock lock(this->mutex);
    const std::array<Fingerprint, 1> running {fingerprint};
    std::vector<CrashReportEntry> crashReports;
    for (const CrashReport &report : this->quarantine.onServerDeath(
             idOfHash(stableHash(server.str())), incarnation, running, now))
        crashReports.push_back(toCrashReportEntry(report, now));
    return crashReports;
}

std::optional<Fingerprint> SuspectTracker::onCrashReport(const CrashReportEntry &crashReport,
                                                         absl::Time now)
{
    const Result<CrashReportContent> content =
        unpackMessage<CrashReportContent>(crashReport.content);
    if (!content.ok())
        return std::nullopt;
    CrashReport report;
    report.fingerprint = content->fingerprint;
    report.server = idOfHash(content->serverHash);
    report.incarnation = content->incarnation;
    report.diedAt = now + absl::Milliseconds(crashReport.remainingMs) - kQuarantineDuration;
    const Lock lock(this->mutex);
    this->quarantine.onCrashReport(report, now);
    return report.fingerprint;
}

std::uint32_t SuspectTracker::deathsSeen(const Fingerprint &fingerprint, absl::Time now) const
{
    const Lock lock(this->mutex);
    return this->quarantine.deathsSeen(fingerprint, now);
}

void SuspectTracker::onTick(absl::Time now)
{
    const Lock lock(this->mutex);
    this->quarantine.onTick(now);
}

} // namespace foxtailtally
