#include "servers/admission/suspect_table.h"

#include "servers/quarantine/quarantine.h"

#include <algorithm>

namespace foxtailtally {

namespace {

// A group of eight servers runs a few hundred requests, which all become suspects when it loses all
// of its servers. This is enough for ten such losses an hour.
constexpr std::size_t kMaxSuspects = 4096;

} // namespace

void SuspectTable::set(const Fingerprint &fingerprint, std::uint32_t deaths, absl::Time now)
{
    if (this->entries.size() >= kMaxSuspects && !this->entries.contains(fingerprint)) {
        this->entries.erase(std::min_element(
            this->entries.begin(), this->entries.end(),
            [](const auto &a, const auto &b) { return a.second.expiry < b.second.expiry; }));
    }
    Suspicion &suspicion = this->entries[fingerprint];
    if (suspicion.expiry <= now)
        suspicion.deaths = 0;
    suspicion.deaths = std::max(suspicion.deaths, deaths);
    suspicion.expiry = now + kQuarantineDuration;
}

void SuspectTable::onServerLost(const Fingerprint &fingerprint, absl::Time now)
{
    this->set(fingerprint, 1, now);
}

void SuspectTable::onReport(const Fingerprint &fingerprint, std::uint32_t deaths, absl::Time now)
{
    if (deaths > 0)
        this->set(fingerprint, deaths, now);
}

void SuspectTable::onFinished(const Fingerprint &fingerprint)
{
    const auto found = this->entries.find(fingerprint);
    if (found != this->entries.end() && found->second.deaths < kQuarantineDeaths)
        this->entries.erase(found);
}

std::uint32_t SuspectTable::deathsOf(const RequestProfile &profile, absl::Time now) const
{
    const auto found = this->entries.find(profile.fingerprint);
    if (found == this->entries.end() || found->second.expiry <= now)
        return profile.deathsSeen;
    return std::max(profile.deathsSeen, found->second.deaths);
}

} // namespace foxtailtally
