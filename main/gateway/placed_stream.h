#pragma once

#include "main/gateway/gateway_context.h"
#include "main/gateway/reservation_set.h"
#include "main/gateway/stream_planner.h"
#include "platform/call_headers.h"

#include <absl/time/time.h>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

class PlacedStreamEvents
{
public:
    virtual ~PlacedStreamEvents() = default;
    /** All engines of the placement are prepared: the stream may be sent. */
    virtual void onPlacementReady(absl::Time now) = 0;
    /** @p engine has not set the memory aside. */
    virtual void onPlacementFailed(ServerKey engine, absl::Time now) = 0;
};

/**
 * A stream's place at an engine and those that help to read its prompt: what the ledger and the
 * other instances know of it, and memory that is set aside for it.
 */
class PlacedStream final : private ReservationEvents
{
public:
    PlacedStream(GatewayContext &context, const std::string &callId, PlacedStreamEvents &events)
        : context(context)
        , callId(callId)
        , events(events)
    { }
    ~PlacedStream() override { this->drop(); }
    PlacedStream(const PlacedStream &) = delete;
    PlacedStream &operator=(const PlacedStream &) = delete;

    /** Takes the place that @p decision names, in lieu of an earlier one. @p isResumed: events of
     * the stream have been passed on before. */
    void place(const StreamDecision &decision, const StreamDemand &demand, bool isResumed,
               absl::Time now);
    /** Gives the place up. */
    void drop();

    /** Every engine of the placement may still get work. */
    bool isValid(absl::Time now) const;
    bool holdsMemory() const { return this->reservations != nullptr; }
    const StreamPlan &plan() const { return this->chosen; }
    const ServerEntry &server() const { return this->engine; }
    const std::vector<platform::PrefillHelper> &helpers() const { return this->prefillHelpers; }

    void onFirstEvent();
    /** Its answer is late. */
    void onLate();

private:
    void onReserved() override;
    void onReservationFailed(ServerKey failed) override;

    GatewayContext &context;
    const std::string &callId;
    PlacedStreamEvents &events;
    /** Number in the ledger; zero without a place. */
    std::uint32_t streamId = 0;
    StreamPlan chosen;
    ServerEntry engine;
    std::vector<platform::PrefillHelper> prefillHelpers;
    /** The engine and its helpers. */
    std::vector<ServerKey> engines;
    std::unique_ptr<ReservationSet> reservations;
};

} // namespace foxtailtally
