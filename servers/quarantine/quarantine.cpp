#include "servers/quarantine/quarantine.h"

#include "core/hash.h"

#include <algorithm>
#include <tuple>

namespace foxtailtally {

namespace {

// Clocks of instances differ by less than this; reports from further in the future are ignored.
constexpr absl::Duration kMaxClockSkew = absl::Minutes(1);

bool isCurrent(absl::Time happenedAt, absl::Time now)
{
    return happenedAt + kQuarantineDuration > now;
}

/** Rejects reports by a clock that runs far ahead, which would count for much longer than
 * kQuarantineDuration. */
bool isCredible(absl::Time happenedAt, absl::Time now)
{
    return isCurrent(happenedAt, now) && happenedAt <= now + kMaxClockSkew;
}

std::uint64_t hashOf(const Fingerprint &fingerprint)
{
    return stableHash({reinterpret_cast<const char *>(fingerprint.data()), fingerprint.size()});
}

} // namespace

absl::Time Quarantine::Entry::newestTime() const
{
    return this->deaths.empty() ? this->servedAt
                                : std::max(this->servedAt, this->deaths.front().diedAt);
}

bool Quarantine::isNewer(const Death &a, const Death &b)
{
    return std::tie(b.diedAt, a.server, a.incarnation)
        < std::tie(a.diedAt, b.server, b.incarnation);
}

std::vector<CrashReport> Quarantine::onServerDeath(const BackendServerId &server,
                                                   Incarnation incarnation,
                                                   std::span<const Fingerprint> running,
                                                   absl::Time now)
{
    std::vector<CrashReport> newReports;
    for (const Fingerprint &fingerprint : running) {
        if (this->wasServedRecently(fingerprint, now))
            continue;
        const CrashReport report {fingerprint, server, incarnation, now};
        if (this->addDeath(report, true, now))
            newReports.push_back(report);
    }
    return newReports;
}

bool Quarantine::onCrashReport(const CrashReport &report, absl::Time now)
{
    return this->addDeath(report, false, now);
}

bool Quarantine::addDeath(const CrashReport &report, bool isLocal, absl::Time now)
{
    const absl::Time diedAt = report.diedAt;
    if (!isCredible(diedAt, now) || this->withdrawn.contains(crashKey(report)))
        return false;
    Entry &entry = this->entries[report.fingerprint];
    if (diedAt <= entry.servedAt + kServedRetention)
        return false;
    Deaths &deaths = entry.deaths;
    const Death death {report.server, report.incarnation, diedAt, isLocal};
    const auto same = std::find_if(deaths.begin(), deaths.end(), [&](const Death &known) {
        return known.server == death.server && known.incarnation == death.incarnation;
    });
    if (same != deaths.end()) {
        // Instances see one death at different times; all keep the latest of these times. With the
        // earliest one the result of a merge would depend on which deaths were dropped before.
        same->diedAt = std::max(same->diedAt, diedAt);
        std::sort(deaths.begin(), deaths.end(), isNewer);
        return false;
    }
    deaths.push_back(death);
    std::sort(deaths.begin(), deaths.end(), isNewer);
    const bool isKept = deaths.size() <= kMaxDeaths || deaths.back().server != death.server
        || deaths.back().incarnation != death.incarnation;
    if (deaths.size() > kMaxDeaths)
        deaths.pop_back();
    this->onChanged();
    return isKept && this->entries.contains(report.fingerprint);
}

bool Quarantine::recordServed(const Fingerprint &fingerprint, absl::Time now)
{
    this->recentlyServed.add(hashOf(fingerprint), now);
    return this->entries.contains(fingerprint) && this->onServed({fingerprint, now}, now);
}

bool Quarantine::wasServedRecently(const Fingerprint &fingerprint, absl::Time now) const
{
    return this->recentlyServed.contains(hashOf(fingerprint), now);
}

bool Quarantine::onServed(const ServedReport &report, absl::Time now)
{
    if (!isCredible(report.servedAt, now))
        return false;
    Entry &entry = this->entries[report.fingerprint];
    const bool isFirst = entry.servedAt == absl::InfinitePast();
    entry.servedAt = std::max(entry.servedAt, report.servedAt);
    const std::size_t cleared = std::erase_if(entry.deaths, [&entry](const Death &death) {
        return death.diedAt <= entry.servedAt + kServedRetention;
    });
    if (!isFirst && cleared == 0)
        return false;
    this->onChanged();
    return this->entries.contains(report.fingerprint);
}

void Quarantine::withdrawDeathsOfListed(const ServerListing &listing)
{
    const absl::Time latest = listing.confirmedUntil() - this->options.listRemovalDelay;
    if (this->entries.empty() || listing.confirmedFrom() > latest)
        return;
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        std::erase_if(entry->second.deaths, [&](const Death &death) {
            return death.diedAt <= latest && listing.has(death.server, death.incarnation);
        });
        const bool isEmpty =
            entry->second.deaths.empty() && entry->second.servedAt == absl::InfinitePast();
        entry = isEmpty ? this->entries.erase(entry) : std::next(entry);
    }
    this->onChanged();
}

void Quarantine::withdraw(const CrashKey &death, absl::Time now)
{
    this->withdrawn[death] = now + kQuarantineDuration;
    const auto found = this->entries.find(death.fingerprint);
    if (found == this->entries.end())
        return;
    std::erase_if(found->second.deaths, [&death](const Death &known) {
        return incarnationHash(known.server, known.incarnation) == death.incarnationHash;
    });
    if (found->second.deaths.empty() && found->second.servedAt == absl::InfinitePast())
        this->entries.erase(found);
    this->onChanged();
}

