#pragma once

#include "peers/http/loop_timer.h"
#include "servers/memory/body_admission.h"

namespace foxtailtally {

/** The request bodies of an instance that are read or wait for memory. */
class BodyQueue
{
public:
    BodyQueue(event_base *base, MemoryBudget &budget);

    BodyAdmission &admission() { return this->bodies; }
    /** BodyAdmission::request(); @p waiter is notified from the loop if it has to wait. */
    BodyAdmission::Verdict request(BodyClaim &claim, std::int64_t bytes, BodyWaiter &waiter,
                                   absl::Time waitUntil);

private:
    void onTimer();

    BodyAdmission bodies;
    LoopTimer timer;
};

} // namespace foxtailtally
