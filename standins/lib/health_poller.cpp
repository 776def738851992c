#include "standins/lib/health_poller.h"

#include "core/clock.h"
#include "core/lock.h"

#include <absl/strings/str_cat.h>
#include <utility>

namespace foxtailtally {

namespace {

constexpr absl::Duration kProbeTimeout = absl::Milliseconds(400);

} // namespace

HealthPoller::HealthPoller(std::vector<std::string> backends, absl::Duration interval)
    : backends(std::move(backends))
    , interval(interval)
    , http(1)
    , ready(this->backends.size(), false)
{
    this->thread = Thread("health", [this] { this->run(); });
}

HealthPoller::~HealthPoller()
{
    {
        const Lock lock(this->mutex);
        this->isStopping = true;
        pthread_cond_signal(&this->stopped);
    }
    this->thread.join();
    pthread_cond_destroy(&this->stopped);
    pthread_mutex_destroy(&this->mutex);
}

std::string HealthPoller::pick()
{
    const Lock lock(this->mutex);
    for (std::size_t i = 0; i < this->backends.size(); ++i) {
        const std::size_t candidate = (this->next + i) % this->backends.size();
        if (this->ready[candidate]) {
            this->next = candidate + 1;
            return this->backends[candidate];
        }
    }
    return {};
}

void HealthPoller::run()
{
    do {
        for (std::size_t i = 0; i < this->backends.size(); ++i) {
            HttpCall call;
            call.url = absl::StrCat("http://", this->backends[i], "/health/ready");
            call.connectTimeout = kProbeTimeout;
            call.timeout = kProbeTimeout;
            const Result<HttpReply> reply = this->http.perform(call);
            const Lock lock(this->mutex);
            this->ready[i] = reply.ok() && reply->status == 200;
        }
    } while (this->waitForNextRound());
}

bool HealthPoller::waitForNextRound()
{
    const timespec until = absl::ToTimespec(Clock::wallNow() + this->interval);
    const Lock lock(this->mutex);
    while (!this->isStopping) {
        if (pthread_cond_timedwait(&this->stopped, &this->mutex, &until) != 0) {
            return true;
        }
    }
    return false;
}

} // namespace foxtailtally
