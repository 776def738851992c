#pragma once

#include "servers/memory/memory_budget.h"

#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace foxtailtally {

class BodyAdmission;

/** Largest body that is admitted as a small one. */
constexpr std::int64_t kSmallBodyBytes = std::int64_t {64} << 10;

/** Notified of the decision about a body that had to wait. */
class BodyWaiter
{
public:
    virtual ~BodyWaiter() = default;
    virtual void onBodyAdmitted() = 0;
    /** The memory was not available in time; the claim is withdrawn. */
    virtual void onBodyRefused() = 0;
};

/** Memory that one request body takes or waits for; gives it back when it is destroyed. */
class BodyClaim
{
public:
    explicit BodyClaim(BodyAdmission &admission);
    ~BodyClaim();
    BodyClaim(const BodyClaim &) = delete;
    BodyClaim &operator=(const BodyClaim &) = delete;

    std::int64_t bytes() const { return this->hold.bytes(); }

private:
    friend class BodyAdmission;

    BodyAdmission &admission;
    MemoryHold hold;
    /** Part of the hold that counts against the share of large bodies. */
    std::int64_t largeBytes = 0;
};

/**
 * Decides when the bodies of requests may be read into memory. Each body takes its full length
 * before it is read, so that admitted bodies never wait for one another. Large bodies wait in the
 * order of the time at which they would be refused, and leave a part of the share to small ones.
 */
class BodyAdmission
{
public:
    enum class Verdict {
        Admitted,
        /** advance() decides later. */
        Waiting,
        /** More than large bodies may ever have. */
        TooLarge,
        /** Too many bodies wait already. */
        QueueFull,
    };

    struct Decision
    {
        BodyWaiter *waiter = nullptr;
        bool isAdmitted = false;
    };

    explicit BodyAdmission(MemoryBudget &budget)
        : budget(budget)
    { }

    /** Extends @p claim to @p bytes in all. @p waiter may have to wait until @p waitUntil; it must
     * outlive the claim. */
    Verdict request(BodyClaim &claim, std::int64_t bytes, BodyWaiter &waiter, absl::Time waitUntil);
    /** Gives back what @p claim holds beyond @p bytes. */
    void shrink(BodyClaim &claim, std::int64_t bytes);
    /** Decides about bodies that wait; they wait no longer. */
    std::vector<Decision> advance(absl::Time now);
    std::size_t waiting() const { return this->smallQueue.size() + this->largeQueue.size(); }

private:
    friend class BodyClaim;

    struct Entry
    {
        BodyClaim *claim = nullptr;
        BodyWaiter *waiter = nullptr;
        std::int64_t bytes = 0;
        absl::Time waitUntil;
    };

    /** Share of the memory for request bodies that large ones may have together. */
    std::int64_t largeShare() const;
    bool tryAdmit(BodyClaim &claim, std::int64_t bytes);
    void advance(std::vector<Entry> &queue, absl::Time now, std::vector<Decision> &decisions);
    /** Removes @p claim, which is being destroyed. */
    void withdraw(BodyClaim &claim);

    MemoryBudget &budget;
    std::int64_t largeBytes = 0;
    /** In the order in which they are admitted. */
    std::vector<Entry> smallQueue;
    std::vector<Entry> largeQueue;
};

} // namespace foxtailtally
