#pragma once

#include "core/reservation.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <vector>

/**
 * Messages that instances exchange over TCP. Times are sent as durations, since instances
 * do not compare their clocks.
 */
namespace foxtailtally {

/** Kind of a message on the wire. */
enum class MessageKind : std::uint8_t {
    Gossip = 1,
    LoanRequest = 2,
    LoanOffer = 3,
    QuotaRequest = 4,
    QuotaGrant = 5,
    ReserveRequest = 10,
    ReserveReply = 11,
    ReserveCancel = 12,
    PermitRelease = 13,
    PermitReport = 14,
    DocumentPull = 20,
    DocumentBody = 21,
    InstanceListPull = 40,
    InstanceListBody = 41,
};

/** Asks the owner of a group for a permit. */
struct ReserveRequestMessage
{
    GroupId group;
    RequestProfile profile;
    /** Time left until the deadline when the message was sent. */
    absl::Duration remaining;
};

struct ReserveReplyMessage
{
    bool granted = false;
    Grant grant;
    /** Address and id of each server of the grant, in the same order. */
    std::vector<std::string> addresses;
    std::vector<Incarnation> incarnations;
    Refusal refusal;
};

/** Cancels a waiting reservation whose caller has disconnected. */
struct ReserveCancelMessage
{
    GroupId group;
    RequestId request;
};

struct PermitReleaseMessage
{
    GroupId group;
    PermitRelease release;
};

/** Permits of one owner that the sender still uses. */
struct PermitReportMessage
{
    struct Held
    {
        PermitId permit = 0;
        std::vector<BackendServerId> servers;
        std::int64_t tokens = 0;
        bool isLong = false;
        bool isSuspect = false;
        Fingerprint fingerprint {};
        absl::Duration remaining;
    };

    GroupId group;
    std::vector<Held> permits;
};

/** Requests a document after gossip has shown a higher number. */
struct DocumentPullMessage
{
    std::uint8_t kind = 0;
    /** Number that the sender holds. */
    std::uint64_t held = 0;
    bool wantsBody = false;
};

struct DocumentBodyMessage
{
    std::uint8_t kind = 0;
    /** Number that the replying instance holds. */
    std::uint64_t number = 0;
    bool isSettled = false;
    /** Empty when the body was not requested or is not newer. */
    std::string body;
};

/**
 * Requests the platform's instance list from an instance that reads it from the platform. The reply
 * has no body while the list's digest is still @ref digest.
 */
struct InstanceListPullMessage
{
    std::uint64_t digest = 0;
};

struct InstanceListBodyMessage
{
    std::uint64_t digest = 0;
    /** JSON as the platform sends it; empty when the digest is unchanged. */
    std::string body;
};

template <typename Archive>
void serialize(Archive &archive, RequestProfile &profile)
{
    archive(profile.id, profile.customer, profile.model, profile.adapter, profile.requestClass,
            profile.promptTokens, profile.maxNewTokens, profile.prefixBlocks, profile.fingerprint,
            profile.deathsSeen);
}

template <typename Archive>
void serialize(Archive &archive, Refusal &refusal)
{
    archive(refusal.reason, refusal.notRun, refusal.retryAfter);
}

template <typename Archive>
void serialize(Archive &archive, Grant &grant)
{
    archive(grant.request, grant.permit, grant.servers, grant.startBy);
}

template <typename Archive>
void serialize(Archive &archive, PermitRelease &release)
{
    archive(release.permit, release.outcome, release.timeToFirstToken, release.newTokens);
}

template <typename Archive>
void serialize(Archive &archive, GroupSummary &summary)
{
    archive(summary.group, summary.domain, summary.model, summary.owner, summary.ownerIncarnation,
            summary.sequence, summary.startDelay, summary.freeTokens, summary.capacityTokens,
            summary.outstandingTokens, summary.running, summary.queued, summary.servers,
            summary.prefillRate, summary.accepting);
}

template <typename Archive>
void serialize(Archive &archive, ReserveRequestMessage &message)
{
    archive(message.group, message.profile, message.remaining);
}

template <typename Archive>
void serialize(Archive &archive, ReserveReplyMessage &message)
{
    archive(message.granted, message.grant, message.addresses, message.incarnations,
            message.refusal);
}

template <typename Archive>
void serialize(Archive &archive, ReserveCancelMessage &message)
{
    archive(message.group, message.request);
}

template <typename Archive>
void serialize(Archive &archive, PermitReleaseMessage &message)
{
    archive(message.group, message.release);
}

template <typename Archive>
void serialize(Archive &archive, PermitReportMessage::Held &held)
{
    archive(held.permit, held.servers, held.tokens, held.isLong, held.isSuspect, held.fingerprint,
            held.remaining);
}

template <typename Archive>
void serialize(Archive &archive, PermitReportMessage &message)
{
    archive(message.group, message.permits);
}

template <typename Archive>
void serialize(Archive &archive, DocumentPullMessage &message)
{
    archive(message.kind, message.held, message.wantsBody);
}

template <typename Archive>
void serialize(Archive &archive, DocumentBodyMessage &message)
{
    archive(message.kind, message.number, message.isSettled, message.body);
}

template <typename Archive>
void serialize(Archive &archive, InstanceListPullMessage &message)
{
    archive(message.digest);
}

template <typename Archive>
void serialize(Archive &archive, InstanceListBodyMessage &message)
{
    archive(message.digest, message.body);
}

} // namespace foxtailtally
