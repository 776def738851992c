#pragma once

#include "core/event_loop.h"
#include "core/random.h"
#include "peers/platform/platform_client.h"
#include "servers/configuration/document_store.h"
#include "servers/configuration/spread_plan.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

/** Requests documents from other instances. */
class DocumentPeers
{
public:
    /** Called once on the control loop. */
    using Answer = std::function<void(const Result<DocumentAnswer> &answer)>;

    virtual ~DocumentPeers() = default;
    virtual void pull(const PullDocument &request, Answer answer) = 0;
};

/** Executes a SpreadPlan: watches the platform, pulls from peers and reports documents in force. */
class DocumentSpread
{
public:
    using InForce = std::function<void(const Document &document)>;

    /** @p loop is the control loop, on which all other methods are called. */
    DocumentSpread(const SpreadSettings &settings, EventLoop &loop, const PlatformClient &platform,
                   DocumentPeers &peers, InForce inForce);
    ~DocumentSpread();
    DocumentSpread(const DocumentSpread &) = delete;
    DocumentSpread &operator=(const DocumentSpread &) = delete;

    void onTick(absl::Time now);
    SpreadPlan &plan() { return this->spreadPlan; }
    std::shared_ptr<const Document> inForce(DocumentKind kind) const
    {
        return this->store.inForce(kind);
    }
    /** Stops the watches; call before the control loop is stopped. */
    void stop();

private:
    void watch(const WatchDocument &action);
    void pull(const PullDocument &action);
    void reportChanges();

    EventLoop &loop;
    const PlatformClient &platform;
    DocumentPeers &peers;
    InForce reportInForce;
    DocumentStore store;
    SpreadPlan spreadPlan;
    DocumentNumbers reportedNumbers {};
    Random random;
    /** One loop per document kind, because a watch blocks. */
    std::vector<std::unique_ptr<EventLoop>> watchLoops;
};

} // namespace foxtailtally
