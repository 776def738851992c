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
        // top() is const; moving from it is safe, as the next statement removes the element.
        Event event = std::move(const_cast<Event &>(this->events.top()));
        this->events.pop();
        this->current = event.time;
        event.callback();
    }
    this->current = end;
}

} // namespace foxtailtally
