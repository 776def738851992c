#pragma once

#include "peers/instance/bounded_archive.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

namespace foxtailtally {

/** Largest datagram between instances, in bytes; larger ones would be fragmented by the network. */
inline constexpr std::size_t kMaxDatagram = 1400;

/** Most elements that a one-byte count allows. */
inline constexpr std::size_t kMaxElements = 255;

/** Archives elements after a one-byte count; the archive's own counts take four bytes. */
template <typename Archive, typename Container>
void archiveWithByteCount(Archive &archive, Container &container)
{
    auto count = static_cast<std::uint8_t>(container.size());
    archive(count);
    container.resize(count);
    for (auto &element : container)
        archive(element);
}

/** The nearest value that @p Number can hold. */
template <typename Number>
Number saturate(double value)
{
    return static_cast<Number>(
        std::clamp(value, 0.0, static_cast<double>(std::numeric_limits<Number>::max())));
}

/** Binary form of @p value. */
template <typename T>
std::string encoded(T value)
{
    BinaryWriter writer;
    writer(value);
    return writer.takeBytes();
}

/** Collects encoded elements of one list as far as they fit into a datagram. */
class BoundedListWriter
{
public:
    /** Returns false if @p element does not fit. */
    bool add(const std::string &element, std::size_t remainingBytes)
    {
        if (element.size() > remainingBytes || this->count == kMaxElements)
            return false;
        this->bytes += element;
        ++this->count;
        return true;
    }
    std::size_t size() const { return 1 + this->bytes.size(); }
    std::string text() const
    {
        return std::string(1, static_cast<char>(this->count)) + this->bytes;
    }

private:
    std::string bytes;
    std::uint8_t count = 0;
};

} // namespace foxtailtally
