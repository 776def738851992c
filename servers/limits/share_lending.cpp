#include "servers/limits/share_lending.h"

#include <algorithm>

namespace foxtailtally {

void ShareLending::update(const InstanceId &aggregator, absl::Time heardAt, absl::Time now)
{
    if (aggregator != this->borrower && now >= this->freeAt)
        this->borrower = aggregator;
    this->isLentNow = aggregator == this->borrower;
    if (this->isLentNow && aggregator != this->self)
        this->freeAt = std::max(this->freeAt, heardAt + kReclaimDelay);
}

} // namespace foxtailtally
