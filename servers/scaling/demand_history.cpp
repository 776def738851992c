#include "servers/scaling/demand_history.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

double rise(std::uint64_t from, std::uint64_t to)
{
    return to > from ? static_cast<double>(to - from) : 0.0;
}

void add(DemandRate &sum, const DemandRate &amount, double factor)
{
    sum.prefillMs += amount.prefillMs * factor;
    sum.slotMs += amount.slotMs * factor;
    sum.memoryTokenMs += amount.memoryTokenMs * factor;
    sum.requests += amount.requests * factor;
}

/** Raises @p totals to @p newer; returns by how much. */
DemandRate mergeTotals(ServiceDemand &totals, const ServiceDemand &newer)
{
    const DemandRate added = {
        rise(totals.prefillUs, newer.prefillUs) / 1000.0, rise(totals.slotMs, newer.slotMs),
        rise(totals.memoryTokenMs, newer.memoryTokenMs), rise(totals.requests, newer.requests)};
    totals.prefillUs = std::max(totals.prefillUs, newer.prefillUs);
    totals.slotMs = std::max(totals.slotMs, newer.slotMs);
    totals.memoryTokenMs = std::max(totals.memoryTokenMs, newer.memoryTokenMs);
    totals.requests = std::max(totals.requests, newer.requests);
    return added;
}

} // namespace

void DemandHistory::setListed(const absl::btree_map<InstanceId, FailureDomainId> &listed,
                              absl::Time now)
{
    for (auto &[id, instance] : this->instances)
        instance.isListed = false;
    for (const auto &[id, domain] : listed) {
        Instance &instance = this->instances[id];
        if (instance.knownSince == absl::InfinitePast())
            instance.knownSince = now;
        instance.domain = domain;
        instance.isListed = true;
        this->domainHeardAt.try_emplace(domain, now);
    }
    this->forgetDeparted(now);
}

void DemandHistory::onTotals(const InstanceId &id, const FailureDomainId &domain,
                             Incarnation incarnation, const DemandTotals &totals, absl::Time now)
{
    Instance &instance = this->instances[id];
    if (instance.knownSince == absl::InfinitePast())
        instance.knownSince = now;
    if (instance.isCounted && incarnation < instance.incarnation)
        return;
    // The first numbers of an instance are work of an unknown time. Those of a new incarnation are
    // work since the last row of the earlier one.
    const bool isBaseline = !instance.isCounted;
    if (incarnation != instance.incarnation)
        instance.totals.clear();
    for (const auto &[service, demand] : totals) {
        const DemandRate added = mergeTotals(instance.totals[service], demand);
        if (!isBaseline)
            this->spread(service, added, instance.heardAt, now);
    }
    instance.domain = domain;
    instance.incarnation = incarnation;
    instance.heardAt = std::max(instance.heardAt, now);
    instance.isCounted = true;
    this->domainHeardAt[domain] = now;
}

DemandRate DemandHistory::peakRate(std::string_view service, absl::Duration window,
                                   absl::Time now) const
{
    const auto found = this->stepsByService.find(service);
    if (found == this->stepsByService.end())
        return {};
    const Steps &steps = found->second;
    const auto rateOf = [&steps](std::int64_t second) {
        const Step &step = steps[static_cast<std::size_t>(second) % steps.size()];
        return step.second == second ? step.demand : DemandRate();
    };
    const std::int64_t current = absl::ToUnixSeconds(now);
    const std::int64_t count = std::clamp<std::int64_t>(absl::ToInt64Seconds(window), 2, kSteps);
    DemandRate peak;
    for (std::int64_t second = current - count; second < current; ++second) {
        DemandRate mean;
        add(mean, rateOf(second - 1), 0.5);
        add(mean, rateOf(second), 0.5);
        peak.prefillMs = std::max(peak.prefillMs, mean.prefillMs);
        peak.slotMs = std::max(peak.slotMs, mean.slotMs);
        peak.memoryTokenMs = std::max(peak.memoryTokenMs, mean.memoryTokenMs);
        peak.requests = std::max(peak.requests, mean.requests);
    }
    return peak;
}

absl::btree_set<InstanceId> DemandHistory::unseenInstances(absl::Time now) const
{
    absl::btree_set<InstanceId> unseen;
    for (const auto &[id, instance] : this->instances) {
        if (!instance.isListed || isHeard(instance, now))
            continue;
        const absl::Time silentSince = std::max(instance.heardAt, instance.knownSince);
        if (now - silentSince < kDeadAfter || !this->isDomainHeard(instance.domain, now))
            unseen.insert(id);
    }
    return unseen;
}

absl::btree_map<FailureDomainId, absl::Time> DemandHistory::unseenDomains(absl::Time now) const
{
    absl::btree_map<FailureDomainId, absl::Time> unseen;
    for (const auto &[domain, heardAt] : this->domainHeardAt) {
        if (!this->isDomainHeard(domain, now))
            unseen[domain] = heardAt;
    }
    return unseen;
}

absl::btree_set<FailureDomainId> DemandHistory::listedDomains() const
{
    absl::btree_set<FailureDomainId> domains;
    for (const auto &[id, instance] : this->instances) {
        if (instance.isListed)
            domains.insert(instance.domain);
    }
    return domains;
}

bool DemandHistory::isHeard(const Instance &instance, absl::Time now)
{
    return now - instance.heardAt < kSilence;
}

bool DemandHistory::isDomainHeard(const FailureDomainId &domain, absl::Time now) const
{
    const auto found = this->domainHeardAt.find(domain);
    if (found == this->domainHeardAt.end() || now - found->second >= kSilence)
        return false;
    return std::any_of(this->instances.begin(), this->instances.end(),
                       [&domain, now](const auto &item) {
                           return item.second.domain == domain && isHeard(item.second, now);
                       });
}

void DemandHistory::spread(const std::string &service, const DemandRate &amount, absl::Time from,
                           absl::Time until)
{
    Steps &steps = this->stepsByService[service];
    if (steps.empty())
        steps.resize(kSteps + 2);
    const auto put = [&steps, &amount](std::int64_t second, double share) {
        Step &step = steps[static_cast<std::size_t>(second) % steps.size()];
        if (step.second > second)
            return;
        if (step.second != second)
            step = {second, {}};
        add(step.demand, amount, share);
    };
    const std::int64_t last = absl::ToUnixSeconds(until);
    if (from >= until) {
        put(last, 1.0);
        return;
    }
    const std::int64_t oldest = last - static_cast<std::int64_t>(kSteps);
    for (std::int64_t second = std::max(absl::ToUnixSeconds(from), oldest); second <= last;
         ++second) {
        const absl::Time begin = std::max(from, absl::FromUnixSeconds(second));
        const absl::Time end = std::min(until, absl::FromUnixSeconds(second + 1));
        if (end > begin)
            put(second, absl::FDivDuration(end - begin, until - from));
    }
}

void DemandHistory::forgetDeparted(absl::Time now)
{
    absl::erase_if(this->instances, [now](const auto &item) {
        return !item.second.isListed && now - item.second.heardAt > kDeadAfter;
    });
}

} // namespace foxtailtally
