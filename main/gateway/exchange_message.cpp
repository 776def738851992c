#include "main/gateway/exchange_message.h"

#include "core/error.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <limits>

namespace foxtailtally {

namespace {

constexpr std::uint8_t kFormatVersion = 7;
/** Format of bundles that tell deferred streams apart. It is used only where there are any, so that
 * instances without an order of streams understand each other across versions. */
constexpr std::uint8_t kDeferredFormatVersion = 8;
/** Format of reports of the quarantine that have trials. It is used only where there are any, for
 * the same reason. */
constexpr std::uint8_t kTrialFormatVersion = 9;

enum class MessageType : std::uint8_t { Report = 1, Bundle = 2, Quarantine = 3 };

enum HeaderFlags : std::uint8_t { LostStore = 1, KeepsShare = 2 };

enum StreamFlags : std::uint8_t { Decoding = 1, Late = 2, Split = 4, Deferred = 8 };

constexpr std::size_t kConfigIndex = static_cast<std::size_t>(StoreKind::Config);

/** Age on the wire of a state that was never confirmed. */
constexpr std::uint32_t kUnconfirmedAgeMs = std::numeric_limits<std::uint32_t>::max();

/** Memory is sent in units of this many tokens; engines hold several hundred thousand. */
constexpr std::int64_t kTokensPerMemoryUnit = 64;

/** Most risks of each kind that are sent for a server. */
constexpr std::size_t kMaxRisksSent = 4;

/** Offset of the echo in a datagram: after format, type and stamp. */
constexpr std::size_t kEchoOffset = 10;

std::uint16_t saturatedMs(absl::Duration duration)
{
    return saturate<std::uint16_t>(absl::ToDoubleMilliseconds(duration));
}

std::uint32_t saturatedAgeMs(absl::Time moment, absl::Time now)
{
    return saturate<std::uint32_t>(absl::ToDoubleMilliseconds(now - moment));
}

struct WireState
{
    std::uint32_t era = 0;
    std::int64_t revision = StorePosition::kNoRevision;
    std::uint32_t ageMs = kUnconfirmedAgeMs;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->era, this->revision, this->ageMs);
    }
};

struct WireHeader
{
    std::uint8_t format = kFormatVersion;
    std::uint8_t type = 0;
    std::uint64_t stamp = 0;
    std::uint64_t echo = 0;
    std::string instance;
    std::string domain;
    std::uint16_t relayPort = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint8_t flags = 0;
    std::array<WireState, kStoreKinds> states;
    /** Other kinds have no versions. */
    std::int64_t configVersion = 0;
    std::vector<ServerKey> suspects;
    std::uint64_t quarantineDigest = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->format, this->type, this->stamp, this->echo);
        archiveWithByteCount(archive, this->instance);
        archiveWithByteCount(archive, this->domain);
        archive(this->relayPort, this->incarnation, this->sequence, this->flags);
        for (WireState &state : this->states)
            archive(state);
        archive(this->configVersion);
        archiveWithByteCount(archive, this->suspects);
        archive(this->quarantineDigest);
    }
};

/** A stream on the wire; times are sent as ages, since clocks differ between instances. */
struct WireStream
{
    /** The server that decodes, then helpers that hold memory, then helpers that only prefill. */
    std::vector<ServerKey> servers;
    /** Helpers that hold memory. */
    std::uint8_t holders = 0;
    std::uint16_t ageMs = 0;
    std::uint16_t prefillMs = 0;
    std::uint32_t memoryTokens = 0;
    std::uint16_t eventGapObjectiveMs = 0;
    std::uint16_t firstEventDueMs = 0;
    std::uint16_t valueTenths = 0;
    std::uint8_t flags = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archiveWithByteCount(archive, this->servers);
        archive(this->holders, this->ageMs, this->prefillMs, this->memoryTokens,
                this->eventGapObjectiveMs, this->firstEventDueMs, this->valueTenths, this->flags);
    }
};

struct WirePrefillBacklog
{
    std::uint16_t oldestMs = 0;
    std::uint16_t oldestAgeMs = 0;
    std::uint16_t queuedMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->oldestMs, this->oldestAgeMs, this->queuedMs);
    }
};

struct WireRisk
{
    /** Objective of event gaps, or time until the first event is due. */
    std::uint16_t ms = 0;
    std::uint16_t valueTenths = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->ms, this->valueTenths);
    }
};

