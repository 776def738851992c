#include "servers/routing/routing_view_builder.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

RoutingViewBuilder &RoutingViewBuilder::setLocalDomain(FailureDomainId domain)
{
    this->localDomain = std::move(domain);
    return *this;
}

RoutingViewBuilder &RoutingViewBuilder::setSummary(const GroupSummary &summary, absl::Time now)
{
    const auto [entry, isNew] = this->known.try_emplace(summary.group);
    if (!isNew && !isNewer(summary, entry->second.summary))
        return *this;
    entry->second.summary = summary;
    entry->second.receivedAt = now;
    return *this;
}

RoutingViewBuilder &RoutingViewBuilder::setDomainOutOfService(const FailureDomainId &domain,
                                                              bool isOutOfService)
{
    if (isOutOfService)
        this->domainsOutOfService.insert(domain);
    else
        this->domainsOutOfService.erase(domain);
    return *this;
}

RoutingViewBuilder &RoutingViewBuilder::setGroupDraining(const GroupId &group, bool isDraining)
{
    if (isDraining)
        this->draining.insert(group);
    else
        this->draining.erase(group);
    return *this;
}

RoutingViewBuilder &RoutingViewBuilder::removeGroup(const GroupId &group)
{
    this->known.erase(group);
    this->draining.erase(group);
    return *this;
}

RoutingViewBuilder &RoutingViewBuilder::setPrefixes(std::shared_ptr<const PrefixIndex> index)
{
    this->prefixes = std::move(index);
    return *this;
}

std::unique_ptr<const RoutingView> RoutingViewBuilder::build() const
{
    auto view = std::make_unique<RoutingView>();
    view->allGroups.reserve(this->known.size());
    for (const auto &[id, group] : this->known) {
        const auto index = static_cast<std::uint32_t>(view->allGroups.size());
        view->groupIndex.emplace(id, index);
        RoutingGroup &copy = view->allGroups.emplace_back(group);
        copy.isOutOfService = this->domainsOutOfService.contains(copy.summary.domain);
        copy.isDraining = this->draining.contains(id);
    }
    view->prefixes = this->prefixes;
    if (this->prefixes != nullptr)
        view->slotTargets.resize(this->prefixes->groups().size());
    absl::flat_hash_map<GroupId, std::uint32_t> slots;
    for (std::uint32_t slot = 0; slot < view->slotTargets.size(); ++slot)
        slots.emplace(this->prefixes->groups()[slot], slot);
    for (std::uint32_t index = 0; index < view->allGroups.size(); ++index) {
        const RoutingGroup &group = view->allGroups[index];
        if (!group.mayTakeRequests())
            continue;
        this->addCandidate(*view, index);
        const auto slot = slots.find(group.summary.group);
        if (slot == slots.end())
            continue;
        const RoutingCandidates &owner = *view->byModel[group.summary.model];
        view->slotTargets[slot->second] = {&owner,
                                           static_cast<std::uint32_t>(owner.list.size() - 1)};
    }
    for (auto &[model, candidates] : view->byModel) {
        const auto count = static_cast<double>(candidates->list.size());
        for (const RoutingCandidate &candidate : candidates->list) {
            candidates->meanRequestsPerServer += candidate.requestsPerServer / count;
            candidates->meanTokensPerServer += candidate.tokensPerServer / count;
        }
    }
    return view;
}

bool RoutingViewBuilder::isNewer(const GroupSummary &next, const GroupSummary &known)
{
    // Sequences of different owners cannot be compared, so the summary received last is used.
    if (next.owner != known.owner)
        return true;
    if (next.ownerIncarnation != known.ownerIncarnation)
        return next.ownerIncarnation > known.ownerIncarnation;
    return next.sequence > known.sequence;
}

void RoutingViewBuilder::addCandidate(RoutingView &view, std::uint32_t index) const
{
    const RoutingGroup &group = view.allGroups[index];
    const GroupSummary &summary = group.summary;
    RoutingCandidate candidate;
    candidate.group = index;
    candidate.isRemote = !this->localDomain.isEmpty() && summary.domain != this->localDomain;
    candidate.receivedAt = group.receivedAt;
    for (std::size_t i = 0; i < kRequestClassCount; ++i)
        candidate.startDelaySeconds[i] = absl::ToDoubleSeconds(summary.startDelay[i]);
    candidate.prefillRate = std::max(summary.prefillRate, 1.0);
    const double servers = summary.servers;
    candidate.requestsPerServer = (summary.running + summary.queued) / servers;
    candidate.tokensPerServer = static_cast<double>(summary.outstandingTokens) / servers;
    candidate.freeTokens = summary.freeTokens;
    candidate.capacityTokens = summary.capacityTokens;
    std::unique_ptr<RoutingCandidates> &slot = view.byModel[summary.model];
    if (slot == nullptr)
        slot = std::make_unique<RoutingCandidates>();
    slot->list.push_back(candidate);
}

} // namespace foxtailtally
