#pragma once

#include "core/thread.h"

#include <absl/time/time.h>
#include <functional>
#include <map>
#include <pthread.h>
#include <string>
#include <vector>

namespace foxtailtally {

/** Runs posted tasks one after another on its own thread. */
class EventLoop
{
public:
    explicit EventLoop(const std::string &name);
    /** Runs the tasks posted so far and joins the thread; pending timers are dropped. */
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    void post(std::function<void()> task);
    /** Runs @p task on the loop at @p when or shortly after. */
    void postAt(absl::Time when, std::function<void()> task);
    /** Runs @p task on the loop every @p period until the loop ends. */
    void every(absl::Duration period, std::function<void()> task);
    /** Stops the loop. May be called more than once, but not from the loop's own thread. */
    void stop();

private:
    void run();

    pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
    pthread_cond_t changed;
    std::vector<std::function<void()>> tasks;
    std::multimap<absl::Time, std::function<void()>> timers;
    bool stopping = false;
    Thread thread;
};

} // namespace foxtailtally
