#include "load/experiment/virtual_loop.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

void VirtualLoop::at(absl::Time time, std::function<void()> callback)
{
    this->events.push({std::max(time, this->current), this->count++, std::move(callback)});
}

void VirtualLoop::after(absl::Duration delay, std::function<void()> callback)
{
    this->at(this->current + delay, std::move(callback));
}

void VirtualLoop::runUntil(absl::Time end)
{
    while (!this->events.empty() && this->events.top().time <= end) {
        // The queue gives only const access to its top, which is removed in the next statement.
        Event event = std::move(const_cast<Event &>(this->events.top()));
        this->events.pop();
        this->current = event.time;
        event.callback();
    }
    this->current = end;
}

} // namespace foxtailtally