struct WireEntry
{
    ServerKey server = 0;
    std::uint8_t streams = 0;
    std::uint8_t decodingStreams = 0;
    std::uint8_t shortStreams = 0;
    std::uint8_t arrivals = 0;
    std::uint8_t shortArrivals = 0;
    std::uint16_t memory = 0;
    /** Prefills of split and of whole prompts; each list has one element, or none. */
    std::vector<WirePrefillBacklog> splitPrefills;
    std::vector<WirePrefillBacklog> wholePrefills;
    std::vector<WireRisk> eventGapRisks;
    std::vector<WireRisk> firstEventRisks;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->server, this->streams, this->decodingStreams, this->shortStreams,
                this->arrivals, this->shortArrivals, this->memory);
        archiveWithByteCount(archive, this->splitPrefills);
        archiveWithByteCount(archive, this->wholePrefills);
        archiveWithByteCount(archive, this->eventGapRisks);
        archiveWithByteCount(archive, this->firstEventRisks);
    }
};

/** An entry of a bundle in kDeferredFormatVersion. */
struct WireDeferredEntry
{
    WireEntry entry;
    std::uint8_t deferredStreams = 0;
    std::uint16_t deferredMemory = 0;
    /** One element, or none. */
    std::vector<WirePrefillBacklog> deferredPrefills;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->entry, this->deferredStreams, this->deferredMemory);
        archiveWithByteCount(archive, this->deferredPrefills);
    }
};

struct WireDeath
{
    Fingerprint fingerprint {};
    std::string server;
    std::uint64_t incarnation = 0;
    std::uint32_t ageMs = 0;
    /** Time from CrashReport::causeSince to the death. */
    std::uint16_t commonCauseMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->fingerprint);
        archiveWithByteCount(archive, this->server);
        archive(this->incarnation, this->ageMs, this->commonCauseMs);
    }
};

/** A death in kTrialFormatVersion. */
struct WireTrialDeath : WireDeath
{
    std::uint8_t wasTrial = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        WireDeath::serialize(archive);
        archive(this->wasTrial);
    }
};

struct WireTrial
{
    Fingerprint fingerprint {};
    std::uint32_t ageMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->fingerprint, this->ageMs);
    }
};

struct WireServed
{
    Fingerprint fingerprint {};
    std::uint32_t ageMs = 0;
    std::uint32_t trustedMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->fingerprint, this->ageMs, this->trustedMs);
    }
};

WireHeader toWireHeader(const MessageHeader &header, MessageType type, absl::Time now)
{
    WireHeader wire;
    wire.type = static_cast<std::uint8_t>(type);
    wire.stamp = header.stamp;
    wire.echo = header.echo;
    wire.instance = header.instance.substr(0, kMaxElements);
    wire.domain = header.domain.substr(0, kMaxElements);
    wire.relayPort = header.relayPort;
    wire.incarnation = header.incarnation;
    wire.sequence = header.sequence;
    wire.flags = static_cast<std::uint8_t>((header.hasLostStore ? LostStore : 0)
                                           | (header.lendsShare ? 0 : KeepsShare));
    for (std::size_t i = 0; i < kStoreKinds; ++i) {
        const KindState &state = header.states[i];
        wire.states[i].era = static_cast<std::uint32_t>(state.content.era);
        wire.states[i].revision = state.content.revision;
        if (state.confirmedAt != absl::InfinitePast())
            // Rounded up: a state that is sent as fresher than it is would be trusted for too long.
            wire.states[i].ageMs =
                saturate<std::uint32_t>(absl::ToDoubleMilliseconds(now - state.confirmedAt) + 1.0);
    }
    wire.configVersion = header.states[kConfigIndex].version;
    const std::size_t suspects = std::min(header.suspects.size(), kMaxElements);
    wire.suspects.assign(header.suspects.begin(),
                         header.suspects.begin() + static_cast<std::ptrdiff_t>(suspects));
    wire.quarantineDigest = header.quarantineDigest;
    return wire;
}

MessageHeader fromWireHeader(WireHeader &wire, absl::Time now)
{
    MessageHeader header;
    header.instance = std::move(wire.instance);
    header.domain = std::move(wire.domain);
    header.relayPort = wire.relayPort;
    header.incarnation = wire.incarnation;
    header.sequence = wire.sequence;
    header.stamp = wire.stamp;
    header.echo = wire.echo;
    header.hasLostStore = (wire.flags & LostStore) != 0;
    header.lendsShare = (wire.flags & KeepsShare) == 0;
    for (std::size_t i = 0; i < kStoreKinds; ++i) {
        const WireState &state = wire.states[i];
        header.states[i].content = {state.era, state.revision};
        if (state.ageMs != kUnconfirmedAgeMs)
            header.states[i].confirmedAt = now - absl::Milliseconds(state.ageMs);
    }
    header.states[kConfigIndex].version = wire.configVersion;
    header.suspects = std::move(wire.suspects);
    header.quarantineDigest = wire.quarantineDigest;
    return header;
}