std::vector<CrashReport> Quarantine::deathsToRecord(absl::Time now) const
{
    std::vector<CrashReport> reports;
    for (const auto &[fingerprint, entry] : this->entries) {
        if (this->nextRun(fingerprint, now) != SuspectRun::Last)
            continue;
        for (const Death &death : entry.deaths) {
            if (death.isLocal && isCurrent(death.diedAt, now))
                reports.push_back({fingerprint, death.server, death.incarnation, death.diedAt});
        }
    }
    return reports;
}

bool Quarantine::has(const CrashKey &death) const
{
    const auto found = this->entries.find(death.fingerprint);
    return found != this->entries.end()
        && std::any_of(found->second.deaths.begin(), found->second.deaths.end(),
                       [&death](const Death &known) {
                           return incarnationHash(known.server, known.incarnation)
                               == death.incarnationHash;
                       });
}

std::uint64_t Quarantine::digest() const
{
    if (this->cachedDigest)
        return *this->cachedDigest;
    std::uint64_t digest = 0;
    for (const auto &[fingerprint, entry] : this->entries) {
        const std::uint64_t key = hashOf(fingerprint);
        if (entry.servedAt != absl::InfinitePast())
            digest ^= stableHash("served", key);
        for (const Death &death : entry.deaths)
            digest ^= stableHash("death", key ^ incarnationHash(death.server, death.incarnation));
    }
    this->cachedDigest = digest;
    return digest;
}

void Quarantine::onChanged()
{
    while (this->entries.size() > this->options.maxFingerprints)
        this->evictOne();
    this->cachedDigest.reset();
}

void Quarantine::evictOne()
{
    auto victim = this->entries.begin();
    const auto rank = [this](const Entry &entry) {
        return std::tuple(distinctDeathTimes(entry.deaths, absl::InfinitePast()).size()
                              >= this->options.deaths,
                          entry.newestTime());
    };
    for (auto entry = this->entries.begin(); entry != this->entries.end(); ++entry) {
        if (rank(entry->second) < rank(victim->second))
            victim = entry;
    }
    this->entries.erase(victim);
}

std::vector<absl::Time> Quarantine::distinctDeathTimes(const Deaths &deaths, absl::Time now)
{
    std::vector<absl::Time> times;
    for (std::size_t i = 0; i < deaths.size(); ++i) {
        if (!isCurrent(deaths[i].diedAt, now))
            continue;
        const bool isSame =
            std::any_of(deaths.begin(), deaths.begin() + static_cast<std::ptrdiff_t>(i),
                        [&](const Death &newer) {
                            return newer.server == deaths[i].server
                                && newer.diedAt - deaths[i].diedAt < kSameDeathWindow;
                        });
        if (!isSame)
            times.push_back(deaths[i].diedAt);
    }
    return times;
}

std::uint32_t Quarantine::deathsSeen(const Fingerprint &fingerprint, absl::Time now) const
{
    const auto found = this->entries.find(fingerprint);
    return found == this->entries.end()
        ? 0
        : static_cast<std::uint32_t>(distinctDeathTimes(found->second.deaths, now).size());
}

QuarantineState Quarantine::check(const Fingerprint &fingerprint, absl::Time now) const
{
    const std::uint32_t deaths = this->deathsSeen(fingerprint, now);
    if (deaths >= this->options.deaths)
        return QuarantineState::Quarantined;
    return deaths > 0 ? QuarantineState::Suspect : QuarantineState::Clear;
}

SuspectRun Quarantine::nextRun(const Fingerprint &fingerprint, absl::Time now) const
{
    const std::uint32_t deaths = this->deathsSeen(fingerprint, now);
    if (deaths == 0)
        return SuspectRun::None;
    return deaths + 1 < this->options.deaths ? SuspectRun::Early : SuspectRun::Last;
}

absl::Duration Quarantine::retryAfter(const Fingerprint &fingerprint, absl::Time now) const
{
    if (this->check(fingerprint, now) != QuarantineState::Quarantined)
        return absl::ZeroDuration();
    // The quarantine ends when too few deaths still count.
    const std::vector<absl::Time> times =
        distinctDeathTimes(this->entries.find(fingerprint)->second.deaths, now);
    return times[this->options.deaths - 1] + kQuarantineDuration - now;
}

std::vector<CrashReport> Quarantine::reports(absl::Time now) const
{
    std::vector<CrashReport> all;
    for (const auto &[fingerprint, entry] : this->entries) {
        for (const Death &death : entry.deaths) {
            if (isCurrent(death.diedAt, now))
                all.push_back({fingerprint, death.server, death.incarnation, death.diedAt});
        }
    }
    return all;
}

std::vector<ServedReport> Quarantine::servedReports(absl::Time now) const
{
    std::vector<ServedReport> all;
    for (const auto &[fingerprint, entry] : this->entries) {
        if (isCurrent(entry.servedAt, now))
            all.push_back({fingerprint, entry.servedAt});
    }
    return all;
}

void Quarantine::onTick(absl::Time now)
{
    absl::erase_if(this->withdrawn, [now](const auto &item) { return item.second <= now; });
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        Deaths &deaths = entry->second.deaths;
        const std::size_t expired = std::erase_if(
            deaths, [&](const Death &death) { return !isCurrent(death.diedAt, now); });
        absl::Time &servedAt = entry->second.servedAt;
        const bool isServedExpired = servedAt != absl::InfinitePast() && !isCurrent(servedAt, now);
        if (isServedExpired)
            servedAt = absl::InfinitePast();
        if (expired > 0 || isServedExpired)
            this->cachedDigest.reset();
        const bool isEmpty = deaths.empty() && servedAt == absl::InfinitePast();
        entry = isEmpty ? this->entries.erase(entry) : std::next(entry);
    }
}

} // namespace foxtailtally
