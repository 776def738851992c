#include "main/gateway/token_wait.h"

#include "core/clock.h"

#include <algorithm>

namespace foxtailtally {

TokenWait::TokenWait(GatewayContext &context, std::span<const Need> needs, float worth,
                     absl::Duration patience, TokenWaitEvents &events)
    : context(context)
    , events(events)
{
    const absl::Time now = Clock::now();
    TokenListener &listener = *this;
    for (const Need &need : needs) {
        this->claimedServers.insert(this->claimedServers.end(), need.begin(), need.end());
        this->waiting.push_back(this->context.limits.claim({need, worth, patience}, listener, now));
    }
}

TokenWait::~TokenWait()
{
    this->release(Clock::now());
}

void TokenWait::release(absl::Time now)
{
    for (const ClaimId claim : this->waiting)
        this->context.limits.giveUp(claim, now);
    for (const auto &[server, claim] : this->tokens)
        this->context.limits.giveUp(claim, now);
    this->waiting.clear();
    this->tokens.clear();
}

std::vector<ServerKey> TokenWait::granted() const
{
    std::vector<ServerKey> servers;
    for (const auto &[server, claim] : this->tokens)
        servers.push_back(server);
    return servers;
}

bool TokenWait::spend(ServerKey server, absl::Time now)
{
    const auto found = this->tokens.find(server);
    if (found == this->tokens.end())
        return false;
    const ClaimId claim = found->second;
    this->tokens.erase(found);
    return this->context.limits.spend(claim, now);
}

void TokenWait::onToken(ClaimId claim, ServerKey server, absl::Time now)
{
    std::erase(this->waiting, claim);
    this->tokens[server] = claim;
    if (this->waiting.empty())
        this->events.onTokensGranted(now);
}

void TokenWait::onNoToken(ClaimId claim, absl::Time now)
{
    std::erase(this->waiting, claim);
    this->release(now);
    this->events.onTokensDenied(now);
}

} // namespace foxtailtally