/** @p parts: all parts of one stream. */
WireStream toWireStream(std::span<const StreamPart> parts, absl::Time now)
{
    const StreamPart &first = parts.front();
    WireStream wire;
    std::vector<ServerKey> readers;
    for (const StreamPart &part : parts) {
        const bool isReader = part.isHelper && part.memoryTokens == 0;
        (isReader ? readers : wire.servers).push_back(part.server);
    }
    wire.holders = static_cast<std::uint8_t>(wire.servers.size() - 1);
    wire.servers.insert(wire.servers.end(), readers.begin(), readers.end());
    wire.ageMs = saturatedMs(now - first.placedAt);
    wire.prefillMs = saturate<std::uint16_t>(first.prefillMs + 0.5);
    wire.memoryTokens = first.memoryTokens;
    wire.eventGapObjectiveMs = first.eventGapObjectiveMs;
    wire.firstEventDueMs = first.firstEventDueMs;
    wire.valueTenths = saturate<std::uint16_t>(first.value * 10.0 + 0.5);
    wire.flags = static_cast<std::uint8_t>((first.isDecoding ? Decoding : 0)
                                           | (first.isLate ? Late : 0) | (first.isSplit ? Split : 0)
                                           | (first.isDeferred ? Deferred : 0));
    return wire;
}

void appendParts(const WireStream &wire, std::uint32_t stream, absl::Time now,
                 std::vector<StreamPart> &parts)
{
    StreamPart part;
    part.stream = stream;
    part.placedAt = now - absl::Milliseconds(wire.ageMs);
    part.prefillMs = wire.prefillMs;
    part.eventGapObjectiveMs = wire.eventGapObjectiveMs;
    part.firstEventDueMs = wire.firstEventDueMs;
    part.value = static_cast<float>(wire.valueTenths) / 10.0F;
    part.isDecoding = (wire.flags & Decoding) != 0;
    part.isLate = (wire.flags & Late) != 0;
    part.isSplit = (wire.flags & Split) != 0;
    part.isDeferred = (wire.flags & Deferred) != 0;
    for (std::size_t i = 0; i < wire.servers.size(); ++i) {
        part.server = wire.servers[i];
        part.isHelper = i > 0;
        part.memoryTokens = i <= wire.holders ? wire.memoryTokens : 0;
        parts.push_back(part);
    }
}

std::vector<WirePrefillBacklog> toWirePrefillBacklog(const PrefillBacklog &backlog, absl::Time now)
{
    if (backlog.isEmpty())
        return {};
    return {{saturate<std::uint16_t>(backlog.oldestMs + 0.5),
             saturatedMs(now - backlog.oldestSince),
             saturate<std::uint16_t>(backlog.queuedMs + 0.5)}};
}

PrefillBacklog fromWirePrefillBacklog(const std::vector<WirePrefillBacklog> &wire, absl::Time now)
{
    PrefillBacklog backlog;
    if (wire.empty())
        return backlog;
    backlog.add(wire.front().oldestMs, now - absl::Milliseconds(wire.front().oldestAgeMs));
    backlog.queuedMs += wire.front().queuedMs;
    return backlog;
}

std::uint16_t toMemoryUnits(std::int64_t tokens)
{
    const std::int64_t units = (tokens + kTokensPerMemoryUnit - 1) / kTokensPerMemoryUnit;
    return saturate<std::uint16_t>(static_cast<double>(units));
}

