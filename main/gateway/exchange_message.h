#pragma once

#include "core/result.h"
#include "peers/instance/wire_list.h"
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

/** Header of every datagram between instances; describes the sender. */
struct MessageHeader
{
    std::string instance;
    std::string domain;
    /** Port of the sender's StoreRelay. */
    std::uint16_t relayPort = 0;
    /** Differs between restarts of an instance. */
    std::uint64_t incarnation = 0;
    /** Increases with each datagram of an incarnation. */
    std::uint64_t sequence = 0;
    /**
     * Encodes the send time in a form that only the sender can read; the receiver echoes it in its
     * next datagram. The content of a datagram is at most as old as the stamp that it echoes,
     * however long it was in transit or waited for a paused receiver.
     */
    std::uint64_t stamp = 0;
    /** Last stamp that the sender got from the receiver; zero before the first. */
    std::uint64_t echo = 0;
    bool hasLostStore = false;
    /** The receiver may use the sender's share of rate limits until it no longer gets echoes. */
    bool lendsShare = false;
    /** Times are sent as ages; confirmedAt is InfinitePast where it is unknown. */
    KindStates states;
    std::vector<ServerKey> suspects;
    /** Digest of the sender's quarantine. A receiver with another digest sends its full one. */
    std::uint64_t quarantineDigest = 0;
};

/** Message from an instance to an aggregator that it follows. */
struct ReportMessage
{
    MessageHeader header;
    /** Parts of a stream are contiguous, the one that decodes first. */
    std::vector<StreamPart> parts;
};

/** Message from an aggregator to the instances that follow it. */
struct BundleMessage
{
    MessageHeader header;
    /** Instances in the sender's domain; within the domain, instances in all domains. */
    std::uint16_t instances = 0;
    /** Load sums over the streams of the sender's domain. */
    std::vector<ServerLoadEntry> ownDomain;
    /** Load sums over the streams of all other domains; sent within a domain only. */
    std::vector<ServerLoadEntry> otherDomains;
};

/** Reports of calls that crashed servers, of calls that were served, and of trials. Times are sent
 * as ages. */
struct QuarantineMessage
{
    MessageHeader header;
    std::vector<CrashReport> deaths;
    std::vector<ServedReport> served;
    std::vector<TrialReport> trials;
};

/** Receives the decoded content of a datagram. */
class MessageSink
{
public:
    virtual ~MessageSink() = default;
    virtual void onReport(ReportMessage &message) = 0;
    virtual void onBundle(BundleMessage &message) = 0;
    virtual void onQuarantine(QuarantineMessage &message) = 0;
};

/**
 * Datagram of at most kMaxDatagram bytes; streams that do not fit are left out. What the parts of a
 * stream have in common is written once, since a long prompt has up to 17 parts.
 */
std::string encodeReport(const ReportMessage &message, absl::Time now);

/** Datagrams of at most kMaxDatagram bytes each that carry all entries, numbered from the header's
 * sequence on; at least one. */
std::vector<std::string> encodeBundle(const BundleMessage &message, absl::Time now);

/** The same for the reports of @p message; none if there are no reports. */
std::vector<std::string> encodeQuarantine(const QuarantineMessage &message, absl::Time now);

/** Replaces the echo in an encoded datagram, the only field that differs between receivers. */
void setEcho(std::string &datagram, std::uint64_t echo);

/** Decodes a datagram and passes its content to @p sink. Ages become times before @p now. */
std::error_code decodeMessage(std::span<const char> bytes, absl::Time now, MessageSink &sink);

} // namespace foxtailtally
