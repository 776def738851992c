#include "standins/lib/group_reservations.h"

#include "peers/engine/http_engine_server.h"

#include <absl/strings/str_cat.h>
#include <utility>

namespace foxtailtally {

GroupReservations::GroupReservations(std::shared_ptr<HttpClient> http, PlatformAccess platform,
                                     InstanceEntry self)
    : http(http)
    , platform(std::move(http), platform)
    , self(std::move(self))
    , token(std::move(platform.token))
{ }

std::int64_t GroupReservations::tokensOnOtherEngines(const std::string &reservation)
{
    Result<std::vector<InstanceEntry>> found = this->platform.instances();
    if (found.ok()) {
        this->entries = std::move(*found);
    }
    std::int64_t tokens = 0;
    for (const InstanceEntry &entry : this->entries) {
        const bool isOther = entry.kind == InstanceKind::Engine && entry.group == this->self.group
            && entry.id != this->self.id;
        if (isOther) {
            tokens += this->heldBy(entry, reservation);
        }
    }
    return tokens;
}

std::int64_t GroupReservations::heldBy(const InstanceEntry &engine, const std::string &reservation)
{
    std::int64_t &known = this->lastHeld[absl::StrCat(engine.id, " ", reservation)];
    HttpEngineServer server(this->http, engine.address, this->token);
    const Result<std::vector<EngineMemoryHold>> holds = server.reservations();
    if (!holds.ok()) {
        known = holds.error() == Error::ConnectionFailed ? 0 : known;
        return known;
    }
    known = 0;
    for (const EngineMemoryHold &hold : *holds) {
        known += hold.id == reservation ? hold.tokens : 0;
    }
    return known;
}

} // namespace foxtailtally
