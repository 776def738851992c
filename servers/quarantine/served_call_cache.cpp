#include "servers/quarantine/served_call_cache.h"

#include <utility>

namespace foxtailtally {

void ServedCallCache::add(std::uint64_t call, absl::Time now)
{
    if (now - this->currentSince >= this->retention || this->current.size() >= this->capacity) {
        std::swap(this->current, this->previous);
        this->current.clear();
        this->currentSince = now;
    }
    this->current.insert(call);
}

bool ServedCallCache::contains(std::uint64_t call, absl::Time now) const
{
    const absl::Duration age = now - this->currentSince;
    return (age < 2 * this->retention && this->current.contains(call))
        || (age < this->retention && this->previous.contains(call));
}

} // namespace foxtailtally
