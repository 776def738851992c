#include "peers/instance/usage_message.h"

#include "core/error.h"
#include "peers/instance/wire_list.h"

#include <absl/container/btree_map.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace foxtailtally {

namespace {

/** First byte of the datagrams; differs from those of other kinds between instances. */
constexpr std::uint8_t kFormat = 17;

/** Bits of the flags of a datagram and of a row. */
constexpr std::uint8_t kHasLease = 1;
constexpr std::uint8_t kIsReleased = 2;
constexpr std::uint8_t kIsEnded = 1;

/** Bytes of the longest count of entries of a window in a datagram. */
constexpr std::size_t kMaxCountBytes = 2;

/** Longest list of the demand of a row; a row with it fits into a datagram. */
constexpr std::size_t kMaxDemandBytes = 1000;

/** A number that takes one byte for each 7 bits. */
struct WireNumber
{
    std::uint64_t value = 0;
};

void CEREAL_SAVE_FUNCTION_NAME(BinaryWriter &archive, const WireNumber &number)
{
    std::uint64_t left = number.value;
    while (left >= 0x80) {
        archive(static_cast<std::uint8_t>(left | 0x80));
        left >>= 7;
    }
    archive(static_cast<std::uint8_t>(left));
}

void CEREAL_LOAD_FUNCTION_NAME(BoundedReader &archive, WireNumber &number)
{
    number.value = 0;
    for (unsigned shift = 0; shift < 64; shift += 7) {
        std::uint8_t byte = 0;
        archive(byte);
        number.value |= static_cast<std::uint64_t>(byte & 0x7F) << shift;
        if ((byte & 0x80) == 0)
            return;
    }
    throw ArchiveError(ArchiveError::Kind::TooLarge);
}

WireNumber unsignedNumber(std::int64_t value)
{
    return {static_cast<std::uint64_t>(std::max<std::int64_t>(value, 0))};
}

/** Small positive and negative values take few bytes. */
WireNumber signedNumber(std::int64_t value)
{
    return {(static_cast<std::uint64_t>(value) << 1) ^ static_cast<std::uint64_t>(value >> 63)};
}

std::int64_t signedValue(WireNumber number)
{
    return static_cast<std::int64_t>((number.value >> 1) ^ (~(number.value & 1) + 1));
}

/** Counts are added up without overflow. */
std::int64_t countValue(WireNumber number)
{
    constexpr std::uint64_t kMaxCount = std::uint64_t {1} << 40;
    if (number.value > kMaxCount)
        throw ArchiveError(ArchiveError::Kind::TooLarge);
    return static_cast<std::int64_t>(number.value);
}

/** The window at @p offset from @p base; sums of windows do not overflow. */
std::int64_t windowValue(WireNumber base, WireNumber offset)
{
    constexpr std::int64_t kMaxWindow = std::int64_t {1} << 40;
    const auto sum = static_cast<std::int64_t>(static_cast<std::uint64_t>(signedValue(base))
                                               + static_cast<std::uint64_t>(signedValue(offset)));
    if (sum < kNoWindow || sum > kMaxWindow)
        throw ArchiveError(ArchiveError::Kind::TooLarge);
    return sum;
}

struct WireText
{
    std::string text;

    template <typename Archive>
    void save(Archive &archive) const
    {
        archive(WireNumber {this->text.size()},
                cereal::binary_data(this->text.data(), this->text.size()));
    }
    template <typename Archive>
    void load(Archive &archive)
    {
        WireNumber size;
        archive(size);
        if (size.value > archive.remaining())
            throw ArchiveError(ArchiveError::Kind::Truncated);
        this->text.resize(size.value);
        archive(cereal::binary_data(this->text.data(), this->text.size()));
    }
};

/** A name without the characters that it shares with the previous one in the datagram. */
struct WireName
{
    std::uint8_t shared = 0;
    WireText rest;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->shared, this->rest);
    }
};

struct WireCount
{
    WireName customer;
    WireNumber requests;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->customer, this->requests);
    }
};

struct WireSource
{
    WireText instance;
    Incarnation incarnation = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->instance, this->incarnation);
    }
};

struct WireRequest
{
    WireSource source;
    std::uint8_t isWhole = 0;
    WireNumber countedThrough;
    std::array<WireNumber, kRecentUsageWindows> totals;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->source, this->isWhole, this->countedThrough);
        for (WireNumber &total : this->totals)
            archive(total);
    }
};

