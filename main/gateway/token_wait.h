#pragma once

#include "main/gateway/gateway_context.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <span>
#include <vector>

namespace foxtailtally {

class TokenWaitEvents
{
public:
    virtual ~TokenWaitEvents() = default;
    /** There is a token for each need. */
    virtual void onTokensGranted(absl::Time now) = 0;
    /** A token is not expected in time; the others are returned. */
    virtual void onTokensDenied(absl::Time now) = 0;
};

/** Tokens that one call needs for its server and its helpers. Tokens that are not spent are
 * returned at the end. */
class TokenWait final : public Retirable, private TokenListener
{
public:
    /** A token of any one of these servers. */
    using Need = std::vector<ServerKey>;

    /** @p worth: of the call. @p patience: longest time to wait. */
    TokenWait(GatewayContext &context, std::span<const Need> needs, float worth,
              absl::Duration patience, TokenWaitEvents &events);
    ~TokenWait() override;

    /** Gives up claims and returns tokens. No callback follows. */
    void release(absl::Time now);
    /** A claim is neither granted nor denied yet. */
    bool isPending() const { return !this->waiting.empty(); }
    /** All servers that the needs name. */
    const std::vector<ServerKey> &claimed() const { return this->claimedServers; }
    /** Servers for which there are tokens that have not been spent. */
    std::vector<ServerKey> granted() const;
    /** Uses up the token of @p server; false if there is none or it has expired. */
    bool spend(ServerKey server, absl::Time now);

private:
    void onToken(ClaimId claim, ServerKey server, absl::Time now) override;
    void onNoToken(ClaimId claim, absl::Time now) override;

    GatewayContext &context;
    TokenWaitEvents &events;
    std::vector<ServerKey> claimedServers;
    std::vector<ClaimId> waiting;
    absl::flat_hash_map<ServerKey, ClaimId> tokens;
};

} // namespace foxtailtally
