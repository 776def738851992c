#pragma once

#include <pthread.h>

namespace foxtailtally {

/** Locks a POSIX mutex for the enclosing scope. */
class Lock
{
public:
    explicit Lock(pthread_mutex_t &mutex)
        : mutex(mutex)
    {
        pthread_mutex_lock(&this->mutex);
    }
    ~Lock() { pthread_mutex_unlock(&this->mutex); }
    Lock(const Lock &) = delete;
    Lock &operator=(const Lock &) = delete;

private:
    pthread_mutex_t &mutex;
};

} // namespace foxtailtally
