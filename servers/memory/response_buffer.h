#pragma once

#include "servers/memory/response_memory.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace foxtailtally {

/** Part of a server's response that is kept in memory. It takes its capacity from a ResponseMemory
 * before it grows, and gives it back as soon as it is empty. */
class ResponseBuffer
{
public:
    /** Grows without a limit. */
    ResponseBuffer() = default;
    ResponseBuffer(ResponseMemory &memory, ServerKey server)
        : hold(memory, server)
    { }
    ResponseBuffer(ResponseBuffer &&other) noexcept;
    ResponseBuffer &operator=(ResponseBuffer &&other) noexcept;
    ~ResponseBuffer() = default;

    /** Appends @p data; false, without a change, if there is no memory for it. */
    bool tryAppend(std::string_view data);
    /** Removes the first @p count bytes. */
    void removePrefix(std::size_t count);
    /** Removes all bytes and gives their memory back. */
    void clear();

    std::string_view view() const { return this->text; }
    std::size_t size() const { return this->text.size(); }
    bool isEmpty() const { return this->text.empty(); }
    std::int64_t heldBytes() const { return this->hold.bytes(); }

private:
    /** Moves the text into a string of @p capacity. */
    void moveTo(std::size_t capacity);

    ResponseHold hold;
    std::string text;
};

} // namespace foxtailtally
