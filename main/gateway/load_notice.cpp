#include "main/gateway/load_notice.h"

#include "core/error.h"
#include "peers/instance/bounded_archive.h"

#include <algorithm>
#include <limits>

namespace foxtailtally {

namespace {

constexpr std::uint8_t kFormat = 3;

enum StreamFlags : std::uint8_t { Writing = 1, Late = 2, Split = 4 };

/** Elements after a count of one byte; the archive's own counts take four. */
template <typename Archive, typename Container>
void archiveShort(Archive &archive, Container &container)
{
    auto count = static_cast<std::uint8_t>(container.size());
    archive(count);
    container.resize(count);
    for (auto &element : container)
        archive(element);
}

template <typename Number>
Number bounded(double value)
{
    return static_cast<Number>(
        std::clamp(value, 0.0, static_cast<double>(std::numeric_limits<Number>::max())));
}

/** A stream on the wire; times are ages, since clocks differ between instances. */
struct StreamNotice
{
    /** The server that writes, then those that hold memory, then those that only read. */
    std::vector<std::uint64_t> servers;
    std::uint8_t holders = 0;
    std::uint16_t ageMs = 0;
    std::uint16_t readMs = 0;
    std::uint32_t memoryTokens = 0;
    std::uint16_t pauseObjectiveMs = 0;
    std::uint16_t firstEventDueMs = 0;
    std::uint16_t valueTenths = 0;
    std::uint8_t flags = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archiveShort(archive, this->servers);
        archive(this->holders, this->ageMs, this->readMs, this->memoryTokens,
                this->pauseObjectiveMs, this->firstEventDueMs, this->valueTenths, this->flags);
    }
};

/** Bytes of a Datagram without what its strings and lists hold. */
constexpr std::size_t kHeadBytes = 21;
/** Bytes of a StreamNotice without its servers, and of each of these. */
constexpr std::size_t kStreamBytes = 17;
constexpr std::size_t kServerBytes = 8;
/** Most servers and suspects that a count of one byte allows. */
constexpr std::size_t kMostElements = 255;

struct Datagram
{
    std::uint8_t format = kFormat;
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint8_t hasLostStore = 0;
    std::vector<StreamNotice> streams;
    std::vector<std::uint64_t> suspects;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->format);
        archiveShort(archive, this->instance);
        archive(this->incarnation, this->sequence, this->hasLostStore);
        archiveShort(archive, this->streams);
        archiveShort(archive, this->suspects);
    }
    std::size_t bytes() const
    {
        std::size_t total =
            kHeadBytes + this->instance.size() + kServerBytes * this->suspects.size();
        for (const StreamNotice &stream : this->streams)
            total += kStreamBytes + kServerBytes * stream.servers.size();
        return total;
    }
};

/** @p parts: those of one stream. */
StreamNotice noticeOf(std::span<const StreamPart> parts, absl::Time now)
{
    const StreamPart &first = parts.front();
    StreamNotice notice;
    std::vector<std::uint64_t> readers;
    for (const StreamPart &part : parts) {
        const bool isReader = part.isHelper && part.memoryTokens == 0;
        (isReader ? readers : notice.servers).push_back(part.server);
    }
    notice.holders = static_cast<std::uint8_t>(notice.servers.size() - 1);
    notice.servers.insert(notice.servers.end(), readers.begin(), readers.end());
    notice.ageMs = bounded<std::uint16_t>(absl::ToDoubleMilliseconds(now - first.placedAt));
    notice.readMs = bounded<std::uint16_t>(first.readMs + 0.5);
    notice.memoryTokens = first.memoryTokens;
    notice.pauseObjectiveMs = first.pauseObjectiveMs;
    notice.firstEventDueMs = first.firstEventDueMs;
    notice.valueTenths = bounded<std::uint16_t>(first.value * 10.0 + 0.5);
    notice.flags = static_cast<std::uint8_t>(
        (first.isWriting ? Writing : 0) | (first.isLate ? Late : 0) | (first.isSplit ? Split : 0));
    return notice;
}

void addParts(const StreamNotice &notice, std::uint32_t stream, absl::Time now,
              std::vector<StreamPart> &parts)
{
    StreamPart part;
    part.stream = stream;
    part.placedAt = now - absl::Milliseconds(notice.ageMs);
    part.readMs = notice.readMs;
    part.pauseObjectiveMs = notice.pauseObjectiveMs;
    part.firstEventDueMs = notice.firstEventDueMs;
    part.value = static_cast<float>(notice.valueTenths) / 10.0F;
    part.isWriting = (notice.flags & Writing) != 0;
    part.isLate = (notice.flags & Late) != 0;
    part.isSplit = (notice.flags & Split) != 0;
    for (std::size_t i = 0; i < notice.servers.size(); ++i) {
        part.server = notice.servers[i];
        part.isHelper = i > 0;
        part.memoryTokens = i <= notice.holders ? notice.memoryTokens : 0;
        parts.push_back(part);
    }
}

} // namespace

std::string encodeLoad(const LoadNotice &notice, absl::Time now)
{
    Datagram datagram;
    datagram.instance = notice.instance.substr(0, kMostElements);
    datagram.incarnation = notice.incarnation;
    datagram.sequence = notice.sequence;
    datagram.hasLostStore = notice.hasLostStore ? 1 : 0;
    const std::size_t suspects = std::min(notice.suspects.size(), kMostElements);
    datagram.suspects.assign(notice.suspects.begin(),
                             notice.suspects.begin() + static_cast<std::ptrdiff_t>(suspects));
    const std::span<const StreamPart> parts = notice.parts;
    std::size_t bytes = datagram.bytes();
    for (std::size_t begin = 0; begin < parts.size();) {
        std::size_t end = begin + 1;
        while (end < parts.size() && parts[end].stream == parts[begin].stream)
            ++end;
        const std::size_t size = kStreamBytes + kServerBytes * (end - begin);
        if (bytes + size <= kMaxLoadDatagram && datagram.streams.size() < kMostElements
            && end - begin <= kMostElements) {
            datagram.streams.push_back(noticeOf(parts.subspan(begin, end - begin), now));
            bytes += size;
        }
        begin = end;
    }
    BinaryWriter writer;
    writer(datagram);
    return writer.takeBytes();
}

Result<LoadNotice> decodeLoad(std::span<const char> bytes, absl::Time now)
{
    Datagram datagram;
    try {
        BoundedReader reader(bytes);
        reader(datagram);
    } catch (const std::exception &) {
        return Error::ProtocolViolation;
    }
    if (datagram.format != kFormat)
        return Error::ProtocolViolation;
    LoadNotice notice;
    notice.instance = std::move(datagram.instance);
    notice.incarnation = datagram.incarnation;
    notice.sequence = datagram.sequence;
    notice.hasLostStore = datagram.hasLostStore != 0;
    notice.suspects = std::move(datagram.suspects);
    std::uint32_t stream = 0;
    for (const StreamNotice &told : datagram.streams)
        addParts(told, ++stream, now, notice.parts);
    return notice;
}

} // namespace foxtailtally