struct WireLease
{
    WireText holder;
    std::int64_t token = 0;
    WireNumber era;
    WireNumber revision;
    std::uint16_t ageMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->holder, this->token, this->era, this->revision, this->ageMs);
    }
};

struct WireHeader
{
    std::uint8_t format = kFormat;
    std::uint8_t flags = 0;
    WireText domain;
    /** Windows of the rows are sent relative to this one. */
    WireNumber baseWindow;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->format, this->flags, this->domain, this->baseWindow);
    }
};

/** A row without its demand and its windows. */
struct WireRow
{
    WireName instance;
    Incarnation incarnation = 0;
    std::uint8_t flags = 0;
    std::uint16_t ageMs = 0;
    WireNumber countedThrough;
    WireNumber recentTotal;
    WireNumber closedTotal;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->instance, this->incarnation, this->flags, this->ageMs, this->countedThrough,
                this->recentTotal, this->closedTotal);
    }
};

struct WireDemand
{
    WireName service;
    std::array<WireNumber, kDemandFigures> figures;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->service);
        for (WireNumber &figure : this->figures)
            archive(figure);
    }
};

std::uint16_t ageOnWire(absl::Duration age)
{
    return saturate<std::uint16_t>(absl::ToDoubleMilliseconds(age));
}

WireSource toWire(const UsageSource &source)
{
    return {{source.instance.str()}, source.incarnation};
}

UsageSource fromWire(const WireSource &wire)
{
    return {InstanceId(wire.instance.text), wire.incarnation};
}

UsageRowRequest fromWire(const WireRequest &wire)
{
    UsageRowRequest request;
    request.source = fromWire(wire.source);
    request.isWhole = wire.isWhole != 0;
    request.known.countedThrough = windowValue({}, wire.countedThrough);
    for (std::size_t i = 0; i < wire.totals.size(); ++i)
        request.known.totals[i] = countValue(wire.totals[i]);
    return request;
}

WireLease toWire(const LeaseAnnouncement &lease, absl::Duration age)
{
    return {{lease.holder.str()},
            lease.token,
            unsignedNumber(lease.position.era),
            signedNumber(lease.position.revision),
            ageOnWire(age)};
}

WireName nameAfter(std::string_view previous, const std::string &name)
{
    const std::size_t limit = std::min({previous.size(), name.size(), kMaxElements});
    std::size_t shared = 0;
    while (shared < limit && previous[shared] == name[shared])
        ++shared;
    return {static_cast<std::uint8_t>(shared), {name.substr(shared)}};
}

/** Replaces @p previous by the name that @p wire stands for. */
void readName(const WireName &wire, std::string &previous)
{
    if (wire.shared > previous.size())
        throw ArchiveError(ArchiveError::Kind::Truncated);
    previous.resize(wire.shared);
    previous += wire.rest.text;
}

std::string encodedCount(std::string_view previous, const CustomerId &customer,
                         std::int64_t requests)
{
    return encoded(WireCount {nameAfter(previous, customer.str()), unsignedNumber(requests)});
}

/** Writes the rows of one failure domain, and the rest of the envelope into the first datagram. */
class EnvelopeWriter
{
public:
    EnvelopeWriter(const std::string &domain, std::int64_t baseWindow)
        : baseWindow(baseWindow)
    {
        this->header.domain.text = domain;
        this->header.baseWindow = signedNumber(baseWindow);
        this->headerBytes = encoded(this->header).size();
    }

    void addLease(const LeaseAnnouncement &lease, absl::Duration age)
    {
        this->header.flags = static_cast<std::uint8_t>(this->header.flags | kHasLease
                                                       | (lease.isReleased ? kIsReleased : 0));
        this->lease = encoded(toWire(lease, age));
    }

    void addRequest(const UsageRowRequest &request)
    {
        WireRequest wire;
        wire.source = toWire(request.source);
        wire.isWhole = request.isWhole ? 1 : 0;
        wire.countedThrough = signedNumber(request.known.countedThrough);
        for (std::size_t i = 0; i < wire.totals.size(); ++i)
            wire.totals[i] = unsignedNumber(request.known.totals[i]);
        const std::string element = encoded(wire);
        if (!this->requests.add(element, this->remaining())) {
            this->flush();
            this->requests.add(element, this->remaining());
        }
    }

