#include "servers/memory/memory_budget.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

/** Memory of a process with a fleet of 300 instances and 150 servers, but without calls. */
constexpr std::int64_t kBaseBytes = std::int64_t {48} << 20;

/** Part of the limit that stays free for fragmentation and for what is not counted. */
constexpr double kReservedShare = 0.1;

struct OwnerShare
{
    MemoryOwner owner;
    std::string_view name;
    /** Of the memory that is left beside the base. */
    double share;
};

constexpr std::array<OwnerShare, kMemoryOwners> kShares = {{
    {MemoryOwner::RequestBodies, "request_bodies", 0.45},
    {MemoryOwner::ResponseHeads, "response_heads", 0.10},
    {MemoryOwner::ResponseBodies, "response_bodies", 0.25},
    {MemoryOwner::StoreObjects, "store_objects", 0.20},
}};

} // namespace

std::string_view memoryOwnerName(MemoryOwner owner)
{
    return kShares[static_cast<std::size_t>(owner)].name;
}

MemoryBudget::MemoryBudget(std::int64_t limitBytes)
{
    const double left =
        static_cast<double>(limitBytes) * (1.0 - kReservedShare) - static_cast<double>(kBaseBytes);
    for (const OwnerShare &entry : kShares)
        this->account(entry.owner).share =
            static_cast<std::int64_t>(std::max(0.0, left) * entry.share);
}

bool MemoryBudget::tryTake(MemoryOwner owner, std::int64_t bytes)
{
    Account &taken = this->account(owner);
    if (bytes > taken.share - taken.used) {
        ++taken.refusals;
        return false;
    }
    taken.used += bytes;
    return true;
}

bool MemoryBudget::tryTakeFairly(MemoryOwner owner, std::int64_t held, std::int64_t bytes)
{
    Account &taken = this->account(owner);
    const std::int64_t left = taken.share - taken.used - bytes;
    if (held + bytes > left / 2) {
        ++taken.refusals;
        return false;
    }
    taken.used += bytes;
    return true;
}

void MemoryBudget::giveBack(MemoryOwner owner, std::int64_t bytes)
{
    this->account(owner).used -= bytes;
}

MemoryHold::MemoryHold(MemoryHold &&other) noexcept
    : budget(other.budget)
    , owner(other.owner)
    , held(std::exchange(other.held, 0))
{ }

MemoryHold &MemoryHold::operator=(MemoryHold &&other) noexcept
{
    if (this == &other)
        return *this;
    this->release();
    this->budget = other.budget;
    this->owner = other.owner;
    this->held = std::exchange(other.held, 0);
    return *this;
}

bool MemoryHold::tryGrow(std::int64_t more)
{
    if (!this->budget->tryTake(this->owner, more))
        return false;
    this->held += more;
    return true;
}

void MemoryHold::shrink(std::int64_t bytes)
{
    const std::int64_t returned = std::min(bytes, this->held);
    this->held -= returned;
    this->budget->giveBack(this->owner, returned);
}

bool MemoryHold::tryGrowFairly(std::int64_t more)
{
    if (!this->budget->tryTakeFairly(this->owner, this->held, more))
        return false;
    this->held += more;
    return true;
}

void MemoryHold::release()
{
    this->budget->giveBack(this->owner, std::exchange(this->held, 0));
}

} // namespace foxtailtally
