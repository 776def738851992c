#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace foxtailtally {

/** What an instance keeps in buffers that others can make grow. */
enum class MemoryOwner {
    /** Bodies of callers' requests, received and forwarded. */
    RequestBodies,
    /** Heads and framing of servers' responses, before a body shows that the server responds. */
    ResponseHeads,
    /** Responses that are kept until they are complete, and events that callers have not read. */
    ResponseBodies,
    /** Objects of the store: kept versions and responses that are being parsed. */
    StoreObjects,
};

constexpr std::size_t kMemoryOwners = 4;

/** Stable snake_case name for logs and metrics. */
std::string_view memoryOwnerName(MemoryOwner owner);

/**
 * Divides the memory of an instance among the owners of buffers that grow with what others send.
 * Each owner has a fixed share, so that none can use up what another one needs. An owner that gets
 * no more bytes pauses reading, refuses new work or drops what it can fetch again.
 */
class MemoryBudget
{
public:
    /** @p limitBytes: memory above which the platform ends the process. */
    explicit MemoryBudget(std::int64_t limitBytes);

    /** Takes @p bytes for @p owner, all or none. */
    bool tryTake(MemoryOwner owner, std::int64_t bytes);
    /**
     * Like tryTake(), for a buffer that has @p held bytes already. It may have at most half of what
     * is left of the share then, so that buffers that grow without end leave room for small ones,
     * however many they are.
     */
    bool tryTakeFairly(MemoryOwner owner, std::int64_t held, std::int64_t bytes);
    void giveBack(MemoryOwner owner, std::int64_t bytes);

    std::int64_t share(MemoryOwner owner) const { return this->account(owner).share; }
    std::int64_t used(MemoryOwner owner) const { return this->account(owner).used; }
    /** Times that tryTake() failed. */
    std::uint64_t refusals(MemoryOwner owner) const { return this->account(owner).refusals; }

private:
    struct Account
    {
        std::int64_t share = 0;
        std::int64_t used = 0;
        std::uint64_t refusals = 0;
    };

    Account &account(MemoryOwner owner) { return this->accounts[static_cast<std::size_t>(owner)]; }
    const Account &account(MemoryOwner owner) const
    {
        return this->accounts[static_cast<std::size_t>(owner)];
    }

    std::array<Account, kMemoryOwners> accounts;
};

/** Bytes taken from a MemoryBudget for one buffer; gives them back when it is destroyed. */
class MemoryHold
{
public:
    MemoryHold(MemoryBudget &budget, MemoryOwner owner)
        : budget(&budget)
        , owner(owner)
    { }
    ~MemoryHold() { this->release(); }
    MemoryHold(MemoryHold &&other) noexcept;
    MemoryHold &operator=(MemoryHold &&other) noexcept;
    MemoryHold(const MemoryHold &) = delete;
    MemoryHold &operator=(const MemoryHold &) = delete;

    /** Takes @p more bytes besides those held; false if the owner's share does not allow it. */
    bool tryGrow(std::int64_t more);
    /** Gives @p bytes back, at most those held. */
    void shrink(std::int64_t bytes);
    /** As MemoryBudget::tryTakeFairly(). */
    bool tryGrowFairly(std::int64_t more);
    /** Gives all bytes back. */
    void release();
    std::int64_t bytes() const { return this->held; }

private:
    MemoryBudget *budget;
    MemoryOwner owner;
    std::int64_t held = 0;
};

} // namespace foxtailtally