    void addRow(const UsageRow &row, absl::Time now)
    {
        // A row begins in a new datagram if its demand does not fit; only its windows are divided.
        if (this->rowCount == kMaxElements
            || this->headOf(row, now).size() + this->demandOf(row).bytes.size() + 1
                > this->remaining())
            this->flush();
        this->beginRow(row, now, this->demandOf(row));
        for (const auto &[window, counts] : row.windows) {
            const std::string offset = encoded(signedNumber(window - this->baseWindow));
            std::string entries;
            std::size_t entryCount = 0;
            std::string_view previous;
            const auto endWindow = [&] {
                if (entryCount > 0)
                    this->addWindow(
                        absl::StrCat(offset, encoded(WireNumber {entryCount}), entries));
                entries.clear();
                entryCount = 0;
                previous = {};
            };
            for (const auto &[customer, requestCount] : counts) {
                std::string entry = encodedCount(previous, customer, requestCount);
                if (offset.size() + kMaxCountBytes + entries.size() + entry.size()
                    > this->remaining()) {
                    endWindow();
                    this->flush();
                    this->beginRow(row, now, {std::string(1, '\0'), {}});
                    entry = encodedCount(previous, customer, requestCount);
                    if (offset.size() + kMaxCountBytes + entry.size() > this->remaining())
                        continue;
                }
                entries += entry;
                ++entryCount;
                previous = customer.str();
            }
            endWindow();
        }
        this->endRow();
    }

    std::vector<std::string> finish()
    {
        if (this->datagrams.empty() || this->hasContent())
            this->flush();
        return std::move(this->datagrams);
    }

private:
    std::string headOf(const UsageRow &row, absl::Time now) const
    {
        WireRow wire;
        wire.instance = nameAfter(this->previousInstance, row.source.instance.str());
        wire.incarnation = row.source.incarnation;
        wire.flags = row.isEnded ? kIsEnded : 0;
        wire.ageMs = ageOnWire(now - row.heardAt);
        wire.countedThrough = signedNumber(row.countedThrough - this->baseWindow);
        wire.recentTotal = unsignedNumber(row.recentTotal);
        wire.closedTotal = unsignedNumber(row.closedTotal);
        return encoded(wire);
    }

    struct Demand
    {
        std::string bytes;
        std::string_view lastService;
    };

    /** Demand of @p row as far as it fits into kMaxDemandBytes. */
    Demand demandOf(const UsageRow &row) const
    {
        BoundedListWriter list;
        std::string_view previous = this->previousService;
        for (const auto &[service, figures] : row.demand) {
            WireDemand wire;
            wire.service = nameAfter(previous, service);
            for (std::size_t i = 0; i < kDemandFigures; ++i)
                wire.figures[i].value = figures[i];
            if (!list.add(encoded(wire), kMaxDemandBytes - std::min(kMaxDemandBytes, list.size())))
                break;
            previous = service;
        }
        return {list.text(), previous};
    }

    bool hasContent() const
    {
        return this->rowCount > 0 || !this->rowHead.empty() || this->requests.size() > 1
            || !this->lease.empty();
    }

    std::size_t remaining() const
    {
        const std::size_t used = this->headerBytes + this->lease.size() + this->requests.size() + 1
            + this->rows.size()
            + (this->rowHead.empty() ? 0 : this->rowHead.size() + 1 + this->rowWindows.size());
        return kMaxDatagram - std::min(kMaxDatagram, used);
    }

    void beginRow(const UsageRow &row, absl::Time now, const Demand &demand)
    {
        this->rowHead = this->headOf(row, now) + demand.bytes;
        this->previousInstance = row.source.instance.str();
        this->previousService = demand.lastService;
    }

    void addWindow(const std::string &window)
    {
        this->rowWindows += window;
        ++this->windowCount;
    }

    void endRow()
    {
        if (this->rowHead.empty())
            return;
        this->rows += this->rowHead + static_cast<char>(this->windowCount) + this->rowWindows;
        ++this->rowCount;
        this->rowHead.clear();
        this->rowWindows.clear();
        this->windowCount = 0;
    }

    void flush()
    {
        this->endRow();
        this->datagrams.push_back(encoded(this->header) + this->lease + this->requests.text()
                                  + static_cast<char>(this->rowCount) + this->rows);
        this->header.flags = 0;
        this->lease.clear();
        this->requests = {};
        this->rows.clear();
        this->rowCount = 0;
        this->previousInstance = {};
        this->previousService = {};
    }

    std::int64_t baseWindow;
    WireHeader header;
    std::size_t headerBytes = 0;
    std::string lease;
    BoundedListWriter requests;
    std::string rows;
    std::size_t rowCount = 0;
    /** Last names in the datagram; they refer to rows that outlive the writer. */
    std::string_view previousInstance;
    std::string_view previousService;
    std::string rowHead;
    std::string rowWindows;
    std::size_t windowCount = 0;
    std::vector<std::string> datagrams;
};

