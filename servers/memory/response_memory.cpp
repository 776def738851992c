#include "servers/memory/response_memory.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

/** Part of the memory that is guaranteed to the servers, in equal parts. */
constexpr std::int64_t kGuaranteedDivisor = 2;

/** What grows without end may have at most this part of what is left to it, so that something is
 * left for the next one: servers beyond their guarantee, and buffers of one server. */
constexpr std::int64_t kFairDivisor = 2;

} // namespace

bool ResponseMemory::tryTake(ServerKey server, std::int64_t held, std::int64_t bytes)
{
    const std::int64_t others = this->heldFor(server) - held;
    const std::int64_t limit = (this->allowance(server) - others) / kFairDivisor;
    if (held + bytes > limit || !this->budget.tryTake(MemoryOwner::ResponseBodies, bytes))
        return false;
    this->held[server] += bytes;
    return true;
}

void ResponseMemory::giveBack(ServerKey server, std::int64_t bytes) noexcept
{
    this->budget.giveBack(MemoryOwner::ResponseBodies, bytes);
    const auto entry = this->held.find(server);
    if (entry == this->held.end())
        return;
    entry->second -= bytes;
    if (entry->second <= 0)
        this->held.erase(entry);
}

std::int64_t ResponseMemory::guaranteedBytes() const
{
    // A server that has left the list may still be sending.
    const std::size_t count = std::max<std::size_t>({1, this->servers, this->held.size()});
    return this->budget.share(MemoryOwner::ResponseBodies) / kGuaranteedDivisor
        / static_cast<std::int64_t>(count);
}

std::int64_t ResponseMemory::allowance(ServerKey server) const
{
    const std::int64_t guaranteed = this->guaranteedBytes();
    std::int64_t common = this->budget.share(MemoryOwner::ResponseBodies) * (kGuaranteedDivisor - 1)
        / kGuaranteedDivisor;
    for (const auto &[other, bytes] : this->held) {
        if (other != server)
            common -= std::max<std::int64_t>(0, bytes - guaranteed);
    }
    return guaranteed + std::max<std::int64_t>(0, common) / kFairDivisor;
}

std::int64_t ResponseMemory::heldFor(ServerKey server) const
{
    const auto entry = this->held.find(server);
    return entry == this->held.end() ? 0 : entry->second;
}

ResponseHold::ResponseHold(ResponseHold &&other) noexcept
    : memory(other.memory)
    , server(other.server)
    , taken(std::exchange(other.taken, 0))
{ }

ResponseHold &ResponseHold::operator=(ResponseHold &&other) noexcept
{
    if (this == &other)
        return *this;
    this->release();
    this->memory = other.memory;
    this->server = other.server;
    this->taken = std::exchange(other.taken, 0);
    return *this;
}

bool ResponseHold::resize(std::int64_t bytes)
{
    if (this->memory && bytes > this->taken
        && !this->memory->tryTake(this->server, this->taken, bytes - this->taken))
        return false;
    if (this->memory && bytes < this->taken)
        this->memory->giveBack(this->server, this->taken - bytes);
    this->taken = bytes;
    return true;
}

void ResponseHold::release() noexcept
{
    const std::int64_t returned = std::exchange(this->taken, 0);
    if (this->memory && returned > 0)
        this->memory->giveBack(this->server, returned);
}

} // namespace foxtailtally