WireEntry toWireEntry(const ServerLoadEntry &entry, absl::Time now)
{
    const ServerLoad &load = entry.load;
    WireEntry wire;
    wire.server = entry.server;
    wire.streams = saturate<std::uint8_t>(static_cast<double>(load.streams));
    wire.decodingStreams = saturate<std::uint8_t>(static_cast<double>(load.decodingStreams));
    wire.shortStreams = saturate<std::uint8_t>(static_cast<double>(load.shortStreams));
    wire.arrivals = saturate<std::uint8_t>(static_cast<double>(load.arrivals));
    wire.shortArrivals = saturate<std::uint8_t>(static_cast<double>(load.shortArrivals));
    wire.memory = toMemoryUnits(load.memoryTokens);
    wire.splitPrefills = toWirePrefillBacklog(load.splitPrefills, now);
    wire.wholePrefills = toWirePrefillBacklog(load.wholePrefills, now);
    for (const EventGapRisk &stake : load.eventGapRisks) {
        if (wire.eventGapRisks.size() < kMaxRisksSent)
            wire.eventGapRisks.push_back({saturate<std::uint16_t>(stake.objectiveMs),
                                          saturate<std::uint16_t>(stake.value * 10.0 + 0.5)});
    }
    for (const FirstEventRisk &stake : load.firstEventRisks) {
        if (wire.firstEventRisks.size() < kMaxRisksSent && stake.dueAt > now)
            wire.firstEventRisks.push_back({saturatedMs(stake.dueAt - now),
                                            saturate<std::uint16_t>(stake.value * 10.0 + 0.5)});
    }
    return wire;
}

ServerLoadEntry fromWireEntry(const WireEntry &wire, absl::Time now)
{
    ServerLoadEntry entry;
    entry.server = wire.server;
    ServerLoad &load = entry.load;
    load.streams = wire.streams;
    load.decodingStreams = wire.decodingStreams;
    load.shortStreams = wire.shortStreams;
    load.arrivals = wire.arrivals;
    load.shortArrivals = wire.shortArrivals;
    load.memoryTokens = wire.memory * kTokensPerMemoryUnit;
    load.splitPrefills = fromWirePrefillBacklog(wire.splitPrefills, now);
    load.wholePrefills = fromWirePrefillBacklog(wire.wholePrefills, now);
    for (const WireRisk &stake : wire.eventGapRisks)
        load.eventGapRisks.push_back({stake.ms, static_cast<float>(stake.valueTenths) / 10.0F});
    for (const WireRisk &stake : wire.firstEventRisks)
        load.firstEventRisks.push_back(
            {now + absl::Milliseconds(stake.ms), static_cast<float>(stake.valueTenths) / 10.0F});
    return entry;
}

WireDeferredEntry toWireDeferredEntry(const ServerLoadEntry &entry, absl::Time now)
{
    WireDeferredEntry wire;
    wire.entry = toWireEntry(entry, now);
    wire.deferredStreams = saturate<std::uint8_t>(static_cast<double>(entry.load.deferredStreams));
    wire.deferredMemory = toMemoryUnits(entry.load.deferredMemoryTokens);
    wire.deferredPrefills = toWirePrefillBacklog(entry.load.deferredPrefills, now);
    return wire;
}

ServerLoadEntry fromWireEntry(const WireDeferredEntry &wire, absl::Time now)
{
    ServerLoadEntry entry = fromWireEntry(wire.entry, now);
    entry.load.deferredStreams = wire.deferredStreams;
    entry.load.deferredMemoryTokens = wire.deferredMemory * kTokensPerMemoryUnit;
    entry.load.deferredPrefills = fromWirePrefillBacklog(wire.deferredPrefills, now);
    return entry;
}

bool hasDeferred(std::span<const ServerLoadEntry> entries)
{
    return std::any_of(entries.begin(), entries.end(),
                       [](const ServerLoadEntry &entry) { return entry.load.deferredStreams > 0; });
}

/** Decodes a list of entries whose binary form is that of @p Wire. */
template <typename Wire>
std::vector<ServerLoadEntry> decodeEntries(BoundedReader &reader, absl::Time now)
{
    std::vector<Wire> wires;
    archiveWithByteCount(reader, wires);
    std::vector<ServerLoadEntry> entries;
    entries.reserve(wires.size());
    for (const Wire &wire : wires)
        entries.push_back(fromWireEntry(wire, now));
    return entries;
}

WireTrialDeath toWireDeath(const CrashReport &report, absl::Time now)
{
    WireTrialDeath wire;
    wire.fingerprint = report.fingerprint;
    wire.server = report.server.str().substr(0, kMaxElements);
    wire.incarnation = report.incarnation;
    wire.ageMs = saturatedAgeMs(report.diedAt, now);
    wire.commonCauseMs = saturatedMs(report.diedAt - report.causeSince);
    wire.wasTrial = report.wasTrial ? 1 : 0;
    return wire;
}

