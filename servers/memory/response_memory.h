#pragma once

#include "servers/catalog/server_backpressure.h"
#include "servers/memory/memory_budget.h"

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>

namespace foxtailtally {

/**
 * Divides the memory for servers' responses (MemoryOwner::ResponseBodies) among the servers, and
 * the part of a server among the buffers that hold what it has sent. Half of the memory is
 * guaranteed, in equal parts for all servers; the rest is for those that need more. A server that
 * sends without end, however many calls it has, thus leaves the others what they need.
 */
class ResponseMemory
{
public:
    explicit ResponseMemory(MemoryBudget &budget)
        : budget(budget)
    { }

    /** Number of servers that share the guaranteed half. */
    void setServers(std::size_t count) { this->servers = count; }
    /** Takes @p bytes more, all or none, for a buffer of @p server that has @p held bytes. */
    bool tryTake(ServerKey server, std::int64_t held, std::int64_t bytes);
    void giveBack(ServerKey server, std::int64_t bytes) noexcept;

    /** Bytes of each server that no other one can take. */
    std::int64_t guaranteedBytes() const;
    /** Bytes that @p server may have in all while the others keep what they have. */
    std::int64_t allowance(ServerKey server) const;
    std::int64_t heldFor(ServerKey server) const;

private:
    MemoryBudget &budget;
    std::size_t servers = 0;
    /** Servers without memory have no entry. */
    absl::flat_hash_map<ServerKey, std::int64_t> held;
};

/** Bytes taken from a ResponseMemory for one buffer; gives them back when it is destroyed. */
class ResponseHold
{
public:
    /** Counts nothing. */
    ResponseHold() = default;
    ResponseHold(ResponseMemory &memory, ServerKey server)
        : memory(&memory)
        , server(server)
    { }
    ~ResponseHold() { this->release(); }
    ResponseHold(ResponseHold &&other) noexcept;
    ResponseHold &operator=(ResponseHold &&other) noexcept;
    ResponseHold(const ResponseHold &) = delete;
    ResponseHold &operator=(const ResponseHold &) = delete;

    /** Holds @p bytes in all; false, without a change, if that is more than the buffer gets. */
    bool resize(std::int64_t bytes);
    /** Gives all bytes back. */
    void release() noexcept;
    std::int64_t bytes() const { return this->taken; }

private:
    ResponseMemory *memory = nullptr;
    ServerKey server = 0;
    std::int64_t taken = 0;
};

} // namespace foxtailtally
