#pragma once

#include "core/event_loop.h"
#include "peers/engine/engine_client.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

/**
 * Reserves memory on the additional engines of a context that several engines serve: on all of them
 * or on none. Reservations are renewed while the request runs and freed at its end. The calls
 * block, so they run on @p loop, which must outlive all holds.
 */
class LongContextHold : public std::enable_shared_from_this<LongContextHold>
{
public:
    using Ready = std::function<void(std::error_code error)>;

    LongContextHold(EventLoop &loop, EngineClient &engines, std::string id, InstanceId owner,
                    std::vector<std::string> addresses, std::int64_t tokensEach);

    const std::string &id() const { return this->name; }
    /** Calls @p ready on the loop once all engines have reserved or one has refused. */
    void reserve(Ready ready);
    void release();

private:
    std::error_code reserveAll();
    void scheduleRenewal();

    EventLoop &loop;
    EngineClient &engines;
    std::string name;
    InstanceId owner;
    std::vector<std::string> addresses;
    std::int64_t tokensEach;
    bool released = false;
};

} // namespace foxtailtally
