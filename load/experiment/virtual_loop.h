#pragma once

#include <absl/time/time.h>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace foxtailtally {

/** Event loop in virtual time; callbacks of the same time run in order of insertion. */
class VirtualLoop
{
public:
    explicit VirtualLoop(absl::Time start)
        : current(start)
    { }

    absl::Time now() const { return this->current; }
    /** Schedules @p callback; a time in the past is replaced by now(). */
    void at(absl::Time time, std::function<void()> callback);
    void after(absl::Duration delay, std::function<void()> callback);
    /** Runs all callbacks up to and including @p end and sets now() to @p end. */
    void runUntil(absl::Time end);

private:
    struct Event
    {
        absl::Time time;
        std::uint64_t number = 0;
        std::function<void()> callback;
    };
    struct Later
    {
        bool operator()(const Event &a, const Event &b) const
        {
            return a.time != b.time ? a.time > b.time : a.number > b.number;
        }
    };

    absl::Time current;
    std::uint64_t count = 0;
    std::priority_queue<Event, std::vector<Event>, Later> events;
};

} // namespace foxtailtally
