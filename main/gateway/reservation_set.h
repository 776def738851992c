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
    /** All engines have reserved the memory. */
    virtual void onReserved() = 0;
    /** @p engines have no memory or did not respond; what the others reserved is released. */
    virtual void onReservationFailed(std::span<const ServerKey> engines) = 0;
};

/**
 * Memory reserved for one prompt at several engines. Reservations expire after a short time and are
 * renewed while the prompt needs them, so that the memory is free soon after this instance crashes;
 * a request that an engine executes late reserves memory for no longer.
 */
class ReservationSet final : public Retirable
{
public:
    struct Share
    {
        ServerKey engine = 0;
        std::string address;
    };

    /** @p id must be unique among all instances. Requests are sent immediately. */
    ReservationSet(GatewayContext &context, const std::string &id, std::int64_t tokens,
                   std::span<const Share> shares, ReservationEvents &events);
    ~ReservationSet() override;

    /** Frees the memory. No callback follows. */
    void release();
    const std::string &id() const { return this->reservationId; }

private:
    class Request;

    void sendReserve(std::size_t index);
    /** False while the engine of @p share has requested a pause and its reservation lasts long
     * enough. */
    bool mustRenew(std::size_t share, absl::Time now) const;
    void onRequestWritten(ServerKey engine, absl::Time now);
    void onRequestDone(Request &request, bool isGranted);
    void fail(std::span<const ServerKey> engines);
    void onRenew();
    void onTimeout();

    GatewayContext &context;
    std::string reservationId;
    std::int64_t tokens;
    std::vector<Share> shares;
    /** When each share was last requested; InfinitePast if it was not. */
    std::vector<absl::Time> requestedAt;
    ReservationEvents *events;
    LoopTimer renewTimer;
    LoopTimer answerTimer;
    std::vector<std::unique_ptr<Request>> requests;
    std::size_t granted = 0;
    bool isComplete = false;
    bool isReleased = false;
};

} // namespace foxtailtally
