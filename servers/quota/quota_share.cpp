#include "servers/quota/quota_share.h"

#include "servers/quota/customer_quota.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

QuotaShare::QuotaShare(RosterMember self, std::size_t domains)
    : self(std::move(self))
    , domains(std::max<std::size_t>(1, domains))
{ }

double QuotaShare::fractionIn(const RosterVersion &version) const
{
    const auto &members = version.members;
    if (std::find(members.begin(), members.end(), this->self) == members.end())
        return 0;
    return 1.0 / static_cast<double>(this->domains * members.size());
}

double QuotaShare::smallestFraction() const
{
    double smallest = this->fractionIn(this->roster.current);
    for (const RosterVersion &version : this->roster.unsettled)
        smallest = std::min(smallest, this->fractionIn(version));
    return smallest;
}

void QuotaShare::adopt(const Roster &next)
{
    if (next.current.version <= this->roster.current.version)
        return;
    this->roster = next;
    this->settledAt = absl::InfiniteFuture();
    this->currentFraction = this->smallestFraction();
}

void QuotaShare::update(
    absl::FunctionRef<bool(const RosterMember &member, std::uint64_t version)> hasRelinquished,
    absl::Time now)
{
    if (this->roster.current.version == 0)
        return;
    if (this->settledAt == absl::InfiniteFuture()) {
        const std::uint64_t before = this->roster.current.version - 1;
        for (const RosterVersion &version : this->roster.unsettled)
            for (const RosterMember &member : version.members)
                if (member != this->self && !hasRelinquished(member, before))
                    return;
        this->settledAt = now;
    }
    if (this->roster.unsettled.empty() || now >= this->settledAt + kQuotaReclaimDelay)
        this->currentFraction = this->fractionIn(this->roster.current);
}

} // namespace foxtailtally
