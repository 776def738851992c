#include "main/lib/long_context_hold.h"

#include "core/clock.h"

#include <utility>

namespace foxtailtally {

namespace {

/** An engine frees the memory this long after the last renewal, as when the instance crashed. */
constexpr absl::Duration kReservationLifetime = absl::Seconds(30);
constexpr absl::Duration kRenewalPeriod = absl::Seconds(10);

} // namespace

LongContextHold::LongContextHold(EventLoop &loop, EngineClient &engines, std::string id,
                                 InstanceId owner, std::vector<std::string> addresses,
                                 std::int64_t tokensEach)
    : loop(loop)
    , engines(engines)
    , name(std::move(id))
    , owner(std::move(owner))
    , addresses(std::move(addresses))
    , tokensEach(tokensEach)
{ }

void LongContextHold::reserve(Ready ready)
{
    this->loop.post([self = shared_from_this(), ready = std::move(ready)] {
        const std::error_code error =
            self->released ? make_error_code(Error::RequestCancelled) : self->reserveAll();
        if (!error)
            self->scheduleRenewal();
        ready(error);
    });
}

void LongContextHold::release()
{
    this->loop.post([self = shared_from_this()] {
        if (std::exchange(self->released, true))
            return;
        for (const std::string &address : self->addresses)
            (void)self->engines.at(address)->freeReservation(self->name);
    });
}

std::error_code LongContextHold::reserveAll()
{
    for (const std::string &address : this->addresses) {
        const std::error_code error = this->engines.at(address)->reserve(
            {this->name, this->owner, this->tokensEach, kReservationLifetime});
        if (!error)
            continue;
        for (const std::string &reserved : this->addresses)
            (void)this->engines.at(reserved)->freeReservation(this->name);
        return error;
    }
    return {};
}

void LongContextHold::scheduleRenewal()
{
    this->loop.postAt(Clock::now() + kRenewalPeriod, [self = shared_from_this()] {
        if (self->released)
            return;
        // Errors are ignored: a failed renewal shows up as the end of the engine's stream.
        for (const std::string &address : self->addresses)
            (void)self->engines.at(address)->reserve(
                {self->name, self->owner, self->tokensEach, kReservationLifetime});
        self->scheduleRenewal();
    });
}

} // namespace foxtailtally
