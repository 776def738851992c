#pragma once

#include "servers/membership/member_table.h"

#include <cstddef>
#include <vector>

namespace foxtailtally {

/**
 * The instances of a domain that take on duties for it: the lowest identifiers among those that are
 * alive or suspect. The first writes the roster, the first two watch the documents and bridge to
 * the other domains.
 */
class RankedInstances
{
public:
    explicit RankedInstances(const MemberTable &table);

    /** The @p count lowest-ranked live instances of @p domain. */
    std::vector<InstanceId> lowest(const FailureDomainId &domain, std::size_t count) const;
    /** Whether this instance is among the @p count lowest-ranked of its own domain. */
    bool isSelfAmong(std::size_t count) const;

private:
    const MemberTable &table;
};

} // namespace foxtailtally
