#pragma once

#include "core/random.h"
#include "servers/configuration/document_store.h"
#include "servers/configuration/spread_settings.h"
#include "servers/configuration/startup_gate.h"

#include <absl/container/btree_map.h>
#include <absl/types/span.h>
#include <optional>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace foxtailtally {

/** State of an instance's documents as carried by gossip. */
struct DocumentGossip
{
    DocumentNumbers held {};
    /** False when the sender's last calls to the platform failed. */
    bool reachesPlatform = false;
    /** False while the sender's startup gate is closed. */
    bool isSettled = false;
};

/** Waits on the platform for a version above @ref version for @ref timeout, which may be zero. */
struct WatchDocument
{
    std::uint64_t token = 0;
    DocumentKind kind = DocumentKind::ReleaseNote;
    std::string key;
    std::uint64_t version = 0;
    absl::Duration timeout;
};

/** Asks an instance of the domain which document it holds. */
struct PullDocument
{
    std::uint64_t token = 0;
    InstanceId to;
    DocumentKind kind = DocumentKind::ReleaseNote;
    /** Number that the sender holds. */
    std::uint64_t held = 0;
    /** The answer must carry the body when its number is above @ref held. */
    bool wantsBody = false;
};

using SpreadAction = std::variant<WatchDocument, PullDocument>;

struct WatchReply
{
    enum class Outcome { Changed, Unchanged, NotFound, Failed };

    std::uint64_t token = 0;
    Outcome outcome = Outcome::Failed;
    std::uint64_t version = 0;
    std::string body;
};

/** Answer to PullDocument. */
struct DocumentAnswer
{
    DocumentKind kind = DocumentKind::ReleaseNote;
    std::uint64_t number = 0;
    bool isSettled = false;
    std::optional<Document> document;
};

/** A document that was not accepted, for logs and metrics. */
struct RejectedDocument
{
    DocumentKind kind = DocumentKind::ReleaseNote;
    /** 0 when the body could not be read. */
    std::uint64_t number = 0;
    /** DocumentInvalid, or DocumentConflict for a second body with a held number. */
    std::error_code error;
};

/**
 * Decides how one instance obtains documents and when it puts them in force.
 *
 * The two lowest-ranked live instances of a domain that reach the platform watch its objects; all
 * others pull from a peer whose gossip shows a higher number. A document is put in force only after
 * another seed peer has confirmed that it holds it too, in answer to a request sent after the
 * document arrived. Otherwise an instance that alone knew the newest number would return to an
 * older one if it restarted and could not reach the platform. The confirmation is not needed when
 * the platform lists no other instance of the domain.
 */
class SpreadPlan
{
public:
    /** @p store must outlive the plan. */
    SpreadPlan(SpreadSettings settings, DocumentStore &store);

    /** Live instances of the domain as membership sees them, with or without this one. */
    void setLive(absl::Span<const InstanceId> live);
    /** The platform's list of the domain's instances, requested at @p requestedAt. */
    void onInstanceList(absl::Span<const InstanceId> listed, absl::Time requestedAt);
    void onGossip(const InstanceId &from, const DocumentGossip &gossip);
    void onWatchReply(const WatchReply &reply, absl::Time now);
    void onPullAnswer(std::uint64_t token, const DocumentAnswer &answer, absl::Time now);
    void onPullFailed(std::uint64_t token, absl::Time now);
    /** Answers a PullDocument of @p from, which holds number @p heldByPeer. */
    DocumentAnswer answerPull(const InstanceId &from, DocumentKind kind, std::uint64_t heldByPeer,
                              bool wantsBody);

    std::vector<SpreadAction> onTick(absl::Time now, Random &random);

    /** Documents rejected since the last call. */
    std::vector<RejectedDocument> takeRejectedDocuments();

    DocumentGossip gossip() const;
    /** The startup gate has opened, and every document it required is in force. */
    bool isReady() const;
    bool isSettled() const { return this->settled; }
    /** Whether this instance should hold the watches. */
    bool isWatcher() const;

private:
    struct Peer
    {
        DocumentGossip gossip;
        bool isLive = false;
    };

    struct Watch
    {
        std::uint64_t token = 0;
        std::uint64_t version = 0;
        /** The platform has answered since the start; the first watch must be answered at once. */
        bool isAnswered = false;
        absl::Time nextAt = absl::InfinitePast();
        absl::Time expiresAt = absl::InfiniteFuture();
        int failures = 0;
    };

    struct Pull
    {
        InstanceId to;
        DocumentKind kind = DocumentKind::ReleaseNote;
        std::uint64_t held = 0;
        absl::Time expiresAt;
        /** Startup query to a seed peer. */
        bool isStartupQuery = false;
    };

    struct KindState
    {
        Watch watch;
        absl::Time heldSince = absl::InfinitePast();
        absl::Time nextPullAt = absl::InfinitePast();
        absl::Time nextStartupQueryAt = absl::InfinitePast();
        int failures = 0;
        bool isPulling = false;
    };

    using Actions = std::vector<SpreadAction>;

    KindState &state(DocumentKind kind) { return this->kinds[indexOf(kind)]; }
    void expire(absl::Time now);
    void watch(DocumentKind kind, absl::Time now, Random &random, Actions &actions);
    void querySeeds(DocumentKind kind, absl::Time now, Actions &actions);
    void pull(DocumentKind kind, absl::Time now, Random &random, Actions &actions);
    void send(const InstanceId &to, DocumentKind kind, bool wantsBody, bool isStartupQuery,
              absl::Time now, Actions &actions);
    void failPull(std::uint64_t token, absl::Time now);
    void failWatch(KindState &kind, absl::Time now);
    void acceptDocument(Document document, absl::Time now);
    void recordRejection(DocumentKind kind, std::uint64_t number, std::error_code error);
    void settle();
    void confirmIfAlone(DocumentKind kind);
    std::optional<InstanceId> choosePeer(DocumentKind kind, std::uint64_t atLeast, bool seedsOnly,
                                         Random &random) const;
    absl::Duration backoff(int failures) const;

    SpreadSettings settings;
    DocumentStore &store;
    StartupGate gate;
    bool settled = false;
    /** Numbers that were required when the gate opened. */
    DocumentNumbers required {};
    bool reachesPlatform = false;
    absl::btree_map<InstanceId, Peer> peers;
    absl::Time listRequestedAt = absl::InfinitePast();
    bool isListedAlone = false;
    std::array<KindState, kDocumentKindCount> kinds;
    std::uint64_t lastToken = 0;
    absl::btree_map<std::uint64_t, Pull> pulls;
    std::vector<RejectedDocument> rejectedDocuments;
};

} // namespace foxtailtally
