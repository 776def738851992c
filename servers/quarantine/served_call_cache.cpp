#include "servers/quarantine/served_call_cache.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

void ServedCallCache::add(std::uint64_t call, absl::Time servedAt, absl::Time now)
{
    const absl::Time known = this->servedAt(call, now).value_or(absl::InfinitePast());
    if (now - this->currentSince >= this->retention || this->current.size() >= this->capacity) {
        std::swap(this->current, this->previous);
        this->current.clear();
        this->currentSince = now;
    }
    this->current[call] = std::max(known, servedAt);
}

bool ServedCallCache::contains(std::uint64_t call, absl::Time now) const
{
    return this->servedAt(call, now).has_value();
}

std::optional<absl::Time> ServedCallCache::servedAt(std::uint64_t call, absl::Time now) const
{
    const absl::Duration age = now - this->currentSince;
    if (age < 2 * this->retention) {
        if (const auto found = this->current.find(call); found != this->current.end())
            return found->second;
    }
    if (age < this->retention) {
        if (const auto found = this->previous.find(call); found != this->previous.end())
            return found->second;
    }
    return std::nullopt;
}

} // namespace foxtailtally
