#pragma once

#include "core/ids.h"
#include "main/gateway/gateway_context.h"
#include "peers/http/loop_timer.h"
#include "peers/http/outbound_connection.h"

#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace foxtailtally {

class ReservationEvents
{
public:
    virtual ~ReservationEvents() = default;
    /** All engines have set the memory aside. */
    virtual void onReserved() = 0;
    /** One engine has no memory or gave no answer; what the others set aside is released. */
    virtual void onReservationFailed(ServerKey engine) = 0;
};

/**
 * Memory for one prompt that is set aside at several engines. It is held for a short time only and
 * renewed while the prompt needs it, so that it is free soon after this instance has died; an order
 * that an engine carries out late sets memory aside for no longer.
 */
class ReservationSet final : public Retirable
{
public:
    struct Share
    {
        ServerKey engine = 0;
        std::string address;
    };

    /** @p id must be unique among all instances. Orders are sent at once. */
    ReservationSet(GatewayContext &context, const std::string &id, std::int64_t tokens,
                   std::span<const Share> shares, ReservationEvents &events);
    ~ReservationSet() override;

    /** Frees the memory. No event follows. */
    void release();
    const std::string &id() const { return this->reservationId; }

private:
    class Request;

    void sendReserve(std::size_t index, absl::Time now);
    /** False while the engine of @p share wants nothing and holds the memory for long enough. */
    bool mustRenew(std::size_t share, absl::Time now) const;
    void onRequestDone(Request &request, bool isGranted);
    void onRenew();
    void onTimeout();

    GatewayContext &context;
    std::string reservationId;
    std::int64_t tokens;
    std::vector<Share> shares;
    /** When each of the shares was last asked for. */
    std::vector<absl::Time> renewedAt;
    ReservationEvents *events;
    LoopTimer renewTimer;
    LoopTimer answerTimer;
    std::vector<std::unique_ptr<Request>> requests;
    std::size_t granted = 0;
    bool isComplete = false;
    bool isReleased = false;
};

} // namespace foxtailtally
