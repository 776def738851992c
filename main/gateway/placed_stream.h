#pragma once

#include "main/gateway/gateway_context.h"
#include "main/gateway/reservation_set.h"
#include "main/gateway/stream_planner.h"
#include "platform/call_headers.h"

#include <absl/time/time.h>
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace foxtailtally {

class PlacedStreamEvents
{
public:
    virtual ~PlacedStreamEvents() = default;
    /** All engines of the placement are ready: the stream may be sent. */
    virtual void onPlacementReady(absl::Time now) = 0;
    /** @p engines have not reserved the memory. */
    virtual void onPlacementFailed(std::span<const ServerKey> engines, absl::Time now) = 0;
};

/**
 * Placement of a stream on an engine and its prefill helpers: the stream's entry in the load
 * ledger, which is reported to the other instances, and the memory reserved for it.
 */
class PlacedStream final : public Retirable, private ReservationEvents
{
public:
    PlacedStream(GatewayContext &context, const std::string &callId, PlacedStreamEvents &events)
        : context(context)
        , callId(callId)
        , events(events)
    { }
    ~PlacedStream() override { this->drop(); }

    /** Applies the placement of @p decision. @p isResumed: events of the stream have been forwarded
     * before. */
    void place(const StreamDecision &decision, const StreamDemand &demand, bool isResumed,
               absl::Time now);
    /** Removes the stream from the ledger and releases its memory. */
    void drop();

    /** Drops @p stream and has it destroyed later; nothing if it is null. */
    static void retire(GatewayContext &context, std::unique_ptr<PlacedStream> stream);

    /** Every engine of the placement may still get work; true without a placement. */
    bool isValid(absl::Time now) const;
    bool holdsMemory() const { return this->reservations != nullptr; }
    const StreamPlan &plan() const { return this->chosen; }
    /** None if streams are admitted in the order of their arrival. */
    std::optional<int> admissionPriority() const { return this->priority; }
    const ServerEntry &server() const { return this->engine; }
    const std::vector<platform::PrefillHelper> &helpers() const { return this->prefillHelpers; }
    /** Keys of the helpers. */
    std::span<const ServerKey> helperKeys() const
    {
        return std::span(this->engines).subspan(std::min<std::size_t>(1, this->engines.size()));
    }

    void onFirstEvent();
    /** An event of the stream is late. */
    void onLate();

private:
    void onReserved() override;
    void onReservationFailed(std::span<const ServerKey> failed) override;

    GatewayContext &context;
    const std::string &callId;
    PlacedStreamEvents &events;
    /** Id in the ledger; zero without a placement. */
    std::uint32_t streamId = 0;
    StreamPlan chosen;
    std::optional<int> priority;
    ServerEntry engine;
    std::vector<platform::PrefillHelper> prefillHelpers;
    /** Keys of the engine and its helpers. */
    std::vector<ServerKey> engines;
    std::unique_ptr<ReservationSet> reservations;
};

} // namespace foxtailtally
