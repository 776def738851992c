#include "servers/quarantine/quarantine.h"

#include <algorithm>
#include <tuple>

namespace foxtailtally {

namespace {

// Clocks of instances differ by less than this; a report from further ahead is not believed.
constexpr absl::Duration kMaxClockSkew = absl::Minutes(1);

bool isCurrent(absl::Time diedAt, absl::Time now)
{
    return diedAt + kQuarantineTerm > now;
}

} // namespace

bool Quarantine::isNewer(const Death &a, const Death &b)
{
    return std::tie(b.diedAt, a.server, a.incarnation)
        < std::tie(a.diedAt, b.server, b.incarnation);
}

std::vector<SuspectReport> Quarantine::onServerDeath(const BackendServerId &server,
                                                     Incarnation incarnation,
                                                     std::span<const Fingerprint> running,
                                                     absl::Time now)
{
    std::vector<SuspectReport> fresh;
    for (const Fingerprint &fingerprint : running) {
        const SuspectReport report {fingerprint, server, incarnation, now};
        if (this->onVerdict(report, now))
            fresh.push_back(report);
    }
    return fresh;
}

bool Quarantine::onVerdict(const SuspectReport &report, absl::Time now)
{
    const absl::Time diedAt = report.diedAt;
    // A clock that runs far ahead must not make a verdict last much longer than its term.
    if (!isCurrent(diedAt, now) || diedAt > now + kMaxClockSkew)
        return false;
    Deaths &deaths = this->entries[report.fingerprint];
    const Death death {report.server, report.incarnation, diedAt};
    const auto same = std::find_if(deaths.begin(), deaths.end(), [&](const Death &known) {
        return known.server == death.server && known.incarnation == death.incarnation;
    });
    if (same != deaths.end()) {
        // Instances see one death at different times; all keep the latest of them. With the
        // earliest time the result of a merge would depend on which deaths were dropped before.
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
    while (this->entries.size() > this->maxFingerprints)
        this->dropOne();
    return isKept && this->entries.contains(report.fingerprint);
}

void Quarantine::dropOne()
{
    auto victim = this->entries.begin();
    const auto rank = [](const Deaths &deaths) {
        return std::tuple(separate(deaths, absl::InfinitePast()).size() >= kQuarantineDeaths,
                          deaths.front().diedAt);
    };
    for (auto entry = this->entries.begin(); entry != this->entries.end(); ++entry) {
        if (rank(entry->second) < rank(victim->second))
            victim = entry;
    }
    this->entries.erase(victim);
}

std::vector<absl::Time> Quarantine::separate(const Deaths &deaths, absl::Time now)
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
        : static_cast<std::uint32_t>(separate(found->second, now).size());
}

QuarantineState Quarantine::check(const Fingerprint &fingerprint, absl::Time now) const
{
    const std::uint32_t deaths = this->deathsSeen(fingerprint, now);
    if (deaths >= kQuarantineDeaths)
        return QuarantineState::Quarantined;
    return deaths > 0 ? QuarantineState::Suspect : QuarantineState::Clear;
}

absl::Duration Quarantine::retryAfter(const Fingerprint &fingerprint, absl::Time now) const
{
    if (this->check(fingerprint, now) != QuarantineState::Quarantined)
        return absl::ZeroDuration();
    // The quarantine ends when only one death still counts.
    const std::vector<absl::Time> times = separate(this->entries.find(fingerprint)->second, now);
    return times[kQuarantineDeaths - 1] + kQuarantineTerm - now;
}

std::vector<SuspectReport> Quarantine::reports(absl::Time now) const
{
    std::vector<SuspectReport> all;
    for (const auto &[fingerprint, deaths] : this->entries) {
        for (const Death &death : deaths) {
            if (isCurrent(death.diedAt, now))
                all.push_back({fingerprint, death.server, death.incarnation, death.diedAt});
        }
    }
    return all;
}

void Quarantine::onTick(absl::Time now)
{
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        std::erase_if(entry->second,
                      [&](const Death &death) { return !isCurrent(death.diedAt, now); });
        entry = entry->second.empty() ? this->entries.erase(entry) : std::next(entry);
    }
}

} // namespace foxtailtally
