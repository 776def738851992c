#include "servers/fleet/fleet_view.h"

#include <absl/container/btree_set.h>
#include <algorithm>

namespace foxtailtally {

void FleetView::setRecord(const InstanceRecord &record)
{
    if (record.id == this->self.id)
        return;
    Peer &peer = this->peers[record.id];
    // A new address is another process, which has not failed yet.
    if (peer.record != record)
        peer = {record};
    this->choices.try_emplace(record.domain);
}

void FleetView::removeRecord(const InstanceId &id)
{
    this->peers.erase(id);
}

void FleetView::onPeerUpdate(const InstanceId &from, std::size_t instances, absl::Time now)
{
    const auto found = this->peers.find(from);
    if (found == this->peers.end())
        return;
    found->second.heardAt = now;
    found->second.hasFailed = false;
    found->second.instances = instances;
}

void FleetView::onReport(const Subscriber &report)
{
    const auto [found, isNew] = this->reporting.try_emplace(report.id, report);
    if (isNew)
        return;
    const bool wasNew = found->second.isNew;
    found->second = report;
    found->second.isNew = wasNew;
}

std::vector<FailureDomainId> FleetView::onTick(absl::Time now)
{
    absl::erase_if(this->reporting, [now](const auto &item) {
        return now - item.second.heardAt > kSubscriptionTimeout;
    });
    std::vector<FailureDomainId> changed;
    if (this->chooseIn(this->self.domain, now))
        changed.push_back(this->self.domain);
    const bool aggregates = this->aggregator() == nullptr;
    for (auto &[domain, choice] : this->choices) {
        if (domain == this->self.domain)
            continue;
        const bool hadTarget = choice.target.has_value();
        if (!aggregates)
            choice = {};
        if (aggregates ? this->chooseIn(domain, now) : hadTarget)
            changed.push_back(domain);
    }
    return changed;
}

bool FleetView::chooseIn(const FailureDomainId &domain, absl::Time now)
{
    Choice &choice = this->choices[domain];
    if (choice.target) {
        const auto found = this->peers.find(*choice.target);
        if (found != this->peers.end()
            && now - std::max(choice.since, found->second.heardAt) > kAggregatorTimeout)
            found->second.hasFailed = true;
    }
    const Peer *first = nullptr;
    for (const auto &[id, peer] : this->peers) {
        if (peer.record.domain == domain && !peer.hasFailed
            && (!first || ranksBefore(peer.record, first->record)))
            first = &peer;
    }
    if (first && domain == this->self.domain && ranksBefore(this->self, first->record))
        first = nullptr;
    const std::optional<InstanceId> target = first ? std::optional(first->record.id) : std::nullopt;
    if (target == choice.target)
        return false;
    choice = {target, now};
    return true;
}

std::vector<FleetView::ReportTarget> FleetView::takeReportTargets(absl::Time now)
{
    std::vector<ReportTarget> links;
    const bool aggregates = this->aggregator() == nullptr;
    for (auto &[id, peer] : this->peers) {
        const bool isOwnDomain = peer.record.domain == this->self.domain;
        if (this->isFollowed(id)) {
            links.push_back({peer.record, isOwnDomain, false});
            continue;
        }
        const bool isDue = peer.hasFailed && now - peer.probedAt >= kProbeInterval;
        if (!isDue || !(isOwnDomain ? ranksBefore(peer.record, this->self) : aggregates))
            continue;
        peer.probedAt = now;
        links.push_back({peer.record, isOwnDomain, true});
    }
    return links;
}

std::vector<FleetView::Subscriber *> FleetView::subscribers(bool isOwnDomain)
{
    std::vector<Subscriber *> result;
    for (auto &[id, subscriber] : this->reporting) {
        if ((subscriber.domain == this->self.domain) == isOwnDomain)
            result.push_back(&subscriber);
    }
    return result;
}

const FleetView::Peer *FleetView::followedIn(const FailureDomainId &domain) const
{
    const auto choice = this->choices.find(domain);
    if (choice == this->choices.end() || !choice->second.target)
        return nullptr;
    const auto found = this->peers.find(*choice->second.target);
    return found == this->peers.end() ? nullptr : &found->second;
}

const InstanceRecord *FleetView::aggregator() const
{
    const Peer *followed = this->followedIn(this->self.domain);
    return followed ? &followed->record : nullptr;
}

bool FleetView::isFollowed(const InstanceId &id) const
{
    return std::any_of(this->choices.begin(), this->choices.end(),
                       [&id](const auto &item) { return item.second.target == id; });
}

std::vector<const InstanceRecord *> FleetView::remoteAggregators() const
{
    std::vector<const InstanceRecord *> result;
    for (const auto &[domain, choice] : this->choices) {
        const Peer *followed = domain == this->self.domain ? nullptr : this->followedIn(domain);
        if (followed)
            result.push_back(&followed->record);
    }
    return result;
}

std::size_t FleetView::ownDomainInstances() const
{
    return 1
        + static_cast<std::size_t>(std::count_if(
            this->reporting.begin(), this->reporting.end(),
            [this](const auto &item) { return item.second.domain == this->self.domain; }));
}

std::size_t FleetView::instances() const
{
    if (const Peer *followed = this->followedIn(this->self.domain))
        return std::max<std::size_t>(followed->instances, 1);
    std::size_t total = this->ownDomainInstances();
    for (const auto &[domain, choice] : this->choices) {
        const Peer *followed = domain == this->self.domain ? nullptr : this->followedIn(domain);
        if (followed)
            total += followed->instances;
    }
    return total;
}

std::size_t FleetView::ownRank() const
{
    return static_cast<std::size_t>(
        std::count_if(this->peers.begin(), this->peers.end(), [this](const auto &item) {
            const InstanceRecord &record = item.second.record;
            return record.domain == this->self.domain && ranksBefore(record, this->self);
        }));
}

std::size_t FleetView::domainCount() const
{
    absl::btree_set<FailureDomainId> domains = {this->self.domain};
    for (const auto &[id, peer] : this->peers)
        domains.insert(peer.record.domain);
    return domains.size();
}

} // namespace foxtailtally
