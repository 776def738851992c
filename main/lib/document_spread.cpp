#include "main/lib/document_spread.h"

#include "core/clock.h"
#include "core/hash.h"
#include "core/log.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace foxtailtally {

namespace {

WatchReply replyTo(std::uint64_t token, const Result<std::optional<StoredObject>> &object)
{
    WatchReply reply;
    reply.token = token;
    if (!object.ok()) {
        const bool isAbsent = object.error() == Error::StoreNotFound;
        reply.outcome = isAbsent ? WatchReply::Outcome::NotFound : WatchReply::Outcome::Failed;
    } else if (!object->has_value()) {
        reply.outcome = WatchReply::Outcome::Unchanged;
    } else {
        reply.outcome = WatchReply::Outcome::Changed;
        reply.version = (*object)->version;
        reply.body = (*object)->value;
    }
    return reply;
}

Result<std::optional<StoredObject>> readOnce(const PlatformClient &platform, const std::string &key)
{
    const Result<StoredObject> object = platform.get(key);
    if (!object.ok())
        return object.error();
    return std::optional<StoredObject>(*object);
}

} // namespace

DocumentSpread::DocumentSpread(const SpreadSettings &settings, EventLoop &loop,
                               const PlatformClient &platform, DocumentPeers &peers,
                               InForce inForce)
    : loop(loop)
    , platform(platform)
    , peers(peers)
    , reportInForce(std::move(inForce))
    , spreadPlan(settings, this->store)
    , random(stableHash(settings.self.str()))
{
    for (std::size_t i = 0; i < kDocumentKindCount; ++i)
        this->watchLoops.push_back(std::make_unique<EventLoop>("doc-watch"));
}

DocumentSpread::~DocumentSpread()
{
    this->stop();
}

void DocumentSpread::stop()
{
    for (const std::unique_ptr<EventLoop> &watchLoop : this->watchLoops)
        watchLoop->stop();
}

void DocumentSpread::onTick(absl::Time now)
{
    for (const SpreadAction &action : this->spreadPlan.onTick(now, this->random)) {
        if (std::holds_alternative<WatchDocument>(action))
            this->watch(std::get<WatchDocument>(action));
        else
            this->pull(std::get<PullDocument>(action));
    }
    this->reportChanges();
}

void DocumentSpread::watch(const WatchDocument &action)
{
    this->watchLoops[indexOf(action.kind)]->post([this, action] {
        const auto object = action.version == 0
            ? readOnce(this->platform, action.key)
            : this->platform.watch(action.key, action.version, action.timeout);
        this->loop.post([this, reply = replyTo(action.token, object)] {
            this->spreadPlan.onWatchReply(reply, Clock::now());
            this->reportChanges();
        });
    });
}

void DocumentSpread::pull(const PullDocument &action)
{
    this->peers.pull(action, [this, token = action.token](const Result<DocumentAnswer> &answer) {
        if (answer.ok())
            this->spreadPlan.onPullAnswer(token, *answer, Clock::now());
        else
            this->spreadPlan.onPullFailed(token, Clock::now());
        this->reportChanges();
    });
}

void DocumentSpread::reportChanges()
{
    const DocumentNumbers numbers = this->store.inForceNumbers();
    for (const DocumentKind kind : kDocumentKinds) {
        if (numbers[indexOf(kind)] == this->reportedNumbers[indexOf(kind)])
            continue;
        this->reportedNumbers[indexOf(kind)] = numbers[indexOf(kind)];
        logEvent(LogLevel::Info, "document_in_force",
                 {{"kind", documentKindName(kind)}, {"number", numbers[indexOf(kind)]}});
        this->reportInForce(*this->store.inForce(kind));
    }
}

} // namespace foxtailtally
