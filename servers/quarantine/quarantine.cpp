#include "servers/quarantine/quarantine.h"

#include "core/hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace foxtailtally {

namespace {

// Clocks of instances differ by less than this; reports from further in the future are ignored.
constexpr absl::Duration kMaxClockSkew = absl::Minutes(1);

// Any number of deaths of one common cause shows nothing.
constexpr std::size_t kMinCountedDeaths = 2;

// A single shared death is no sign that a fingerprint has caused others.
constexpr std::size_t kMinSharedDeaths = 2;

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

std::vector<CrashReport> Quarantine::onCallLost(const BackendServerId &server,
                                                Incarnation incarnation,
                                                const CallFingerprints &call, absl::Time causeSince,
                                                absl::Time now, bool wasTrial)
{
    std::vector<CrashReport> newReports;
    const CrashReport ofCall = {call.call, server, incarnation, now, absl::InfiniteFuture(),
                                wasTrial};
    if (!this->wasServedRecently(call.call, now) && this->addDeath(ofCall, true, now))
        newReports.push_back(ofCall);
    for (const Fingerprint &part : call.parts) {
        const CrashReport report {part, server, incarnation, now, causeSince, wasTrial};
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
    const std::optional<absl::Time> partServedAt =
        this->recentlyServedParts.servedAt(hashOf(report.fingerprint), now);
    if (partServedAt && diedAt <= *partServedAt)
        return false;
    Entry &entry = this->entries[report.fingerprint];
    if (diedAt <= entry.servedAt + kServedRetention)
        return false;
    ServerDeaths &deaths = entry.deaths;
    const ServerDeath death {report.server, report.incarnation,
                             diedAt,        std::min(report.causeSince, diedAt),
                             isLocal,       report.wasTrial};
    const auto find = [&deaths, &death] {
        return std::find_if(deaths.begin(), deaths.end(), [&death](const ServerDeath &known) {
            return known.server == death.server && known.incarnation == death.incarnation;
        });
    };
    if (const auto same = find(); same != deaths.end()) {
        // Instances see one death at different times; all keep the latest of these times. With the
        // earliest one the result of a merge would depend on which deaths were dropped before.
        const bool wasTrial = same->wasTrial;
        const auto latest = std::max(std::tuple(same->diedAt, same->causeSince, same->wasTrial),
                                     std::tuple(death.diedAt, death.causeSince, death.wasTrial));
        std::tie(same->diedAt, same->causeSince, same->wasTrial) = latest;
        const bool hasChanged = same->wasTrial != wasTrial;
        std::sort(deaths.begin(), deaths.end(), isNewer);
        this->cachedCulprits = {};
        if (hasChanged)
            this->cachedDigest.reset();
        return hasChanged;
    }
    deaths.push_back(death);
    std::sort(deaths.begin(), deaths.end(), isNewer);
    if (deaths.size() > kMaxDeaths)
        deaths.erase(deaths.begin() + static_cast<std::ptrdiff_t>(leastUseful(deaths)));
    const bool isKept = find() != deaths.end();
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

std::vector<ServedReport> Quarantine::recordPartsServed(std::span<const Fingerprint> parts,
                                                        absl::Time servedAt, absl::Time now)
{
    std::vector<ServedReport> news;
    for (const Fingerprint &part : parts) {
        if (this->onPartServed(part, servedAt, now))
            news.push_back({part, servedAt, absl::ZeroDuration()});
    }
    return news;
}

bool Quarantine::onPartServed(const Fingerprint &part, absl::Time servedAt, absl::Time now)
{
    this->recentlyServedParts.add(hashOf(part), servedAt, now);
    this->trials.remove(part);
    const auto entry = this->entries.find(part);
    if (entry == this->entries.end())
        return false;
    const std::size_t cleared =
        std::erase_if(entry->second.deaths,
                      [servedAt](const ServerDeath &death) { return death.diedAt <= servedAt; });
    if (cleared == 0)
        return false;
    if (entry->second.deaths.empty() && entry->second.servedAt == absl::InfinitePast())
        this->entries.erase(entry);
    this->onChanged();
    return true;
}

std::optional<ServedReport> Quarantine::contradictionOf(const CrashReport &report,
                                                        absl::Time now) const
{
    if (this->wasServedRecently(report.fingerprint, now))
        return ServedReport {report.fingerprint, now};
    const std::optional<absl::Time> partServedAt =
        this->recentlyServedParts.servedAt(hashOf(report.fingerprint), now);
    if (partServedAt && report.diedAt <= *partServedAt)
        return ServedReport {report.fingerprint, *partServedAt, absl::ZeroDuration()};
    return std::nullopt;
}

bool Quarantine::onServed(const ServedReport &report, absl::Time now)
{
    if (!isCredible(report.servedAt, now))
        return false;
    if (report.trustedFor == absl::ZeroDuration())
        return this->onPartServed(report.fingerprint, std::min(report.servedAt, now), now);
    this->trials.remove(report.fingerprint);
    Entry &entry = this->entries[report.fingerprint];
    const bool isFirst = entry.servedAt == absl::InfinitePast();
    entry.servedAt = std::max(entry.servedAt, report.servedAt);
    const std::size_t cleared = std::erase_if(entry.deaths, [&entry](const ServerDeath &death) {
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
        std::erase_if(entry->second.deaths, [&](const ServerDeath &death) {
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
    std::erase_if(found->second.deaths, [&death](const ServerDeath &known) {
        return incarnationHash(known.server, known.incarnation) == death.incarnationHash;
    });
    if (found->second.deaths.empty() && found->second.servedAt == absl::InfinitePast())
        this->entries.erase(found);
    this->onChanged();
}

void Quarantine::withdrawAll(const Fingerprint &fingerprint, absl::Time now)
{
    const auto found = this->entries.find(fingerprint);
    if (found == this->entries.end())
        return;
    const ServerDeaths deaths = found->second.deaths;
    for (const ServerDeath &death : deaths)
        this->withdraw({fingerprint, incarnationHash(death.server, death.incarnation)}, now);
}

std::vector<CrashReport> Quarantine::deathsToRecord(absl::Time now) const
{
    std::vector<CrashReport> reports;
    for (const auto &[fingerprint, entry] : this->entries) {
        if (judge(entry.deaths, {}, now).counted.size() + 1 < this->options.deaths)
            continue;
        for (const ServerDeath &death : entry.deaths) {
            if (death.isLocal && isCurrent(death.diedAt, now))
                reports.push_back(toReport(fingerprint, death));
        }
    }
    return reports;
}

bool Quarantine::has(const CrashKey &death) const
{
    const auto found = this->entries.find(death.fingerprint);
    return found != this->entries.end()
        && std::any_of(found->second.deaths.begin(), found->second.deaths.end(),
                       [&death](const ServerDeath &known) {
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
        // Instances may have dropped different deaths.
        if (entry.deaths.size() >= kMaxDeaths) {
            digest ^= stableHash("full", key);
            continue;
        }
        for (const ServerDeath &death : entry.deaths)
            digest ^= stableHash(death.wasTrial ? "trial" : "death",
                                 key ^ incarnationHash(death.server, death.incarnation));
    }
    this->cachedDigest = digest;
    return digest;
}

void Quarantine::onChanged()
{
    while (this->entries.size() > this->options.maxFingerprints)
        this->evictOne();
    this->cachedDigest.reset();
    this->cachedCulprits = {};
}

void Quarantine::evictOne()
{
    const auto rank = [this](const Entry &entry) {
        return std::pair(this->isSuspectedCulprit(entry, absl::InfinitePast()), entry.newestTime());
    };
    auto victim = this->entries.begin();
    auto lowest = rank(victim->second);
    for (auto entry = std::next(victim); entry != this->entries.end(); ++entry) {
        if (const auto next = rank(entry->second); next < lowest) {
            victim = entry;
            lowest = next;
        }
    }
    this->entries.erase(victim);
}

Quarantine::Verdict Quarantine::judge(const ServerDeaths &deaths, const Culprits &culprits,
                                      absl::Time now)
{
    const auto isExplained = [&](const ServerDeath &death) {
        const std::uint64_t server = incarnationHash(death.server, death.incarnation);
        return std::any_of(culprits.all.begin(), culprits.all.end(), [&](const Culprit &culprit) {
            return culprit.servers.size() > deaths.size() && culprit.servers.contains(server);
        });
    };
    Verdict verdict;
    ServerDeaths distinct;
    for (auto death = deaths.begin(); death != deaths.end(); ++death) {
        if (!isCurrent(death->diedAt, now))
            continue;
        verdict.deathsHash ^= incarnationHash(death->server, death->incarnation);
        const bool isSame = std::any_of(deaths.begin(), death, [&death](const ServerDeath &newer) {
            return newer.server == death->server && newer.diedAt - death->diedAt < kSameDeathWindow;
        });
        if (!isSame && !isExplained(*death)) {
            distinct.push_back(*death);
            verdict.deathTimes.push_back(death->diedAt);
        }
    }
    // The deaths that end first leave most room for others.
    for (auto death = distinct.rbegin(); death != distinct.rend(); ++death) {
        if (verdict.counted.empty() || death->causeSince >= verdict.counted.back().diedAt)
            verdict.counted.push_back(*death);
    }
    std::reverse(verdict.counted.begin(), verdict.counted.end());
    return verdict;
}

bool Quarantine::isQuarantined(const Verdict &verdict) const
{
    const std::size_t counted = verdict.counted.size();
    return counted >= this->options.deaths
        || (counted >= kMinCountedDeaths && counted + 1 >= this->options.deaths
            && verdict.deathTimes.size() >= this->options.deathsOfAnyCause);
}

bool Quarantine::isSuspectedCulprit(const Entry &entry, absl::Time now) const
{
    return entry.deaths.size() >= std::min(this->options.deaths, this->options.deathsOfAnyCause)
        && this->isQuarantined(judge(entry.deaths, {}, now));
}

Quarantine::Culprits Quarantine::findCulprits(absl::Time now) const
{
    Culprits culprits;
    culprits.validFrom = now;
    culprits.validUntil = absl::InfiniteFuture();
    std::vector<std::pair<const Entry *, Culprit>> suspected;
    for (const auto &[fingerprint, entry] : this->entries) {
        if (!this->isSuspectedCulprit(entry, now))
            continue;
        Culprit culprit;
        culprit.fingerprint = fingerprint;
        culprit.servers = deadServers(entry.deaths, now);
        for (const ServerDeath &death : entry.deaths) {
            if (isCurrent(death.diedAt, now))
                culprits.validUntil =
                    std::min(culprits.validUntil, death.diedAt + kQuarantineDuration);
        }
        suspected.emplace_back(&entry, std::move(culprit));
    }
    std::stable_sort(suspected.begin(), suspected.end(), [](const auto &a, const auto &b) {
        return a.second.servers.size() > b.second.servers.size();
    });
    for (auto &[entry, culprit] : suspected) {
        const Verdict verdict = judge(entry->deaths, culprits, now);
        if (!this->isQuarantined(verdict))
            continue;
        culprits.all.push_back(std::move(culprit));
        ++culprits.sharing[verdict.deathsHash];
    }
    for (Culprit &culprit : culprits.all)
        culprit.alternatives = this->alternativesTo(culprit, now);
    return culprits;
}

std::vector<Quarantine::Alternative> Quarantine::alternativesTo(const Culprit &culprit,
                                                                absl::Time now) const
{
    std::vector<Alternative> alternatives;
    for (const auto &[fingerprint, entry] : this->entries) {
        if (entry.deaths.size() < kMinSharedDeaths)
            continue;
        const DeadServers servers = deadServers(entry.deaths, now);
        const std::size_t shared = sharedCount(servers, culprit.servers);
        if (shared >= kMinSharedDeaths && servers != culprit.servers)
            alternatives.push_back({fingerprint, shared});
    }
    std::stable_sort(
        alternatives.begin(), alternatives.end(),
        [](const Alternative &a, const Alternative &b) { return a.sharedDeaths > b.sharedDeaths; });
    return alternatives;
}

const Quarantine::Culprits &Quarantine::culprits(absl::Time now) const
{
    if (now < this->cachedCulprits.validFrom || now >= this->cachedCulprits.validUntil)
        this->cachedCulprits = this->findCulprits(now);
    return this->cachedCulprits;
}

Quarantine::Verdict Quarantine::verdictOf(const Fingerprint &fingerprint, absl::Time now) const
{
    const auto entry = this->entries.find(fingerprint);
    if (entry == this->entries.end() || entry->second.deaths.empty())
        return {};
    return judge(entry->second.deaths, this->culprits(now), now);
}

std::uint32_t Quarantine::deathsSeen(const Fingerprint &fingerprint, absl::Time now) const
{
    return static_cast<std::uint32_t>(this->verdictOf(fingerprint, now).counted.size());
}

DeathEvidence Quarantine::evidence(const Fingerprint &fingerprint, absl::Time now) const
{
    DeathEvidence evidence;
    const auto entry = this->entries.find(fingerprint);
    if (entry == this->entries.end())
        return evidence;
    const ServerDeaths &deaths = entry->second.deaths;
    const Culprits &culprits = this->culprits(now);
    evidence.deaths = judge(deaths, {}, now).deathTimes.size();
    evidence.counted = judge(deaths, culprits, now).counted.size();
    for (const Culprit &culprit : culprits.all) {
        if (culprit.servers.size() <= deaths.size())
            continue;
        const auto shared = static_cast<std::size_t>(
            std::count_if(deaths.begin(), deaths.end(), [&](const ServerDeath &death) {
                return culprit.servers.contains(incarnationHash(death.server, death.incarnation));
            }));
        if (shared <= evidence.attributed)
            continue;
        evidence.attributed = shared;
        evidence.attributedTo = culprit.fingerprint;
    }
    return evidence;
}

QuarantineState Quarantine::check(const Fingerprint &fingerprint, absl::Time now) const
{
    const Verdict verdict = this->verdictOf(fingerprint, now);
    if (this->isQuarantined(verdict))
        return QuarantineState::Quarantined;
    return verdict.counted.empty() ? QuarantineState::Clear : QuarantineState::Suspect;
}

std::vector<Fingerprint> Quarantine::refusedFingerprints(const CallFingerprints &call,
                                                         absl::Time now) const
{
    std::vector<Fingerprint> refused;
    if (this->entries.empty())
        return refused;
    // Quarantined fingerprints of the call, by their deaths.
    absl::flat_hash_map<std::uint64_t, std::vector<Fingerprint>> held;
    const auto add = [&](const Fingerprint &fingerprint) {
        const Verdict verdict = this->verdictOf(fingerprint, now);
        if (this->isQuarantined(verdict))
            held[verdict.deathsHash].push_back(fingerprint);
    };
    add(call.call);
    std::for_each(call.parts.begin(), call.parts.end(), add);
    const absl::flat_hash_map<std::uint64_t, std::size_t> &all = this->culprits(now).sharing;
    for (const auto &[deathsHash, fingerprints] : held) {
        const auto sharing = all.find(deathsHash);
        if (sharing == all.end() || fingerprints.size() >= sharing->second)
            refused.insert(refused.end(), fingerprints.begin(), fingerprints.end());
    }
    return refused;
}

bool Quarantine::refuses(const CallFingerprints &call, absl::Time now) const
{
    return !this->refusedFingerprints(call, now).empty();
}

bool Quarantine::refusesTrial(const CallFingerprints &call, const Trial &trial,
                              absl::Time now) const
{
    const std::vector<Fingerprint> refused = this->refusedFingerprints(call, now);
    return std::any_of(refused.begin(), refused.end(), [&](const Fingerprint &fingerprint) {
        const bool isTried =
            std::find(trial.fingerprints.begin(), trial.fingerprints.end(), fingerprint)
            != trial.fingerprints.end();
        return !isTried || this->newestDeath(fingerprint) > trial.startedAt;
    });
}

std::optional<Trial> Quarantine::startTrial(const CallFingerprints &call, absl::Time now)
{
    Trial trial;
    trial.startedAt = now;
    trial.fingerprints = this->refusedFingerprints(call, now);
    if (trial.fingerprints.empty() || this->trialDueAt(trial.fingerprints, call, now) > now)
        return std::nullopt;
    for (const Fingerprint &fingerprint : trial.fingerprints)
        this->trials.add({fingerprint, now}, now);
    return trial;
}

bool Quarantine::onTrial(const TrialReport &report, absl::Time now)
{
    return this->trials.add(report, now);
}

absl::Time Quarantine::newestDeath(const Fingerprint &fingerprint) const
{
    const auto entry = this->entries.find(fingerprint);
    return entry == this->entries.end() || entry->second.deaths.empty()
        ? absl::InfinitePast()
        : entry->second.deaths.front().diedAt;
}

absl::Time Quarantine::trialDueAt(std::span<const Fingerprint> refused,
                                  const CallFingerprints &call, absl::Time now) const
{
    absl::Time dueAt = this->trialsHeldUntil;
    for (const Fingerprint &fingerprint : refused)
        dueAt = std::max(dueAt, this->trialDueAt(fingerprint, call, now));
    return dueAt;
}

absl::Time Quarantine::trialDueAt(const Fingerprint &fingerprint, const CallFingerprints &call,
                                  absl::Time now) const
{
    const std::vector<Culprit> &culprits = this->culprits(now).all;
    const auto culprit =
        std::find_if(culprits.begin(), culprits.end(), [&fingerprint](const Culprit &known) {
            return known.fingerprint == fingerprint;
        });
    if (culprit == culprits.end())
        return absl::InfiniteFuture();
    // Users bear more crashes by a part, which is harder to find, than by one call.
    const std::size_t conclusiveDeaths =
        fingerprint == call.call ? this->options.deaths : this->options.deathsOfAnyCause;
    const absl::Duration delay =
        trialDelay(this->trialEvidence(*culprit, call, now), conclusiveDeaths);
    return std::max(this->newestDeath(fingerprint) + delay, this->trials.endsAt(fingerprint));
}

TrialEvidence Quarantine::trialEvidence(const Culprit &culprit, const CallFingerprints &call,
                                        absl::Time now) const
{
    const auto isInCall = [&call](const Fingerprint &fingerprint) {
        return fingerprint == call.call
            || std::find(call.parts.begin(), call.parts.end(), fingerprint) != call.parts.end();
    };
    TrialEvidence evidence;
    evidence.deaths = culprit.servers.size();
    const auto alternative =
        std::find_if_not(culprit.alternatives.begin(), culprit.alternatives.end(),
                         [&](const Alternative &other) { return isInCall(other.fingerprint); });
    evidence.ownDeaths = evidence.deaths
        - (alternative == culprit.alternatives.end() ? 0 : alternative->sharedDeaths);
    std::vector<Fingerprint> others = call.parts;
    others.push_back(call.call);
    for (const Fingerprint &other : others) {
        const auto entry = this->entries.find(other);
        if (entry == this->entries.end())
            continue;
        const DeadServers servers = deadServers(entry->second.deaths, now);
        // Parts with the same deaths always come together.
        if (servers == culprit.servers)
            continue;
        const double shared = static_cast<double>(sharedCount(servers, culprit.servers));
        evidence.sharedByCall =
            std::max(evidence.sharedByCall, shared / static_cast<double>(evidence.deaths));
    }
    const auto entry = this->entries.find(culprit.fingerprint);
    if (entry != this->entries.end())
        evidence.lostTrials = lostTrials(entry->second.deaths, now);
    return evidence;
}

absl::Duration Quarantine::retryAfter(const CallFingerprints &call, absl::Time now) const
{
    absl::Duration left = absl::ZeroDuration();
    for (const Fingerprint &fingerprint : this->refusedFingerprints(call, now)) {
        const absl::Time dueAt =
            std::max(this->trialsHeldUntil, this->trialDueAt(fingerprint, call, now));
        const absl::Duration untilTrial =
            this->trials.isRunning(fingerprint, now) ? kUsualTrialTime : dueAt - now;
        left = std::max(left, std::min(untilTrial, this->retryAfter(fingerprint, now)));
    }
    return left;
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
    const Verdict verdict = this->verdictOf(fingerprint, now);
    if (!this->isQuarantined(verdict))
        return absl::ZeroDuration();
    // The quarantine ends when too few deaths still count.
    if (verdict.counted.size() >= this->options.deaths)
        return verdict.counted[this->options.deaths - 1].diedAt + kQuarantineDuration - now;
    const absl::Time first = std::min(verdict.counted[this->options.deaths - 2].diedAt,
                                      verdict.deathTimes[this->options.deathsOfAnyCause - 1]);
    return first + kQuarantineDuration - now;
}

std::vector<CrashReport> Quarantine::reports(absl::Time now) const
{
    std::vector<CrashReport> all;
    for (const auto &[fingerprint, entry] : this->entries) {
        for (const ServerDeath &death : entry.deaths) {
            if (isCurrent(death.diedAt, now))
                all.push_back(toReport(fingerprint, death));
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
    this->trials.onTick(now);
    absl::erase_if(this->withdrawn, [now](const auto &item) { return item.second <= now; });
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        ServerDeaths &deaths = entry->second.deaths;
        const std::size_t expired = std::erase_if(
            deaths, [&](const ServerDeath &death) { return !isCurrent(death.diedAt, now); });
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
