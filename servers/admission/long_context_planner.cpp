#include "servers/admission/long_context_planner.h"

#include <algorithm>

namespace foxtailtally {

namespace {

// Long enough for most running requests on the member servers to end. Other long requests are kept
// off these servers for no longer than this.
constexpr absl::Duration kGatherTimeout = absl::Seconds(10);
constexpr std::int64_t kLongServerDivisor = 3;

bool isAvailable(const ServerSlot &slot, bool isSuspect)
{
    return slot.isUsable() && slot.hasFreeUnit()
        && (!isSuspect || (!slot.ledger.hasSuspect() && slot.ledger.unexplainedRequests() == 0));
}

/** Sorts by memory free for @p profile, most first; ties keep their order by id. */
void sortByFree(std::vector<ServerSlot *> &slots, const RequestProfile &profile)
{
    std::stable_sort(slots.begin(), slots.end(), [&](const ServerSlot *a, const ServerSlot *b) {
        return a->ledger.freeTokensFor(profile.id, true)
            > b->ledger.freeTokensFor(profile.id, true);
    });
}

} // namespace

std::int64_t contextPart(std::int64_t tokens, std::size_t servers)
{
    const auto count = static_cast<std::int64_t>(std::max<std::size_t>(servers, 1));
    return (tokens + count - 1) / count;
}

bool LongContextPlanner::mayRunLong(const ServerSlots &slots, const ServerSlot &slot)
{
    if (slot.ledger.hasLong())
        return true;
    std::int64_t withLong = 0;
    for (const auto &[id, other] : slots)
        withLong += other->ledger.hasLong() ? 1 : 0;
    const auto count = static_cast<std::int64_t>(slots.size());
    return withLong < std::max<std::int64_t>(count / kLongServerDivisor, 1);
}

std::vector<ServerSlot *> LongContextPlanner::plan(const RequestProfile &profile, bool isSuspect,
                                                   const ServerSlots &slots)
{
    std::vector<ServerSlot *> open;
    for (const auto &[id, slot] : slots) {
        if (isAvailable(*slot, isSuspect))
            open.push_back(slot.get());
    }
    sortByFree(open, profile);
    for (std::size_t count = 2; count <= open.size(); ++count) {
        const std::int64_t smallest = open[count - 1]->ledger.freeTokensFor(profile.id, true);
        if (smallest < contextPart(profile.memoryTokens(), count))
            continue;
        open.resize(count);
        return open;
    }
    return {};
}

void LongContextPlanner::gather(const ReserveRequest &request, const ServerSlots &slots,
                                absl::Time now)
{
    const RequestProfile &profile = request.profile;
    if (this->isGathering()
        || (profile.id == this->timedOutRequest && now < this->gatherBackoffUntil))
        return;
    std::vector<ServerSlot *> usable;
    for (const auto &[id, slot] : slots) {
        if (slot->isUsable())
            usable.push_back(slot.get());
    }
    sortByFree(usable, profile);
    for (std::size_t count = 2; count <= usable.size(); ++count) {
        const std::int64_t part = contextPart(profile.memoryTokens(), count);
        std::vector<ServerSlot *> fitting;
        for (ServerSlot *slot : usable) {
            if (slot->ledger.limit() >= part && fitting.size() < count)
                fitting.push_back(slot);
        }
        if (fitting.size() < count)
            continue;
        this->gathering = profile.id;
        this->endsAt = now + kGatherTimeout;
        this->members.clear();
        for (ServerSlot *slot : fitting) {
            slot->ledger.setHold(
                {profile.id, request.from, part, this->endsAt, HoldKind::AgainstLong});
            this->members.push_back(slot->server.id);
        }
        return;
    }
}

void LongContextPlanner::stop(const RequestId &request, const ServerSlots &slots)
{
    if (this->gathering != request)
        return;
    for (const auto &[id, slot] : slots)
        slot->ledger.dropHold(request);
    this->gathering = RequestId();
    this->members.clear();
    this->endsAt = absl::InfinitePast();
}

void LongContextPlanner::onTick(const ServerSlots &slots, absl::Time now)
{
    if (!this->isGathering())
        return;
    const bool hasLostMember =
        std::any_of(this->members.begin(), this->members.end(), [&](const BackendServerId &id) {
            const auto found = slots.find(id);
            return found == slots.end() || !found->second->isUsable();
        });
    if (hasLostMember) {
        this->stop(this->gathering, slots);
        return;
    }
    if (now < this->endsAt)
        return;
    this->timedOutRequest = this->gathering;
    this->gatherBackoffUntil = now + kGatherTimeout;
    this->stop(this->gathering, slots);
}

absl::Time LongContextPlanner::gatherEnd() const
{
    return this->isGathering() ? this->endsAt : absl::InfiniteFuture();
}

} // namespace foxtailtally
