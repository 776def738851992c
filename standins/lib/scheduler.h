#pragma once

#include "core/thread.h"

#include <absl/time/time.h>
#include <cstdint>
#include <functional>
#include <map>
#include <pthread.h>
#include <string>
#include <utility>

namespace foxtailtally {

/** Runs tasks sequentially on its own thread, each at or after its time. */
class Scheduler
{
public:
    using Task = std::function<void()>;

    explicit Scheduler(const std::string &name);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    void post(Task task);
    /** Tasks with the same time run in the order in which they were posted. */
    void postAt(absl::Time time, Task task);
    /** Drops all tasks that have not started and waits for the running one. */
    void stop();

private:
    void run();
    /** Waits until a task is due; false when stopping. */
    bool take(Task &task);

    pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
    pthread_cond_t changed {};
    std::map<std::pair<absl::Time, std::uint64_t>, Task> tasks;
    std::uint64_t posted = 0;
    bool isStopping = false;
    Thread thread;
};

} // namespace foxtailtally
