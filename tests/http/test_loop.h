#pragma once

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <event2/event.h>

namespace foxtailtally {

/** A libevent loop for tests that wait for a condition. */
class TestLoop
{
public:
    TestLoop()
        : loop(event_base_new())
    { }
    ~TestLoop() { event_base_free(this->loop); }
    TestLoop(const TestLoop &) = delete;
    TestLoop &operator=(const TestLoop &) = delete;

    event_base *base() const { return this->loop; }

    /** Runs the loop until @p condition holds; false when it does not hold within 20 s. */
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        return this->run(EVLOOP_NONBLOCK, condition);
    }
    /** Like runUntil(), but @p condition is checked before events run that other ones caused. */
    template <typename Condition>
    bool runStepwiseUntil(Condition condition)
    {
        return this->run(EVLOOP_ONCE | EVLOOP_NONBLOCK, condition);
    }
    /** Runs the loop for about 30 ms, to check that something does not happen. */
    void runEvents()
    {
        for (int i = 0; i < 30; ++i) {
            event_base_loop(this->loop, EVLOOP_NONBLOCK);
            absl::SleepFor(absl::Milliseconds(1));
        }
    }

private:
    template <typename Condition>
    bool run(int flags, Condition condition)
    {
        const absl::Time end = absl::Now() + absl::Seconds(20);
        while (!condition()) {
            if (absl::Now() > end)
                return false;
            event_base_loop(this->loop, flags);
            absl::SleepFor(absl::Milliseconds(1));
        }
        return true;
    }

    event_base *loop;
};

} // namespace foxtailtally
