#include "servers/shares/roster.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

std::vector<RosterMember> shareHolders(std::span<const RosterMember> members, const GroupId &group)
{
    std::vector<std::pair<std::uint64_t, const RosterMember *>> weighted;
    weighted.reserve(members.size());
    for (const RosterMember &member : members)
        weighted.emplace_back(rendezvousWeight(group.str(), member.instance.str()), &member);
    const std::size_t count = std::min(kMaxShareHolders, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count),
                      weighted.end(), [](const auto &left, const auto &right) {
                          if (left.first != right.first)
                              return left.first > right.first;
                          return *left.second < *right.second;
                      });
    std::vector<RosterMember> holders;
    holders.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        holders.push_back(*weighted[i].second);
    return holders;
}

std::int64_t shareUnits(std::int64_t limit, std::size_t index, std::size_t holders)
{
    if (holders == 0 || index >= holders || limit <= 0)
        return 0;
    const auto count = static_cast<std::int64_t>(holders);
    return limit / count + (static_cast<std::int64_t>(index) < limit % count ? 1 : 0);
}

Result<Roster> nextRoster(
    const Roster &last, std::vector<RosterMember> members,
    absl::FunctionRef<bool(const RosterMember &member, std::uint64_t version)> hasRelinquished)
{
    Roster next;
    next.domain = last.domain;
    next.current.version = last.current.version + 1;
    next.current.members = std::move(members);
    std::sort(next.current.members.begin(), next.current.members.end());
    const auto keep = [&](const RosterVersion &earlier) {
        const bool isSettled =
            std::all_of(earlier.members.begin(), earlier.members.end(),
                        [&](const RosterMember &m) { return hasRelinquished(m, earlier.version); });
        if (!isSettled)
            next.unsettled.push_back(earlier);
    };
    for (const RosterVersion &earlier : last.unsettled)
        keep(earlier);
    if (last.current.version != 0)
        keep(last.current);
    if (next.unsettled.size() > kMaxUnsettledRosters)
        return Error::DocumentConflict;
    return next;
}

} // namespace foxtailtally
