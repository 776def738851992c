#include "servers/catalog/evacuation_table.h"

namespace foxtailtally {

void EvacuationTable::onList(const absl::btree_set<FailureDomainId> &listed, absl::Time now)
{
    const bool isRestored = this->isRestoredListDue;
    this->isRestoredListDue = false;
    for (auto &[id, domain] : this->domains) {
        if (listed.contains(id))
            continue;
        if (isRestored) {
            domain.isListed = false;
            domain.heldUntil = domain.wasEvacuated ? now + kMissingGrace : absl::InfinitePast();
        } else if (domain.isListed) {
            end(domain, now);
        }
    }
    for (const FailureDomainId &id : listed) {
        const auto [found, isNew] = this->domains.try_emplace(id);
        Domain &domain = found->second;
        domain.isListed = true;
        if (isRestored) {
            const bool hasEnded = !domain.wasEvacuated && domain.endedAt != absl::InfinitePast();
            domain.heldUntil = hasEnded ? now + kEndedGrace : absl::InfinitePast();
        } else if (domain.wasEvacuated) {
            domain.heldUntil = absl::InfinitePast();
        }
    }
}

void EvacuationTable::onChange(const FailureDomainId &id, bool isEvacuated, absl::Time now)
{
    Domain &domain = this->domains[id];
    if (!isEvacuated) {
        end(domain, now);
        return;
    }
    domain.isListed = true;
    domain.heldUntil = absl::InfinitePast();
}

void EvacuationTable::end(Domain &domain, absl::Time now)
{
    domain = {};
    domain.endedAt = now;
}

void EvacuationTable::onRestored(absl::Time now)
{
    this->isRestoredListDue = true;
    for (auto &[id, domain] : this->domains) {
        // A restore within the recovery of another one: the operator has not written again yet.
        if (domain.heldUntil <= now)
            domain.wasEvacuated = domain.isListed;
    }
}

void EvacuationTable::onTick(absl::Time now)
{
    absl::erase_if(this->domains, [now](const auto &item) {
        const Domain &domain = item.second;
        return !domain.isListed && domain.heldUntil <= now && domain.endedAt + kEndRetention <= now;
    });
}

bool EvacuationTable::isEvacuated(const FailureDomainId &domain, absl::Time now) const
{
    const auto found = this->domains.find(domain);
    if (found == this->domains.end())
        return false;
    return now < found->second.heldUntil ? found->second.wasEvacuated : found->second.isListed;
}

absl::btree_set<FailureDomainId> EvacuationTable::heldAgainstStore(absl::Time now) const
{
    absl::btree_set<FailureDomainId> held;
    for (const auto &[id, domain] : this->domains) {
        if (now < domain.heldUntil && domain.wasEvacuated != domain.isListed)
            held.insert(id);
    }
    return held;
}

} // namespace foxtailtally
