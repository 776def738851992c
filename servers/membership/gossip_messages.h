#pragma once

#include "core/ids.h"
#include "core/request.h"
#include "core/reservation.h"
#include "servers/membership/peer_state.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace foxtailtally {

/** Largest packed gossip message in bytes; fits one datagram on every usual network. */
constexpr std::size_t kMaxGossipBytes = 1200;
/** Largest content of a crash report in bytes. */
constexpr std::size_t kMaxCrashReportBytes = 64;

/** State of one instance as another one knows it. */
struct MemberUpdate
{
    InstanceId instance;
    FailureDomainId domain;
    /** "ip:port" for messages between instances. */
    std::string address;
    Incarnation incarnation = 0;
    /** Raised by the instance itself to refute a suspicion or to announce its leaving. */
    std::uint32_t refutation = 0;
    PeerState state = PeerState::Alive;
    /** Roster version below which the instance holds and lends no shares. */
    std::uint64_t settledRoster = 0;

    bool operator==(const MemberUpdate &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->instance, this->domain, this->address, this->incarnation, this->refutation,
                this->state, this->settledRoster);
    }
};

/** Kinds of numbered documents. Values are part of the wire format. */
enum class GossipDocument : std::uint8_t {
    ReleaseNote = 0,
    OutOfService = 1,
    /** Roster of the sender's domain. */
    Roster = 2,
};

constexpr std::size_t kGossipDocumentCount = 3;

/** Highest number of each kind of document in force at the sender. */
struct GossipDocumentNumbers
{
    std::array<std::uint64_t, kGossipDocumentCount> numbers {};

    std::uint64_t &operator[](GossipDocument kind)
    {
        return this->numbers[static_cast<std::size_t>(kind)];
    }
    std::uint64_t operator[](GossipDocument kind) const
    {
        return this->numbers[static_cast<std::size_t>(kind)];
    }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        for (std::uint64_t &number : this->numbers)
            archive(number);
    }
};

/** A group summary and its age when the message is sent. */
struct SummaryEntry
{
    GroupSummary summary;
    std::uint32_t ageMs = 0;
};

/** Report of a server death under a call; only SuspectTracker interprets its content. */
struct CrashReportEntry
{
    Fingerprint key {};
    std::string content;
    std::uint32_t remainingMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        for (std::uint8_t &byte : this->key)
            archive(byte);
        archive(this->content, this->remainingMs);
    }
};

/** Membership updates, group summaries and crash reports that the sender spreads. */
struct GossipMessage
{
    MemberUpdate sender;
    GossipDocumentNumbers documents;
    /** The receiver answers with a gossip message. */
    bool isReplyWanted = false;
    std::vector<MemberUpdate> members;
    std::vector<SummaryEntry> summaries;
    std::vector<CrashReportEntry> crashReports;
};

/** Asks the receiver, or through it another instance, for a ProbeAck. */
struct Probe
{
    MemberUpdate sender;
    GossipDocumentNumbers documents;
    std::uint64_t number = 0;
    /** Empty: the receiver itself. Otherwise the receiver probes this instance for the sender. */
    InstanceId target;
    /**
     * The sender's entry for the receiver when that is suspect or dead, so that it can refute this.
     */
    std::vector<MemberUpdate> suspicions;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->sender, this->documents, this->number, this->target, this->suspicions);
    }
};

/** Answer to a Probe; relayed when the probe was indirect. */
struct ProbeAck
{
    MemberUpdate sender;
    GossipDocumentNumbers documents;
    std::uint64_t number = 0;
    /** The instance that answered; differs from the sender when relayed. */
    MemberUpdate responder;
    std::vector<MemberUpdate> suspicions;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->sender, this->documents, this->number, this->responder, this->suspicions);
    }
};

using MembershipMessage = std::variant<GossipMessage, Probe, ProbeAck>;

/**
 * Upper estimates of packed sizes in bytes, for fixed-width numbers and 4-byte lengths. The
 * envelope (format version and authentication tag) is counted with each message.
 */
std::size_t packedSize(const MemberUpdate &update);
std::size_t packedSize(const SummaryEntry &entry);
std::size_t packedSize(const CrashReportEntry &entry);
std::size_t packedSize(const MembershipMessage &message);

} // namespace foxtailtally
