#include "servers/usage/usage_row.h"

namespace foxtailtally {

std::int64_t usageWindowAt(absl::Time now, absl::Duration length)
{
    absl::Duration remainder;
    return absl::IDivDuration(now - absl::UnixEpoch(), length, &remainder);
}

absl::Time usageWindowEnd(std::int64_t window, absl::Duration length)
{
    return absl::UnixEpoch() + length * (window + 1);
}

} // namespace foxtailtally
