#include "servers/memory/response_buffer.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

/** Smallest capacity; saves reallocations of events that arrive in small parts. */
constexpr std::size_t kMinCapacity = 256;

/** A buffer that uses less than this part of its capacity is moved into a smaller one. */
constexpr std::size_t kMinUsedDivisor = 4;

/** Terminating null and header of an allocation. */
constexpr std::size_t kAllocationBytes = 32;

std::int64_t chargeOf(std::size_t capacity)
{
    return static_cast<std::int64_t>(capacity + kAllocationBytes);
}

} // namespace

ResponseBuffer::ResponseBuffer(ResponseBuffer &&other) noexcept
    : hold(std::move(other.hold))
    , text(std::exchange(other.text, std::string()))
{ }

ResponseBuffer &ResponseBuffer::operator=(ResponseBuffer &&other) noexcept
{
    if (this == &other)
        return *this;
    this->text = std::exchange(other.text, std::string());
    this->hold = std::move(other.hold);
    return *this;
}

bool ResponseBuffer::tryAppend(std::string_view data)
{
    if (data.empty())
        return true;
    const std::size_t needed = this->text.size() + data.size();
    const bool fits = this->hold.bytes() >= chargeOf(needed);
    if (!fits) {
        // Less than double the capacity only where there is no more memory.
        const std::size_t capacity = this->text.capacity();
        const std::size_t doubled = std::max({kMinCapacity, needed, capacity * 2});
        const std::size_t enlarged = std::max(needed, capacity + capacity / 8);
        std::size_t granted = 0;
        for (const std::size_t wanted : {doubled, enlarged, needed}) {
            if (!this->hold.resize(chargeOf(wanted)))
                continue;
            granted = wanted;
            break;
        }
        if (granted == 0)
            return false;
        this->moveTo(granted);
    }
    this->text.append(data);
    return true;
}

void ResponseBuffer::removePrefix(std::size_t count)
{
    if (count >= this->text.size()) {
        this->clear();
        return;
    }
    this->text.erase(0, count);
    const std::size_t wanted = std::max(kMinCapacity, this->text.size());
    if (this->text.capacity() / kMinUsedDivisor < wanted)
        return;
    this->moveTo(wanted);
    // Giving back never fails.
    static_cast<void>(this->hold.resize(chargeOf(wanted)));
}

void ResponseBuffer::clear()
{
    this->text = std::string();
    this->hold.release();
}

void ResponseBuffer::moveTo(std::size_t capacity)
{
    // std::string::reserve() may double the capacity, which is more than was taken.
    std::string moved;
    moved.reserve(capacity);
    moved.append(this->text);
    this->text = std::move(moved);
}

} // namespace foxtailtally
