#pragma once

#include "core/result.h"
#include "servers/configuration/publication.h"
#include "servers/configuration/store_call.h"

#include <absl/time/time.h>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace foxtailtally {

/** How a publication ended. */
struct PublishResult
{
    /**
     * No error: published. DocumentConflict: another publication took the number, see winner.
     * StoreUnavailable: certainly not published. Timeout: not known whether it was published.
     */
    std::error_code error;
    /** Object version after the write, when published. */
    std::uint64_t version = 0;
    /** Who took the number; empty author when the store no longer tells. */
    Publication winner;
};

/**
 * Publishes one document by a conditional update. A write without an answer is never judged by a
 * read that shows the old version, since the write may still be under way. It is repeated with the
 * same condition until the answer is definite, and a conflict is then settled by reading back.
 */
class Publisher
{
public:
    /** @p body must be the document that @p publication names, with its history. */
    Publisher(std::string key, std::uint64_t baseVersion, Publication publication,
              std::string body);

    std::vector<StoreCall> start(absl::Time now);
    std::vector<StoreCall> onStoreReply(const StoreReply &reply, absl::Time now);
    /** Repeats calls after a pause and gives up at the end of kPublishTimeout. */
    std::vector<StoreCall> onTick(absl::Time now);

    /** Set once the publication has ended. */
    const std::optional<PublishResult> &result() const { return this->outcome; }

private:
    std::vector<StoreCall> send();
    void onWriteReply(const StoreReply &reply, absl::Time now);
    void onReadReply(const StoreReply &reply, absl::Time now);
    void resolveConflict(const StoreReply &reply);
    void retryLater(absl::Time now);
    void finish(std::error_code error, std::uint64_t version, Publication winner);

    std::string key;
    std::uint64_t baseVersion;
    Publication publication;
    std::string body;
    std::uint64_t lastToken = 0;
    bool isReading = false;
    bool isWaiting = false;
    /** A write had no answer, so it may have taken effect. */
    bool mayHaveBeenWritten = false;
    int failures = 0;
    absl::Time giveUpAt = absl::InfiniteFuture();
    absl::Time retryAt = absl::InfiniteFuture();
    std::optional<PublishResult> outcome;
};

/** Time after which an operator gets an answer even when the store does not respond. */
constexpr absl::Duration kPublishTimeout = absl::Seconds(10);

/** History in the JSON text of any published document; empty when there is none. */
PublicationHistory historyOf(std::string_view body);

} // namespace foxtailtally
