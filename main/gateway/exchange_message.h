#pragma once

#include "core/result.h"
#include "servers/catalog/store_source.h"
#include "servers/placement/load_table.h"
#include "servers/placement/stream_part.h"
#include "servers/quarantine/quarantine.h"

#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace foxtailtally {

/** Largest datagram between instances, in bytes; larger ones are split on the way. */
inline constexpr std::size_t kMaxDatagram = 1400;

/** What every datagram between instances says of its sender. */
struct MessageHeader
{
    std::string instance;
    std::string domain;
    /** Port where the sender tells what it knows of the store. */
    std::uint16_t relayPort = 0;
    /** Differs between the lives of an instance. */
    std::uint64_t incarnation = 0;
    /** Rises with each datagram of a life. */
    std::uint64_t sequence = 0;
    /**
     * Number by which the sender recognises the moment of sending; the receiver sends it back in
     * its next datagram. What a datagram says is at most as old as the number that it sends back,
     * however long it was on its way or waited for a paused receiver.
     */
    std::uint64_t stamp = 0;
    /** The receiver's own stamp that came last; zero before the first. */
    std::uint64_t echo = 0;
    bool hasLostStore = false;
    /** Ages are sent; confirmedAt is InfinitePast where it is unknown. */
    KindStates states;
    std::vector<ServerKey> suspects;
    /** Of the sender's quarantine; one that differs from the receiver's leads to an exchange. */
    std::uint64_t quarantineDigest = 0;
};

/** What an instance reports to the one that it follows. */
struct ReportMessage
{
    MessageHeader header;
    /** The parts of a stream follow each other, the one that writes first. */
    std::vector<StreamPart> parts;
};

/** What an instance tells those that follow it. */
struct BundleMessage
{
    MessageHeader header;
    /** Instances in the sender's domain, or in all as told within the domain. */
    std::uint16_t instances = 0;
    /** Sums over the streams of the sender's domain. */
    std::vector<TableEntry> ownDomain;
    /** Sums over the streams of all other domains; told within a domain only. */
    std::vector<TableEntry> otherDomains;
};

/** What an instance tells of calls that crash servers. Times are sent as ages. */
struct QuarantineMessage
{
    MessageHeader header;
    std::vector<SuspectReport> deaths;
    std::vector<ServedReport> served;
};

/** Receives what a datagram holds. */
class MessageSink
{
public:
    virtual ~MessageSink() = default;
    virtual void onReport(ReportMessage &message) = 0;
    virtual void onBundle(BundleMessage &message) = 0;
    virtual void onQuarantine(QuarantineMessage &message) = 0;
};

/**
 * Datagram of at most kMaxDatagram bytes; streams that find no room in it are left out. What the
 * parts of a stream have in common is written once, since a long prompt has up to 17 of them.
 */
std::string encodeReport(const ReportMessage &message, absl::Time now);

/** Datagrams of at most kMaxDatagram bytes each that carry all entries, numbered from the head's
 * sequence on; at least one. */
std::vector<std::string> encodeBundle(const BundleMessage &message, absl::Time now);

/** The same for what is known of calls that crash servers. */
std::vector<std::string> encodeQuarantine(const QuarantineMessage &message, absl::Time now);

/** Replaces the echo in an encoded datagram, the one thing that differs between receivers. */
void setEcho(std::string &datagram, std::uint64_t echo);

/** Gives the datagram's content to @p sink. A confirmedAt is the sender's age before @p now. */
std::error_code decodeMessage(std::span<const char> bytes, absl::Time now, MessageSink &sink);

} // namespace foxtailtally
