#include "main/gateway/body_queue.h"

#include "core/clock.h"

namespace foxtailtally {

namespace {

/** Interval at which waiting bodies are decided about while there are any. */
constexpr absl::Duration kRecheckInterval = absl::Milliseconds(10);

} // namespace

BodyQueue::BodyQueue(event_base *base, MemoryBudget &budget)
    : bodies(budget)
    , timer(base, [this] { this->onTimer(); })
{ }

BodyAdmission::Verdict BodyQueue::request(BodyClaim &claim, std::int64_t bytes, BodyWaiter &waiter,
                                          absl::Time waitUntil)
{
    const bool wasWaiting = this->bodies.waiting() > 0;
    const BodyAdmission::Verdict verdict = this->bodies.request(claim, bytes, waiter, waitUntil);
    if (verdict == BodyAdmission::Verdict::Waiting && !wasWaiting)
        this->timer.start(kRecheckInterval);
    return verdict;
}

void BodyQueue::onTimer()
{
    const std::vector<BodyAdmission::Decision> decisions = this->bodies.advance(Clock::now());
    if (this->bodies.waiting() > 0)
        this->timer.start(kRecheckInterval);
    for (const BodyAdmission::Decision &decision : decisions) {
        if (decision.isAdmitted)
            decision.waiter->onBodyAdmitted();
        else
            decision.waiter->onBodyRefused();
    }
}

} // namespace foxtailtally
