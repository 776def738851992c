#include "main/gateway/reservation_set.h"

#include "core/clock.h"
#include "core/log.h"
#include "main/gateway/server_evidence.h"
#include "platform/call_headers.h"

#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

/** Time for which memory is set aside at a time. The users ask that it be free four seconds after
 * its last request has ended, also where the instance that held it has died. */
constexpr absl::Duration kHoldTime = absl::Milliseconds(3500);
/** Interval of renewals; two may be lost before the memory is. */
constexpr absl::Duration kRenewInterval = absl::Milliseconds(1100);
/** Time for the answers to the first orders; engines answer orders in milliseconds. */
constexpr absl::Duration kAnswerTime = absl::Milliseconds(150);

constexpr int kStatusDone = 200;

} // namespace

/** One order on its way. */
class ReservationSet::Order final : public Retirable, private OutboundEvents
{
public:
    Order(GatewayContext &context, ReservationSet *owner, const Share &share,
          const std::string &reservationId)
        : context(context)
        , owner(owner)
        , share(share)
        , reservationId(reservationId)
    { }
    ~Order() override { this->context.pool.discard(std::move(this->connection)); }

    void send(const std::string &body)
    {
        const absl::Time now = Clock::now();
        this->connection =
            this->context.pool.acquire(this->share.address, ConnectionPool::kMaxIdleTime, now);
        OutboundEvents &events = *this;
        // The late answer to a call that used the connection before is not the order's.
        this->connection->call(platform::encodeOrderRequest(this->share.address, body), false,
                               platform::correlationOf({}), events);
    }
    /** The answer is of no interest any more. */
    void abandon() { this->owner = nullptr; }
    const Share &target() const { return this->share; }

private:
    void onResponseHead(OutboundConnection &, const ResponseHead &head) override
    {
        this->status = head.status;
        recordWishes(this->context, this->share.engine, platform::decodeServerReply(head),
                     this->reservationId, Clock::now());
    }
    void onResponseBody(OutboundConnection &, std::string_view) override { }
    void onResponseComplete(OutboundConnection &) override
    {
        this->context.pool.release(this->share.address, std::move(this->connection), Clock::now());
        if (this->owner)
            this->owner->onOrderDone(*this, this->status == kStatusDone);
    }
    void onCallFailed(OutboundConnection &, std::error_code) override
    {
        if (this->owner)
            this->owner->onOrderDone(*this, false);
    }

    GatewayContext &context;
    ReservationSet *owner;
    Share share;
    std::string reservationId;
    std::unique_ptr<OutboundConnection> connection;
    int status = 0;
};

ReservationSet::ReservationSet(GatewayContext &context, const std::string &id, std::int64_t tokens,
                               std::span<const Share> shares, ReservationEvents &events)
    : context(context)
    , reservationId(id)
    , tokens(tokens)
    , shares(shares.begin(), shares.end())
    , events(&events)
    , renewTimer(context.base, [this] { this->onRenew(); })
    , answerTimer(context.base, [this] { this->onTimeout(); })
{
    const absl::Time now = Clock::now();
    this->renewedAt.assign(this->shares.size(), now);
    for (std::size_t i = 0; i < this->shares.size(); ++i)
        this->sendReserve(i, now);
    this->answerTimer.start(kAnswerTime);
}

ReservationSet::~ReservationSet()
{
    this->release();
}

void ReservationSet::release()
{
    if (this->isReleased)
        return;
    this->isReleased = true;
    this->events = nullptr;
    this->renewTimer.stop();
    this->answerTimer.stop();
    for (auto &order : this->orders) {
        order->abandon();
        this->context.retired.push_back(std::move(order));
    }
    this->orders.clear();
    for (const Share &share : this->shares) {
        auto order = std::make_unique<Order>(this->context, nullptr, share, this->reservationId);
        order->send(platform::encodeReleaseOrder(this->reservationId));
        // The connection carries the order out although nobody waits for its answer.
        this->context.lingering.push_back({std::move(order), Clock::now()});
    }
}

void ReservationSet::sendReserve(std::size_t index, absl::Time now)
{
    const Share &share = this->shares[index];
    this->renewedAt[index] = now;
    auto order = std::make_unique<Order>(this->context, this, share, this->reservationId);
    order->send(platform::encodeReserveOrder(this->reservationId, this->tokens, kHoldTime));
    this->orders.push_back(std::move(order));
}

void ReservationSet::onOrderDone(Order &order, bool isGranted)
{
    const ServerKey engine = order.target().engine;
    for (auto &entry : this->orders) {
        if (entry.get() == &order) {
            this->context.retired.push_back(std::move(entry));
            break;
        }
    }
    std::erase_if(this->orders, [](const auto &entry) { return entry == nullptr; });
    if (this->isComplete || !this->events)
        return;
    if (!isGranted) {
        ReservationEvents *told = this->events;
        this->release();
        told->onReservationFailed(engine);
        return;
    }
    if (++this->granted < this->shares.size())
        return;
    this->isComplete = true;
    this->answerTimer.stop();
    this->renewTimer.start(kRenewInterval);
    this->events->onReserved();
}

void ReservationSet::onRenew()
{
    // An order that is still without an answer may be lost; the next one renews as well.
    for (auto &order : this->orders) {
        order->abandon();
        this->context.retired.push_back(std::move(order));
    }
    this->orders.clear();
    const absl::Time now = Clock::now();
    for (std::size_t i = 0; i < this->shares.size(); ++i) {
        if (this->mustRenew(i, now))
            this->sendReserve(i, now);
    }
    this->renewTimer.start(kRenewInterval);
}

bool ReservationSet::mustRenew(std::size_t share, absl::Time now) const
{
    const absl::Time pausedUntil =
        this->context.directory.wishes().pausedUntil(this->shares[share].engine);
    if (pausedUntil <= now)
        return true;
    // An engine that wants nothing for a while keeps the memory as long as it was last asked to.
    return this->renewedAt[share] + kHoldTime < now + 2 * kRenewInterval;
}

void ReservationSet::onTimeout()
{
    if (this->isComplete || !this->events || this->orders.empty())
        return;
    const ServerKey engine = this->orders.front()->target().engine;
    logEvent(LogLevel::Info, "reservation_unanswered", {{"reservation", this->reservationId}});
    ReservationEvents *told = this->events;
    this->release();
    told->onReservationFailed(engine);
}

} // namespace foxtailtally
