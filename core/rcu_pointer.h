#pragma once

#include <atomic>
#include <memory>
#include <urcu/urcu-memb.h>
#include <utility>

namespace foxtailtally {

/** Registers the calling thread with liburcu on first use and unregisters it when it ends. */
class RcuThread
{
public:
    static void ensureRegistered()
    {
        thread_local const RcuThread registration;
        (void)registration;
    }

    RcuThread(const RcuThread &) = delete;
    RcuThread &operator=(const RcuThread &) = delete;

private:
    RcuThread() { urcu_memb_register_thread(); }
    ~RcuThread() { urcu_memb_unregister_thread(); }
};

/**
 * Pointer to an immutable snapshot. Readers take no lock and never wait; publish() waits until no
 * reader uses the old snapshot, so it belongs on a control thread.
 */
template <typename T>
class RcuPointer
{
public:
    explicit RcuPointer(std::unique_ptr<const T> initial)
        : current(initial.release())
    { }
    RcuPointer(const RcuPointer &) = delete;
    RcuPointer &operator=(const RcuPointer &) = delete;
    ~RcuPointer() { delete this->current.load(); }

    /** Calls @p use with the current snapshot and returns its result. @p use must not block. */
    template <typename F>
    auto read(F &&use) const
    {
        RcuThread::ensureRegistered();
        const ReadSection section;
        return std::forward<F>(use)(*this->current.load(std::memory_order_acquire));
    }

    void publish(std::unique_ptr<const T> next)
    {
        RcuThread::ensureRegistered();
        const T *old = this->current.exchange(next.release(), std::memory_order_acq_rel);
        urcu_memb_synchronize_rcu();
        delete old;
    }

private:
    struct ReadSection
    {
        ReadSection() { urcu_memb_read_lock(); }
        ~ReadSection() { urcu_memb_read_unlock(); }
        ReadSection(const ReadSection &) = delete;
        ReadSection &operator=(const ReadSection &) = delete;
    };

    std::atomic<const T *> current;
};

} // namespace foxtailtally
