#include "servers/catalog/store_outages.h"

#include <algorithm>

namespace foxtailtally {

bool StoreOutages::isCutWatch(const LostCall &call, absl::Time now)
{
    return call.isWatch && call.isClosedByStore && !call.hasResponseBegun
        && now - call.sentAt < call.watchTime;
}

void StoreOutages::onFailed(absl::Time now)
{
    this->failedAt = std::max(this->failedAt, now);
}

void StoreOutages::onWatchCut(absl::Time now)
{
    this->cutAt = std::min(this->cutAt, now);
}

void StoreOutages::onAnswered(absl::Time anyFailureAt)
{
    if (anyFailureAt > this->cutAt)
        this->onFailed(anyFailureAt);
    this->cutAt = absl::InfiniteFuture();
}

} // namespace foxtailtally
