#include "core/thread.h"

#include <memory>
#include <system_error>
#include <utility>

namespace foxtailtally {

namespace {

void *runBody(void *argument)
{
    const std::unique_ptr<std::function<void()>> body(
        static_cast<std::function<void()> *>(argument));
    (*body)();
    return nullptr;
}

} // namespace

Thread::Thread(const std::string &name, std::function<void()> body)
{
    auto owned = std::make_unique<std::function<void()>>(std::move(body));
    const int failure = pthread_create(&this->handle, nullptr, runBody, owned.get());
    if (failure != 0)
        throw std::system_error(failure, std::generic_category());
    (void)owned.release();
    this->started = true;
    pthread_setname_np(this->handle, name.substr(0, 15).c_str());
}

Thread::Thread(Thread &&other) noexcept
    : handle(other.handle)
    , started(std::exchange(other.started, false))
{ }

Thread &Thread::operator=(Thread &&other) noexcept
{
    if (this == &other)
        return *this;
    this->join();
    this->handle = other.handle;
    this->started = std::exchange(other.started, false);
    return *this;
}

Thread::~Thread()
{
    this->join();
}

void Thread::join()
{
    if (!this->started)
        return;
    pthread_join(this->handle, nullptr);
    this->started = false;
}

} // namespace foxtailtally
