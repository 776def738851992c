#include "servers/memory/body_admission.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

/** Part of the memory for request bodies that large ones may have together. */
constexpr double kLargeBodyShare = 0.75;

/** Bodies that wait; the connection of each holds some input that has been read ahead. */
constexpr std::size_t kMaxWaitingBodies = 256;

} // namespace

BodyClaim::BodyClaim(BodyAdmission &admission)
    : admission(admission)
    , hold(admission.budget, MemoryOwner::RequestBodies)
{ }

BodyClaim::~BodyClaim()
{
    this->admission.withdraw(*this);
}

BodyAdmission::Verdict BodyAdmission::request(BodyClaim &claim, std::int64_t bytes,
                                              BodyWaiter &waiter, absl::Time waitUntil)
{
    const bool isSmall = bytes <= kSmallBodyBytes;
    const std::int64_t share =
        isSmall ? this->budget.share(MemoryOwner::RequestBodies) : this->largeShare();
    if (bytes > share)
        return Verdict::TooLarge;
    std::vector<Entry> &queue = isSmall ? this->smallQueue : this->largeQueue;
    if (queue.empty() && this->tryAdmit(claim, bytes))
        return Verdict::Admitted;
    if (this->waiting() >= kMaxWaitingBodies)
        return Verdict::QueueFull;
    const auto place = std::upper_bound(
        queue.begin(), queue.end(), waitUntil,
        [](absl::Time time, const Entry &entry) { return time < entry.waitUntil; });
    queue.insert(place, {&claim, &waiter, bytes, waitUntil});
    return Verdict::Waiting;
}

void BodyAdmission::shrink(BodyClaim &claim, std::int64_t bytes)
{
    const std::int64_t excess = claim.hold.bytes() - bytes;
    if (excess <= 0)
        return;
    claim.hold.shrink(excess);
    const std::int64_t large = std::min(excess, claim.largeBytes);
    claim.largeBytes -= large;
    this->largeBytes -= large;
}

std::vector<BodyAdmission::Decision> BodyAdmission::advance(absl::Time now)
{
    std::vector<Decision> decisions;
    this->advance(this->smallQueue, now, decisions);
    this->advance(this->largeQueue, now, decisions);
    return decisions;
}

void BodyAdmission::advance(std::vector<Entry> &queue, absl::Time now,
                            std::vector<Decision> &decisions)
{
    std::vector<Entry> left;
    for (const Entry &entry : queue) {
        const bool isRefused = entry.waitUntil <= now;
        // A body that does not fit keeps its place before those behind it.
        const bool isAdmitted =
            !isRefused && left.empty() && this->tryAdmit(*entry.claim, entry.bytes);
        if (isAdmitted || isRefused)
            decisions.push_back({entry.waiter, isAdmitted});
        else
            left.push_back(entry);
    }
    queue = std::move(left);
}

std::int64_t BodyAdmission::largeShare() const
{
    return static_cast<std::int64_t>(
        static_cast<double>(this->budget.share(MemoryOwner::RequestBodies)) * kLargeBodyShare);
}

bool BodyAdmission::tryAdmit(BodyClaim &claim, std::int64_t bytes)
{
    const std::int64_t large = bytes > kSmallBodyBytes ? bytes - claim.largeBytes : 0;
    if (large > 0 && this->largeBytes + large > this->largeShare())
        return false;
    if (!claim.hold.tryGrow(bytes - claim.hold.bytes()))
        return false;
    claim.largeBytes += large;
    this->largeBytes += large;
    return true;
}

void BodyAdmission::withdraw(BodyClaim &claim)
{
    this->largeBytes -= claim.largeBytes;
    const auto isOfClaim = [&claim](const Entry &entry) { return entry.claim == &claim; };
    std::erase_if(this->smallQueue, isOfClaim);
    std::erase_if(this->largeQueue, isOfClaim);
}

} // namespace foxtailtally
