#include "main/gateway/placed_stream.h"

#include "core/clock.h"
#include "core/log.h"
#include "main/gateway/call_log.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace foxtailtally {

void PlacedStream::place(const StreamDecision &decision, const StreamDemand &demand, bool isResumed,
                         absl::Time now)
{
    this->chosen = decision.plan;
    this->priority = decision.admissionPriority;
    this->streamId = this->context.nextStreamId++;
    this->context.ledger.place(
        streamParts(decision.plan, decision.candidates, demand, this->streamId, isResumed, now));
    this->context.exchange.onLedgerChanged();
    logPlacement(this->context, this->callId, decision, now);
    this->engine = decision.servers[decision.plan.server]->entry;
    this->engines = {decision.candidates[decision.plan.server].server};
    this->prefillHelpers.clear();
    const std::string reservationId = absl::StrCat(this->callId, "-", this->streamId);
    std::vector<ReservationSet::Share> shares;
    for (const std::size_t index : decision.plan.helpers) {
        const std::string &address = decision.servers[index]->entry.address;
        const ServerKey helper = decision.candidates[index].server;
        const bool isHolder = decision.plan.isHolder(index);
        this->engines.push_back(helper);
        this->prefillHelpers.push_back({address, isHolder ? reservationId : std::string()});
        if (isHolder)
            shares.push_back({helper, address});
    }
    if (shares.empty()) {
        this->events.onPlacementReady(now);
        return;
    }
    ReservationEvents &reservationEvents = *this;
    this->reservations = std::make_unique<ReservationSet>(
        this->context, reservationId, decision.plan.shareTokens, shares, reservationEvents);
}

void PlacedStream::drop()
{
    if (this->reservations) {
        this->reservations->release();
        this->context.retired.push_back(std::move(this->reservations));
    }
    if (this->streamId == 0)
        return;
    this->context.ledger.remove(this->streamId);
    this->context.exchange.onLedgerChanged();
    this->streamId = 0;
}

void PlacedStream::retire(GatewayContext &context, std::unique_ptr<PlacedStream> stream)
{
    if (!stream)
        return;
    stream->drop();
    context.retired.push_back(std::move(stream));
}

bool PlacedStream::isValid(absl::Time now) const
{
    const ServerDirectory &directory = this->context.directory;
    return std::all_of(this->engines.begin(), this->engines.end(), [&](ServerKey key) {
        const ServerDirectory::Server *server = directory.findByKey(key);
        return server && directory.mayGetWork(*server, now);
    });
}

void PlacedStream::onFirstEvent()
{
    this->context.ledger.onFirstEvent(this->streamId);
    this->context.exchange.onLedgerChanged();
}

void PlacedStream::onLate()
{
    this->context.ledger.onLate(this->streamId);
}

void PlacedStream::onReserved()
{
    this->events.onPlacementReady(Clock::now());
}

void PlacedStream::onReservationFailed(std::span<const ServerKey> failed)
{
    logEvent(LogLevel::Info, "reservation_failed",
             {{"request", this->callId}, {"tokens", this->chosen.shareTokens}});
    this->drop();
    this->events.onPlacementFailed(failed, Clock::now());
}

} // namespace foxtailtally
