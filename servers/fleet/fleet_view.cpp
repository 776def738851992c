#include "servers/fleet/fleet_view.h"

#include <algorithm>

namespace foxtailtally {

void FleetView::setRecord(const InstanceRecord &record)
{
    if (record.id == this->self.id)
        return;
    Peer &peer = this->peers[record.id];
    // A changed record belongs to another process, which has not failed yet.
    if (peer.record != record)
        peer = {record};
    this->selections.try_emplace(record.domain);
}

void FleetView::setRestoredRecord(const InstanceRecord &record, absl::Time now)
{
    const auto found = this->peers.find(record.id);
    const bool isHeard = found != this->peers.end()
        && (now - found->second.heardAt <= kSubscriptionTimeout
            || this->subscriptions.contains(record.id));
    if (!isHeard)
        this->setRecord(record);
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
    const auto [found, isNew] = this->subscriptions.try_emplace(report.id, report);
    if (isNew)
        return;
    const bool wasNew = found->second.isNew;
    found->second = report;
    found->second.isNew = wasNew;
}

std::vector<FailureDomainId> FleetView::onTick(absl::Time now)
{
    absl::erase_if(this->subscriptions, [now](const auto &item) {
        return now - item.second.heardAt > kSubscriptionTimeout;
    });
    std::vector<FailureDomainId> changed;
    if (this->selectAggregator(this->self.domain, now))
        changed.push_back(this->self.domain);
    const bool aggregates = this->aggregator() == nullptr;
    for (auto &[domain, selection] : this->selections) {
        if (domain == this->self.domain)
            continue;
        const bool hadTarget = selection.target.has_value();
        if (!aggregates)
            selection = {};
        if (aggregates ? this->selectAggregator(domain, now) : hadTarget)
            changed.push_back(domain);
    }
    return changed;
}

bool FleetView::selectAggregator(const FailureDomainId &domain, absl::Time now)
{
    Selection &selection = this->selections[domain];
    if (selection.target) {
        const auto found = this->peers.find(*selection.target);
        if (found != this->peers.end()
            && now - std::max(selection.since, found->second.heardAt) > kAggregatorTimeout)
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
    if (target == selection.target)
        return false;
    selection = {target, now};
    return true;
}

std::vector<FleetView::ReportTarget> FleetView::takeReportTargets(absl::Time now)
{
    std::vector<ReportTarget> targets;
    const bool aggregates = this->aggregator() == nullptr;
    for (auto &[id, peer] : this->peers) {
        const bool isOwnDomain = peer.record.domain == this->self.domain;
        if (this->isFollowed(id)) {
            targets.push_back({peer.record, isOwnDomain, false});
            continue;
        }
        const bool isDue = peer.hasFailed && now - peer.probedAt >= kProbeInterval;
        if (!isDue || !(isOwnDomain ? ranksBefore(peer.record, this->self) : aggregates))
            continue;
        peer.probedAt = now;
        targets.push_back({peer.record, isOwnDomain, true});
    }
    return targets;
}

std::vector<FleetView::Subscriber *> FleetView::subscribers(bool isOwnDomain)
{
    std::vector<Subscriber *> result;
    for (auto &[id, subscriber] : this->subscriptions) {
        if ((subscriber.domain == this->self.domain) == isOwnDomain)
            result.push_back(&subscriber);
    }
    return result;
}

std::vector<const FleetView::Subscriber *> FleetView::subscribers(bool isOwnDomain) const
{
    std::vector<const Subscriber *> result;
    for (const auto &[id, subscriber] : this->subscriptions) {
        if ((subscriber.domain == this->self.domain) == isOwnDomain)
            result.push_back(&subscriber);
    }
    return result;
}

const FleetView::Peer *FleetView::followedPeer(const FailureDomainId &domain) const
{
    const auto selection = this->selections.find(domain);
    if (selection == this->selections.end() || !selection->second.target)
        return nullptr;
    const auto found = this->peers.find(*selection->second.target);
    return found == this->peers.end() ? nullptr : &found->second;
}

const InstanceRecord *FleetView::aggregator() const
{
    const Peer *followed = this->followedPeer(this->self.domain);
    return followed ? &followed->record : nullptr;
}

const InstanceRecord *FleetView::aggregatorOf(const FailureDomainId &domain) const
{
    const Peer *followed = this->followedPeer(domain);
    return followed ? &followed->record : nullptr;
}

bool FleetView::isFollowed(const InstanceId &id) const
{
    return std::any_of(this->selections.begin(), this->selections.end(),
                       [&id](const auto &item) { return item.second.target == id; });
}

std::vector<const InstanceRecord *> FleetView::remoteAggregators() const
{
    std::vector<const InstanceRecord *> result;
    for (const auto &[domain, selection] : this->selections) {
        const Peer *followed = domain == this->self.domain ? nullptr : this->followedPeer(domain);
        if (followed)
            result.push_back(&followed->record);
    }
    return result;
}

std::size_t FleetView::ownDomainInstances() const
{
    return 1
        + static_cast<std::size_t>(std::count_if(
            this->subscriptions.begin(), this->subscriptions.end(),
            [this](const auto &item) { return item.second.domain == this->self.domain; }));
}

std::size_t FleetView::ownDomainRecords() const
{
    return 1
        + static_cast<std::size_t>(
               std::count_if(this->peers.begin(), this->peers.end(), [this](const auto &item) {
                   return item.second.record.domain == this->self.domain;
               }));
}

std::size_t FleetView::instances() const
{
    if (const Peer *followed = this->followedPeer(this->self.domain))
        return std::max<std::size_t>(followed->instances, 1);
    std::size_t total = this->ownDomainInstances();
    for (const auto &[domain, selection] : this->selections) {
        const Peer *followed = domain == this->self.domain ? nullptr : this->followedPeer(domain);
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

absl::btree_set<FailureDomainId> FleetView::domains() const
{
    absl::btree_set<FailureDomainId> domains = {this->self.domain};
    for (const auto &[id, peer] : this->peers)
        domains.insert(peer.record.domain);
    return domains;
}

absl::btree_map<InstanceId, FailureDomainId> FleetView::listed() const
{
    absl::btree_map<InstanceId, FailureDomainId> result = {{this->self.id, this->self.domain}};
    for (const auto &[id, peer] : this->peers)
        result.try_emplace(id, peer.record.domain);
    return result;
}

std::size_t FleetView::lenders(absl::Time now) const
{
    return static_cast<std::size_t>(std::count_if(
        this->subscriptions.begin(), this->subscriptions.end(), [this, now](const auto &item) {
            return item.second.domain == this->self.domain && item.second.lendsUntil > now;
        }));
}

} // namespace foxtailtally
