#pragma once

#include <functional>
#include <pthread.h>
#include <string>

namespace foxtailtally {

/** A joinable POSIX thread. The destructor joins. */
class Thread
{
public:
    Thread() = default;
    /** Starts @p body on a new thread named @p name (at most 15 characters are kept). */
    Thread(const std::string &name, std::function<void()> body);
    Thread(Thread &&other) noexcept;
    Thread &operator=(Thread &&other) noexcept;
    Thread(const Thread &) = delete;
    Thread &operator=(const Thread &) = delete;
    ~Thread();

    bool isJoinable() const { return this->started; }
    void join();

private:
    pthread_t handle {};
    bool started = false;
};

} // namespace foxtailtally
