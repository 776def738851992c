#pragma once

#include "servers/routing/routing_view.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <memory>

namespace foxtailtally {

/**
 * Collects the summaries of groups and builds routing views from them. Used by one control thread
 * only. A summary older than the known one is ignored.
 */
class RoutingViewBuilder
{
public:
    /** Groups of other failure domains are ranked with the extra latency of a remote call. */
    RoutingViewBuilder &setLocalDomain(FailureDomainId domain);
    RoutingViewBuilder &setSummary(const GroupSummary &summary, absl::Time now);
    RoutingViewBuilder &setDomainOutOfService(const FailureDomainId &domain, bool isOutOfService);
    RoutingViewBuilder &setGroupDraining(const GroupId &group, bool isDraining);
    RoutingViewBuilder &removeGroup(const GroupId &group);
    /** The index must not change while a view holds it. */
    RoutingViewBuilder &setPrefixes(std::shared_ptr<const PrefixIndex> index);

    std::unique_ptr<const RoutingView> build() const;

private:
    static bool isNewer(const GroupSummary &next, const GroupSummary &known);
    void addCandidate(RoutingView &view, std::uint32_t index) const;

    FailureDomainId localDomain;
    absl::btree_map<GroupId, RoutingGroup> known;
    absl::btree_set<FailureDomainId> domainsOutOfService;
    absl::btree_set<GroupId> draining;
    std::shared_ptr<const PrefixIndex> prefixes;
};

} // namespace foxtailtally
