#include "main/lib/suspect_tracker.h"

#include "core/hash.h"
#include "core/lock.h"
#include "peers/instance/envelope.h"

#include <array>

namespace foxtailtally {

namespace {

/** Content of a verdict. The server is sent as a hash to stay within kMaxVerdictBytes. */
struct VerdictContent
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

VerdictEntry toVerdict(const CrashReport &report, absl::Time now)
{
    VerdictContent content;
    content.fingerprint = report.fingerprint;
    content.serverHash = std::strtoull(report.server.str().c_str(), nullptr, 10);
    content.incarnation = report.incarnation;
    VerdictEntry entry;
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

std::vector<VerdictEntry> SuspectTracker::onServerDeath(const BackendServerId &server,
                                                        Incarnation incarnation,
                                                        const Fingerprint &fingerprint,
                                                        absl::Time now)
{
    const Lock lock(this->mutex);
    const std::array<Fingerprint, 1> running {fingerprint};
    std::vector<VerdictEntry> verdicts;
    for (const CrashReport &report : this->quarantine.onServerDeath(
             idOfHash(stableHash(server.str())), incarnation, running, now))
        verdicts.push_back(toVerdict(report, now));
    return verdicts;
}

std::optional<Fingerprint> SuspectTracker::onVerdict(const VerdictEntry &verdict, absl::Time now)
{
    const Result<VerdictContent> content = unpackMessage<VerdictContent>(verdict.content);
    if (!content.ok())
        return std::nullopt;
    CrashReport report;
    report.fingerprint = content->fingerprint;
    report.server = idOfHash(content->serverHash);
    report.incarnation = content->incarnation;
    report.diedAt = now + absl::Milliseconds(verdict.remainingMs) - kQuarantineDuration;
    const Lock lock(this->mutex);
    this->quarantine.onVerdict(report, now);
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