CustomerCounts readCounts(BoundedReader &reader)
{
    WireNumber size;
    reader(size);
    CustomerCounts counts;
    std::string previous;
    for (std::uint64_t i = 0; i < size.value; ++i) {
        WireCount wire;
        reader(wire);
        readName(wire.customer, previous);
        counts[CustomerId(previous)] = countValue(wire.requests);
    }
    return counts;
}

/** The last names that a datagram contained so far. */
struct LastNames
{
    std::string instance;
    std::string service;
};

UsageRow readRow(BoundedReader &reader, const WireHeader &header, LastNames &last, absl::Time now)
{
    WireRow wire;
    std::vector<WireDemand> demand;
    reader(wire);
    archiveWithByteCount(reader, demand);
    UsageRow row;
    readName(wire.instance, last.instance);
    row.source = {InstanceId(last.instance), wire.incarnation};
    row.domain = FailureDomainId(header.domain.text);
    row.heardAt = now - absl::Milliseconds(wire.ageMs);
    row.countedThrough = windowValue(header.baseWindow, wire.countedThrough);
    row.recentTotal = countValue(wire.recentTotal);
    row.closedTotal = countValue(wire.closedTotal);
    row.isEnded = (wire.flags & kIsEnded) != 0;
    for (const WireDemand &service : demand) {
        readName(service.service, last.service);
        DemandFigures &figures = row.demand[last.service];
        for (std::size_t i = 0; i < kDemandFigures; ++i)
            figures[i] = service.figures[i].value;
    }
    std::uint8_t windows = 0;
    reader(windows);
    for (std::uint8_t i = 0; i < windows; ++i) {
        WireNumber offset;
        reader(offset);
        row.windows[windowValue(header.baseWindow, offset)] = readCounts(reader);
    }
    return row;
}

} // namespace

bool isUsageDatagram(std::span<const char> bytes)
{
    return !bytes.empty() && static_cast<std::uint8_t>(bytes.front()) == kFormat;
}

std::vector<std::string> encodeUsageEnvelope(const UsageEnvelope &envelope, absl::Time now)
{
    absl::btree_map<FailureDomainId, std::vector<const UsageRow *>> rowsByDomain;
    for (const UsageRow &row : envelope.rows)
        rowsByDomain[row.domain].push_back(&row);
    if (rowsByDomain.empty() && !envelope.isEmpty())
        rowsByDomain[FailureDomainId()];
    std::vector<std::string> datagrams;
    for (const auto &[domain, rows] : rowsByDomain) {
        EnvelopeWriter writer(domain.str(), rows.empty() ? 0 : rows.front()->countedThrough);
        if (datagrams.empty()) {
            if (envelope.lease)
                writer.addLease(*envelope.lease, envelope.leaseAge);
            for (const UsageRowRequest &request : envelope.requests)
                writer.addRequest(request);
        }
        for (const UsageRow *row : rows)
            writer.addRow(*row, now);
        for (std::string &datagram : writer.finish())
            datagrams.push_back(std::move(datagram));
    }
    return datagrams;
}

Result<UsageEnvelope> decodeUsageEnvelope(std::span<const char> bytes, absl::Time now)
{
    UsageEnvelope envelope;
    try {
        BoundedReader reader(bytes);
        WireHeader header;
        reader(header.format);
        if (header.format != kFormat)
            return Error::MessageVersionUnknown;
        reader(header.flags, header.domain, header.baseWindow);
        if ((header.flags & kHasLease) != 0) {
            WireLease wire;
            reader(wire);
            LeaseAnnouncement lease;
            lease.holder = InstanceId(wire.holder.text);
            lease.token = wire.token;
            lease.position = {countValue(wire.era), signedValue(wire.revision)};
            lease.isReleased = (header.flags & kIsReleased) != 0;
            envelope.lease = lease;
            envelope.leaseAge = absl::Milliseconds(wire.ageMs);
        }
        std::vector<WireRequest> requests;
        archiveWithByteCount(reader, requests);
        for (const WireRequest &request : requests)
            envelope.requests.push_back(fromWire(request));
        std::uint8_t rows = 0;
        reader(rows);
        LastNames last;
        for (std::uint8_t i = 0; i < rows; ++i)
            envelope.rows.push_back(readRow(reader, header, last, now));
    } catch (const std::exception &) {
        return Error::MessageMalformed;
    }
    return envelope;
}

} // namespace foxtailtally
