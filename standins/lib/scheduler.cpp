#include "standins/lib/scheduler.h"

#include "core/clock.h"
#include "core/lock.h"

#include <ctime>

namespace foxtailtally {

namespace {

/** Maximum single wait; keeps the deadline passed to pthread_cond_timedwait() within range. */
constexpr absl::Duration kMaxWait = absl::Minutes(1);

} // namespace

Scheduler::Scheduler(const std::string &name)
{
    pthread_condattr_t attributes {};
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&this->changed, &attributes);
    pthread_condattr_destroy(&attributes);
    this->thread = Thread(name, [this] { this->run(); });
}

Scheduler::~Scheduler()
{
    this->stop();
    pthread_cond_destroy(&this->changed);
    pthread_mutex_destroy(&this->mutex);
}

void Scheduler::post(Task task)
{
    this->postAt(absl::InfinitePast(), std::move(task));
}

void Scheduler::postAt(absl::Time time, Task task)
{
    const Lock lock(this->mutex);
    if (this->isStopping) {
        return;
    }
    this->tasks.emplace(std::pair(time, ++this->posted), std::move(task));
    pthread_cond_signal(&this->changed);
}

void Scheduler::stop()
{
    {
        const Lock lock(this->mutex);
        this->isStopping = true;
        pthread_cond_signal(&this->changed);
    }
    if (this->thread.isJoinable()) {
        this->thread.join();
    }
    // Destroyed without the lock: dropped tasks may own objects that call post() on destruction.
    this->tasks.clear();
}

void Scheduler::run()
{
    Task task;
    while (this->take(task)) {
        task();
        task = nullptr;
    }
}

bool Scheduler::take(Task &task)
{
    const Lock lock(this->mutex);
    while (!this->isStopping) {
        if (this->tasks.empty()) {
            pthread_cond_wait(&this->changed, &this->mutex);
            continue;
        }
        const auto first = this->tasks.begin();
        const absl::Duration wait = first->first.first - Clock::now();
        if (wait <= absl::ZeroDuration()) {
            task = std::move(first->second);
            this->tasks.erase(first);
            return true;
        }
        timespec until {};
        clock_gettime(CLOCK_MONOTONIC, &until);
        until = absl::ToTimespec(absl::DurationFromTimespec(until) + std::min(wait, kMaxWait));
        pthread_cond_timedwait(&this->changed, &this->mutex, &until);
    }
    return false;
}

} // namespace foxtailtally
