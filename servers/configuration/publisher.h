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
    /**
     * Publication that took the number; its author is empty when the store's history no longer
     * shows it.
     */
    Publication winner;
};

/**
 * Publishes one document by a conditional update. After a write without an answer, a read that
 * shows the old version proves nothing, since the write may still take effect. The write is
 * therefore repeated with the same condition until the answer is definite, and a conflict is then
 * resolved by reading the object back.
 */
class Publisher
{
public:
    /** @p body must be the document that @p publication names, with its history. */
    Publisher(std::string key, std::uint64_t baseVersion, Publication publication,
              std::string body);

    std::vector<StoreCall> start(absl::Time now);
    std::vector<StoreCall> onStoreReply(const StoreReply &reply, absl::Time now);
    /** Retries failed calls after a delay and gives up after kPublishTimeout. */
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
    /** A write got no answer, so it may have taken effect. */
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
