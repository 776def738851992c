#pragma once

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <event2/event.h>

namespace foxtailtally {

/** A libevent loop that a test turns until what it waits for has happened. */
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

    /** Turns the loop until @p condition holds; false when it does not within a generous time. */
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const absl::Time end = absl::Now() + absl::Seconds(20);
        while (!condition()) {
            if (absl::Now() > end)
                return false;
            event_base_loop(this->loop, EVLOOP_NONBLOCK);
            absl::SleepFor(absl::Milliseconds(1));
        }
        return true;
    }
    /** Turns the loop for a while, to see that something does not happen. */
    void runEvents()
    {
        for (int i = 0; i < 30; ++i) {
            event_base_loop(this->loop, EVLOOP_NONBLOCK);
            absl::SleepFor(absl::Milliseconds(1));
        }
    }

private:
    event_base *loop;
};

} // namespace foxtailtally
