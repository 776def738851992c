#include "servers/membership/ranked_instances.h"

#include <algorithm>

namespace foxtailtally {

RankedInstances::RankedInstances(const MemberTable &table)
    : table(table)
{ }

std::vector<InstanceId> RankedInstances::lowest(const FailureDomainId &domain,
                                                std::size_t count) const
{
    const MemberUpdate &self = this->table.self();
    std::vector<InstanceId> lowest;
    bool isSelfPending = self.domain == domain && isServing(self.state);
    for (const auto &[id, member] : this->table.members()) {
        if (isSelfPending && self.instance < id) {
            lowest.push_back(self.instance);
            isSelfPending = false;
        }
        if (lowest.size() >= count)
            break;
        if (member.update.domain == domain && isServing(member.update.state))
            lowest.push_back(id);
    }
    if (isSelfPending && lowest.size() < count)
        lowest.push_back(self.instance);
    if (lowest.size() > count)
        lowest.resize(count);
    return lowest;
}

bool RankedInstances::isSelfAmong(std::size_t count) const
{
    const auto ranked = this->lowest(this->table.self().domain, count);
    return std::find(ranked.begin(), ranked.end(), this->table.self().instance) != ranked.end();
}

} // namespace foxtailtally
