#pragma once

#include <absl/time/time.h>
#include <functional>

struct event;
struct event_base;

namespace foxtailtally {

/** A one-shot timer on a libevent loop. */
class LoopTimer
{
public:
    LoopTimer(event_base *base, std::function<void()> task);
    ~LoopTimer();
    LoopTimer(const LoopTimer &) = delete;
    LoopTimer &operator=(const LoopTimer &) = delete;

    /** Runs the task after @p delay; replaces a pending start. */
    void start(absl::Duration delay);
    void stop();

private:
    std::function<void()> task;
    event *timer = nullptr;
};

} // namespace foxtailtally
