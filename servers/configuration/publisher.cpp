#include "servers/configuration/publisher.h"

#include <algorithm>

namespace foxtailtally {

namespace {

constexpr absl::Duration kFirstRetryDelay = absl::Milliseconds(100);
constexpr absl::Duration kMaxRetryDelay = absl::Seconds(2);
constexpr int kMaxDoublings = 5;

} // namespace

Publisher::Publisher(std::string key, std::uint64_t baseVersion, Publication publication,
                     std::string body)
    : key(std::move(key))
    , baseVersion(baseVersion)
    , publication(std::move(publication))
    , body(std::move(body))
{ }

std::vector<StoreCall> Publisher::start(absl::Time now)
{
    this->giveUpAt = now + kPublishTimeout;
    return this->send();
}

std::vector<StoreCall> Publisher::onStoreReply(const StoreReply &reply, absl::Time now)
{
    if (this->outcome || !this->isWaiting || reply.token != this->lastToken)
        return {};
    this->isWaiting = false;
    const bool wasReading = this->isReading;
    if (wasReading)
        this->onReadReply(reply, now);
    else
        this->onWriteReply(reply, now);
    // A conflict is resolved at once; failed calls are retried after a delay.
    if (!this->outcome && !wasReading && this->isReading)
        return this->send();
    return {};
}

std::vector<StoreCall> Publisher::onTick(absl::Time now)
{
    if (this->outcome)
        return {};
    if (now >= this->giveUpAt) {
        // An unanswered call, or a conflict that could not be read, leaves the outcome unknown.
        const bool isOutcomeUnknown =
            this->mayHaveBeenWritten || this->isWaiting || this->isReading;
        this->finish(isOutcomeUnknown ? Error::Timeout : Error::StoreUnavailable, 0, {});
        return {};
    }
    if (this->isWaiting || now < this->retryAt)
        return {};
    return this->send();
}

std::vector<StoreCall> Publisher::send()
{
    this->isWaiting = true;
    this->retryAt = absl::InfiniteFuture();
    ++this->lastToken;
    if (this->isReading)
        return {StoreRead {this->lastToken, this->key}};
    return {StoreWrite {this->lastToken, this->key, this->baseVersion, this->body}};
}

void Publisher::onWriteReply(const StoreReply &reply, absl::Time now)
{
    switch (reply.outcome) {
    case StoreOutcome::Ok:
        this->finish({}, reply.version, this->publication);
        return;
    case StoreOutcome::Conflict:
    case StoreOutcome::NotFound:
        this->isReading = true;
        return;
    case StoreOutcome::Lost:
        this->mayHaveBeenWritten = true;
        this->retryLater(now);
        return;
    case StoreOutcome::Unavailable:
        this->retryLater(now);
        return;
    }
}

void Publisher::onReadReply(const StoreReply &reply, absl::Time now)
{
    if (reply.outcome == StoreOutcome::Ok)
        this->resolveConflict(reply);
    else if (reply.outcome == StoreOutcome::NotFound)
        this->finish(Error::DocumentConflict, 0, {});
    else
        this->retryLater(now);
}

void Publisher::resolveConflict(const StoreReply &reply)
{
    const PublicationHistory history = historyOf(reply.value);
    const Publication *winner = history.find(this->publication.number);
    if (winner != nullptr && winner->id == this->publication.id) {
        this->finish({}, reply.version, *winner);
        return;
    }
    if (winner != nullptr) {
        this->finish(Error::DocumentConflict, 0, *winner);
        return;
    }
    // The number is higher than the store's, or the history no longer contains it.
    const bool hasLeftHistory =
        !history.entries.empty() && history.entries.back().number > this->publication.number;
    if (hasLeftHistory && this->mayHaveBeenWritten) {
        this->finish(Error::Timeout, 0, {});
        return;
    }
    this->finish(Error::DocumentConflict, 0,
                 history.entries.empty() ? Publication {} : history.entries.front());
}

void Publisher::retryLater(absl::Time now)
{
    const int doublings = std::min(this->failures++, kMaxDoublings);
    this->retryAt = now + std::min(kMaxRetryDelay, kFirstRetryDelay * (1 << doublings));
}

void Publisher::finish(std::error_code error, std::uint64_t version, Publication winner)
{
    this->outcome = PublishResult {error, version, std::move(winner)};
}

PublicationHistory historyOf(std::string_view body)
{
    const auto value = nlohmann::json::parse(body, nullptr, false);
    DocumentProblems problems;
    DocumentReader reader(value, "", problems);
    PublicationHistory history = PublicationHistory::read(reader);
    return problems.empty() ? history : PublicationHistory {};
}

} // namespace foxtailtally
