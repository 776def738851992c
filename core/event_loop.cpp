#include "core/event_loop.h"

#include "core/clock.h"
#include "core/lock.h"

#include <algorithm>
#include <ctime>
#include <memory>
#include <utility>

namespace foxtailtally {

namespace {

/** Longest wait of an idle loop. Short waits cost CPU time: 25 idle loops that woke up every 100 ms
 * used a third of the CPU time of an idle instance. */
constexpr absl::Duration kMaxWait = absl::Seconds(10);

} // namespace

EventLoop::EventLoop(const std::string &name)
{
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&this->changed, &attributes);
    pthread_condattr_destroy(&attributes);
    this->thread = Thread(name, [this] { this->run(); });
}

EventLoop::~EventLoop()
{
    this->stop();
    pthread_cond_destroy(&this->changed);
    pthread_mutex_destroy(&this->mutex);
}

void EventLoop::post(std::function<void()> task)
{
    const Lock lock(this->mutex);
    this->tasks.push_back(std::move(task));
    pthread_cond_signal(&this->changed);
}

void EventLoop::postAt(absl::Time when, std::function<void()> task)
{
    const Lock lock(this->mutex);
    this->timers.emplace(when, std::move(task));
    pthread_cond_signal(&this->changed);
}

void EventLoop::every(absl::Duration period, std::function<void()> task)
{
    const absl::Time next = Clock::now() + period;
    this->postAt(next, [this, period, task = std::move(task)]() mutable {
        task();
        this->every(period, std::move(task));
    });
}

void EventLoop::stop()
{
    {
        const Lock lock(this->mutex);
        this->stopping = true;
        pthread_cond_signal(&this->changed);
    }
    this->thread.join();
}

void EventLoop::run()
{
    std::vector<std::function<void()>> ready;
    while (true) {
        {
            const Lock lock(this->mutex);
            absl::Time now = Clock::now();
            const bool idle =
                this->tasks.empty() && (this->timers.empty() || this->timers.begin()->first > now);
            if (idle && this->stopping)
                return;
            if (idle) {
                absl::Duration wait = kMaxWait;
                if (!this->timers.empty())
                    wait = std::min(wait, this->timers.begin()->first - now);
                timespec until {};
                clock_gettime(CLOCK_MONOTONIC, &until);
                const absl::Duration sum = absl::DurationFromTimespec(until) + wait;
                until = absl::ToTimespec(sum);
                pthread_cond_timedwait(&this->changed, &this->mutex, &until);
                now = Clock::now();
            }
            ready.swap(this->tasks);
            while (!this->stopping && !this->timers.empty() && this->timers.begin()->first <= now) {
                ready.push_back(std::move(this->timers.begin()->second));
                this->timers.erase(this->timers.begin());
            }
            if (this->stopping)
                this->timers.clear();
        }
        for (const std::function<void()> &task : ready)
            task();
        ready.clear();
    }
}

} // namespace foxtailtally