CrashReport fromWireDeath(const WireDeath &wire, bool wasTrial, absl::Time now)
{
    CrashReport report;
    report.fingerprint = wire.fingerprint;
    report.server = BackendServerId(wire.server);
    report.incarnation = wire.incarnation;
    report.diedAt = now - absl::Milliseconds(wire.ageMs);
    report.causeSince = report.diedAt - absl::Milliseconds(wire.commonCauseMs);
    report.wasTrial = wasTrial;
    return report;
}

std::string encodedDeath(const CrashReport &report, bool isTrialFormat, absl::Time now)
{
    const WireTrialDeath wire = toWireDeath(report, now);
    return isTrialFormat ? encoded(wire) : encoded(static_cast<const WireDeath &>(wire));
}

void decodeDeaths(BoundedReader &reader, bool isTrialFormat, absl::Time now,
                  std::vector<CrashReport> &deaths)
{
    if (isTrialFormat) {
        std::vector<WireTrialDeath> wires;
        archiveWithByteCount(reader, wires);
        for (const WireTrialDeath &wire : wires)
            deaths.push_back(fromWireDeath(wire, wire.wasTrial != 0, now));
        return;
    }
    std::vector<WireDeath> wires;
    archiveWithByteCount(reader, wires);
    for (const WireDeath &wire : wires)
        deaths.push_back(fromWireDeath(wire, false, now));
}

} // namespace

std::string encodeReport(const ReportMessage &message, absl::Time now)
{
    std::string bytes = encoded(toWireHeader(message.header, MessageType::Report, now));
    BoundedListWriter streams;
    const std::span<const StreamPart> parts = message.parts;
    for (std::size_t begin = 0; begin < parts.size();) {
        std::size_t end = begin + 1;
        while (end < parts.size() && parts[end].stream == parts[begin].stream)
            ++end;
        if (end - begin <= kMaxElements)
            streams.add(encoded(toWireStream(parts.subspan(begin, end - begin), now)),
                        kMaxDatagram - std::min(kMaxDatagram, bytes.size() + streams.size()));
        begin = end;
    }
    return bytes + streams.text();
}

std::vector<std::string> encodeBundle(const BundleMessage &message, absl::Time now)
{
    std::vector<std::string> datagrams;
    WireHeader header = toWireHeader(message.header, MessageType::Bundle, now);
    const bool isDeferredFormat =
        hasDeferred(message.ownDomain) || hasDeferred(message.otherDomains);
    if (isDeferredFormat)
        header.format = kDeferredFormatVersion;
    const auto encodedEntry = [isDeferredFormat, now](const ServerLoadEntry &entry) {
        return isDeferredFormat ? encoded(toWireDeferredEntry(entry, now))
                                : encoded(toWireEntry(entry, now));
    };
    std::size_t nextOwn = 0;
    std::size_t nextOtherDomains = 0;
    do {
        std::string bytes = encoded(header);
        bytes += encoded(message.instances);
        BoundedListWriter own;
        BoundedListWriter otherDomains;
        const auto remainingBytes = [&] {
            return kMaxDatagram
                - std::min(kMaxDatagram, bytes.size() + own.size() + otherDomains.size());
        };
        const std::size_t begin = nextOwn + nextOtherDomains;
        while (nextOwn < message.ownDomain.size()
               && own.add(encodedEntry(message.ownDomain[nextOwn]), remainingBytes()))
            ++nextOwn;
        while (nextOtherDomains < message.otherDomains.size()
               && otherDomains.add(encodedEntry(message.otherDomains[nextOtherDomains]),
                                   remainingBytes()))
            ++nextOtherDomains;
        datagrams.push_back(bytes + own.text() + otherDomains.text());
        // A header that leaves no room for an entry would repeat forever.
        if (nextOwn + nextOtherDomains == begin)
            break;
        ++header.sequence;
        header.suspects.clear();
    } while (nextOwn < message.ownDomain.size() || nextOtherDomains < message.otherDomains.size());
    return datagrams;
}

