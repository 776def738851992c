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
constexpr absl::Duration kReservationTtl = absl::Milliseconds(3500);
/** Interval of renewals; two may be lost before the memory is. */
constexpr absl::Duration kRenewInterval = absl::Milliseconds(1100);
/** Time for the answers to the first orders; engines answer orders in milliseconds. */
constexpr absl::Duration kReserveTimeout = absl::Milliseconds(150);

constexpr int kStatusOk = 200;

} // namespace

/** One order on its way. */
class ReservationSet::Request final : public Retirable, private OutboundEvents
{
public:
    Request(GatewayContext &context, ReservationSet *owner, const Share &share,
            const std::string &reservationId)
        : context(context)
        , owner(owner)
        , share(share)
        , reservationId(reservationId)
    { }
    ~Request() override { this->context.pool.discard(std::move(this->connection)); }

    void send(const std::string &body)
    {
        const absl::Time now = Clock::now();
        this->connection =
            this->context.pool.acquire(this->share.address, ConnectionPool::kMaxIdle, now);
        OutboundEvents &events = *this;
        // The late answer to a call that used the connection before is not the order's.
        this->connection->call(platform::encodeReservationRequest(this->share.address, body), false,
                               platform::callCorrelation({}), events);
    }
    /** The answer is of no interest any more. */
    void abandon() { this->owner = nullptr; }
    const Share &target() const { return this->share; }

private:
    void onResponseHead(OutboundConnection &, const ResponseHead &head) override
    {
        this->status = head.status;
        recordBackpressure(this->context, this->share.engine, platform::decodeServerReply(head),
                           this->reservationId, Clock::now());
    }
    void onResponseBody(OutboundConnection &, std::string_view) override { }
    void onResponseComplete(OutboundConnection &) override
    {
        this->context.pool.release(this->share.address, std::move(this->connection), Clock::now());
        if (this->owner)
            this->owner->onRequestDone(*this, this->status == kStatusOk);
    }
    void onCallFailed(OutboundConnection &, std::error_code) override
    {
        if (this->owner)
            this->owner->onRequestDone(*this, false);
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
    this->answerTimer.start(kReserveTimeout);
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
    for (auto &request : this->requests) {
        request->abandon();
        this->context.retired.push_back(std::move(request));
    }
    this->requests.clear();
    for (const Share &share : this->shares) {
        auto request =
            std::make_unique<Request>(this->context, nullptr, share, this->reservationId);
        request->send(platform::encodeReleaseBody(this->reservationId));
        // The connection carries the order out although nobody waits for its answer.
        this->context.lingering.push_back({std::move(request), Clock::now()});
    }
}

void ReservationSet::sendReserve(std::size_t index, absl::Time now)
{
    const Share &share = this->shares[index];
    this->renewedAt[index] = now;
    auto request = std::make_unique<Request>(this->context, this, share, this->reservationId);
    request->send(platform::encodeReserveBody(this->reservationId, this->tokens, kReservationTtl));
    this->requests.push_back(std::move(request));
}

void ReservationSet::onRequestDone(Request &request, bool isGranted)
{
    const ServerKey engine = request.target().engine;
    for (auto &entry : this->requests) {
        if (entry.get() == &request) {
            this->context.retired.push_back(std::move(entry));
            break;
        }
    }
    std::erase_if(this->requests, [](const auto &entry) { return entry == nullptr; });
    if (this->isComplete || !this->events)
        return;
    if (!isGranted) {
        ReservationEvents *listener = this->events;
        this->release();
        listener->onReservationFailed(engine);
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
    for (auto &request : this->requests) {
        request->abandon();
        this->context.retired.push_back(std::move(request));
    }
    this->requests.clear();
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
    return this->renewedAt[share] + kReservationTtl < now + 2 * kRenewInterval;
}

void ReservationSet::onTimeout()
{
    if (this->isComplete || !this->events || this->requests.empty())
        return;
    const ServerKey engine = this->requests.front()->target().engine;
    logEvent(LogLevel::Info, "reservation_unanswered", {{"reservation", this->reservationId}});
    ReservationEvents *listener = this->events;
    this->release();
    listener->onReservationFailed(engine);
}

} // namespace foxtailtally
