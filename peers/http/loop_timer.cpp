#include "peers/http/loop_timer.h"

#include "core/guard.h"

#include <algorithm>
#include <event2/event.h>
#include <utility>

namespace foxtailtally {

LoopTimer::LoopTimer(event_base *base, std::function<void()> task)
    : task(std::move(task))
{
    this->timer = event_new(
        base, -1, 0,
        [](evutil_socket_t, short, void *object) {
            runGuarded("timer", [object] { static_cast<LoopTimer *>(object)->task(); });
        },
        this);
}

LoopTimer::~LoopTimer()
{
    event_free(this->timer);
}

void LoopTimer::start(absl::Duration delay)
{
    const timeval interval = absl::ToTimeval(std::max(delay, absl::ZeroDuration()));
    event_add(this->timer, &interval);
}

void LoopTimer::stop()
{
    event_del(this->timer);
}

} // namespace foxtailtally