std::vector<std::string> encodeQuarantine(const QuarantineMessage &message, absl::Time now)
{
    const bool hasTrials = !message.trials.empty()
        || std::any_of(message.deaths.begin(), message.deaths.end(),
                       [](const CrashReport &report) { return report.wasTrial; });
    WireHeader header = toWireHeader(message.header, MessageType::Quarantine, now);
    header.suspects.clear();
    if (hasTrials)
        header.format = kTrialFormatVersion;
    std::vector<std::string> datagrams;
    std::size_t nextDeath = 0;
    std::size_t nextServed = 0;
    std::size_t nextTrial = 0;
    while (nextDeath < message.deaths.size() || nextServed < message.served.size()
           || nextTrial < message.trials.size()) {
        const std::string bytes = encoded(header);
        BoundedListWriter deaths;
        BoundedListWriter served;
        BoundedListWriter trials;
        const auto remainingBytes = [&] {
            return kMaxDatagram
                - std::min(kMaxDatagram,
                           bytes.size() + deaths.size() + served.size() + trials.size());
        };
        const std::size_t begin = nextDeath + nextServed + nextTrial;
        while (nextDeath < message.deaths.size()
               && deaths.add(encodedDeath(message.deaths[nextDeath], hasTrials, now),
                             remainingBytes()))
            ++nextDeath;
        for (; nextServed < message.served.size(); ++nextServed) {
            const ServedReport &report = message.served[nextServed];
            const WireServed wire = {
                report.fingerprint, saturatedAgeMs(report.servedAt, now),
                saturate<std::uint32_t>(absl::ToDoubleMilliseconds(report.trustedFor))};
            if (!served.add(encoded(wire), remainingBytes()))
                break;
        }
        for (; nextTrial < message.trials.size(); ++nextTrial) {
            const TrialReport &report = message.trials[nextTrial];
            const WireTrial wire = {report.fingerprint, saturatedAgeMs(report.startedAt, now)};
            if (!trials.add(encoded(wire), remainingBytes()))
                break;
        }
        // A header that leaves no room for an entry would repeat forever.
        if (nextDeath + nextServed + nextTrial == begin)
            break;
        datagrams.push_back(bytes + deaths.text() + served.text()
                            + (hasTrials ? trials.text() : std::string()));
        ++header.sequence;
    }
    return datagrams;
}

void setEcho(std::string &datagram, std::uint64_t echo)
{
    std::memcpy(datagram.data() + kEchoOffset, &echo, sizeof echo);
}

std::error_code decodeMessage(std::span<const char> bytes, absl::Time now, MessageSink &sink)
{
    WireHeader header;
    ReportMessage report;
    BundleMessage bundle;
    QuarantineMessage quarantine;
    try {
        BoundedReader reader(bytes);
        reader(header);
        const bool isDeferredFormat = header.format == kDeferredFormatVersion
            && header.type == static_cast<std::uint8_t>(MessageType::Bundle);
        const bool isTrialFormat = header.format == kTrialFormatVersion
            && header.type == static_cast<std::uint8_t>(MessageType::Quarantine);
        if (header.format != kFormatVersion && !isDeferredFormat && !isTrialFormat)
            return Error::MessageVersionUnknown;
        if (header.type == static_cast<std::uint8_t>(MessageType::Report)) {
            std::vector<WireStream> streams;
            archiveWithByteCount(reader, streams);
            std::uint32_t stream = 0;
            for (const WireStream &wire : streams)
                appendParts(wire, ++stream, now, report.parts);
        } else if (header.type == static_cast<std::uint8_t>(MessageType::Bundle)) {
            reader(bundle.instances);
            const auto decode =
                isDeferredFormat ? decodeEntries<WireDeferredEntry> : decodeEntries<WireEntry>;
            bundle.ownDomain = decode(reader, now);
            bundle.otherDomains = decode(reader, now);
        } else if (header.type == static_cast<std::uint8_t>(MessageType::Quarantine)) {
            decodeDeaths(reader, isTrialFormat, now, quarantine.deaths);
            std::vector<WireServed> served;
            archiveWithByteCount(reader, served);
            for (const WireServed &wire : served)
                quarantine.served.push_back({wire.fingerprint, now - absl::Milliseconds(wire.ageMs),
                                             absl::Milliseconds(wire.trustedMs)});
            std::vector<WireTrial> trials;
            if (isTrialFormat)
                archiveWithByteCount(reader, trials);
            for (const WireTrial &wire : trials)
                quarantine.trials.push_back(
                    {wire.fingerprint, now - absl::Milliseconds(wire.ageMs)});
        } else {
            return Error::MessageTagInvalid;
        }
    } catch (const std::exception &) {
        return Error::MessageMalformed;
    }
    if (header.type == static_cast<std::uint8_t>(MessageType::Report)) {
        report.header = fromWireHeader(header, now);
        sink.onReport(report);
    } else if (header.type == static_cast<std::uint8_t>(MessageType::Quarantine)) {
        quarantine.header = fromWireHeader(header, now);
        sink.onQuarantine(quarantine);
    } else {
        bundle.header = fromWireHeader(header, now);
        sink.onBundle(bundle);
    }
    return {};
}

} // namespace foxtailtally
