#pragma once

#include "core/thread.h"
#include "peers/http/http_client.h"

#include <absl/time/time.h>
#include <cstddef>
#include <pthread.h>
#include <string>
#include <vector>

namespace foxtailtally {

/** Polls GET /health/ready of each backend at a fixed interval. */
class HealthPoller
{
public:
    /** @p backends are "ip:port". */
    HealthPoller(std::vector<std::string> backends, absl::Duration interval);
    ~HealthPoller();
    HealthPoller(const HealthPoller &) = delete;
    HealthPoller &operator=(const HealthPoller &) = delete;

    /** Next backend, round-robin, that was ready at its last poll; empty if there is none. */
    std::string pick();

private:
    void run();
    /** Waits for the interval; false when stopping. */
    bool waitForNextRound();

    std::vector<std::string> backends;
    absl::Duration interval;
    HttpClient http;
    pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
    pthread_cond_t stopped = PTHREAD_COND_INITIALIZER;
    std::vector<bool> ready;
    std::size_t next = 0;
    bool isStopping = false;
    Thread thread;
};

} // namespace foxtailtally
