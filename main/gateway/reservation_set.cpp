#include "main/gateway/reservation_set.h"

#include "core/clock.h"
#include "core/log.h"
#include "main/gateway/server_evidence.h"
#include "platform/call_headers.h"

#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

/** Time to live of a reservation. Users require the memory to be free four seconds after its last
 * request has ended, also when the instance that held it has crashed. */
constexpr absl::Duration kReservationTtl = absl::Milliseconds(3500);
/** Interval of renewals; two may be lost before the reservation expires. */
constexpr absl::Duration kRenewInterval = absl::Milliseconds(1100);
/** Time for the responses to the first requests; engines respond to these in milliseconds. */
constexpr absl::Duration kReserveTimeout = absl::Milliseconds(150);

constexpr int kStatusOk = 200;

} // namespace

/** A request in flight that reserves or releases memory. */
class ReservationSet::Request final : public Retirable, private OutboundEvents
{
public:
    enum class Kind { Reserve, Renew, Release };

    Request(GatewayContext &context, ReservationSet *owner, Kind kind, const Share &share,
            const std::string &reservationId)
        : context(context)
        , owner(owner)
        , kind(kind)
        , share(share)
        , reservationId(reservationId)
    { }
    ~Request() override { this->context.pool.discard(std::move(this->connection)); }

    void send(const std::string &body)
    {
        this->body = body;
        const ServerDirectory::Server *engine =
            this->context.directory.findByKey(this->share.engine);
        const absl::Time now = Clock::now();
        this->send(this->context.connectionReuse.maxIdleTime(
                       this->share.engine, engine ? engine->entry.service : std::string(), now),
                   now);
    }
    /** The response is no longer of interest. */
    void abandon() { this->owner = nullptr; }
    const Share &target() const { return this->share; }
    bool isConnected() const { return this->connection->isConnected(); }

private:
    /** Uses no connection that has been idle for longer than @p maxIdle. */
    void send(absl::Duration maxIdle, absl::Time now)
    {
        this->sentAt = now;
        // A late response to an earlier request on this connection must not be taken for this
        // one's.
        this->connection =
            this->context.pool.acquireForUnidentified(this->share.address, maxIdle, now);
        if (this->connection->isConnected())
            this->beginWrite(now);
        OutboundEvents &events = *this;
        this->connection->call(platform::encodeReservationRequest(this->share.address, this->body),
                               false, platform::callCorrelation({}), events);
    }
    bool mayWrite(OutboundConnection &) override
    {
        const absl::Time now = Clock::now();
        if (!this->isWanted(now))
            return false;
        this->beginWrite(now);
        return true;
    }
    /** False if the request was given up, or the engine may no longer get new work, since it was
     * decided to send it. */
    bool isWanted(absl::Time now) const
    {
        if (this->kind == Kind::Release)
            return true;
        const ServerDirectory::Server *engine =
            this->context.directory.findByKey(this->share.engine);
        const bool isNewWork = this->kind == Kind::Reserve;
        return this->owner
            && (!isNewWork || (engine && this->context.directory.mayGetWork(*engine, now)));
    }
    void beginWrite(absl::Time now)
    {
        this->context.activity[this->share.engine].sent.add(RequestKind::Reservation, now);
        // Memory has to be renewed and released whether there is a token or not.
        this->context.limits.charge(this->share.engine, now);
        if (this->owner)
            this->owner->onRequestWritten(this->share.engine, now);
    }
    void onResponseHead(OutboundConnection &, const ResponseHead &head) override
    {
        this->status = head.status;
        recordBackpressure(this->context, this->share.engine, platform::decodeServerReply(head),
                           {this->reservationId, this->sentAt}, Clock::now());
    }
    void onResponseBody(OutboundConnection &, std::string_view) override { }
    void onResponseComplete(OutboundConnection &) override
    {
        this->context.pool.release(this->share.address, std::move(this->connection), Clock::now());
        if (this->owner)
            this->owner->onRequestDone(*this, this->status == kStatusOk);
    }
    void onCallFailed(OutboundConnection &ended, std::error_code) override
    {
        // The engine may have dropped the connection while it was idle. The request may be executed
        // twice: it has the same id.
        const bool wasDropped = ended.hasCompletedCalls() && !ended.hasReceivedBytes()
            && ended.endCause() == ConnectionEnd::ClosedByPeer;
        if (wasDropped && !this->isRepetition) {
            this->isRepetition = true;
            this->context.pool.discard(std::move(this->connection));
            this->send(absl::ZeroDuration(), Clock::now());
            return;
        }
        if (this->owner)
            this->owner->onRequestDone(*this, false);
    }

    GatewayContext &context;
    ReservationSet *owner;
    Kind kind;
    Share share;
    std::string reservationId;
    std::string body;
    std::unique_ptr<OutboundConnection> connection;
    bool isRepetition = false;
    absl::Time sentAt;
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
    this->requestedAt.assign(this->shares.size(), absl::InfinitePast());
    for (std::size_t i = 0; i < this->shares.size(); ++i)
        this->sendReserve(i);
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
    for (std::size_t i = 0; i < this->shares.size(); ++i) {
        if (this->requestedAt[i] == absl::InfinitePast())
            continue;
        auto request = std::make_unique<Request>(this->context, nullptr, Request::Kind::Release,
                                                 this->shares[i], this->reservationId);
        request->send(platform::encodeReleaseBody(this->reservationId));
        // Keeps the connection alive to deliver the request, although no one waits for the
        // response.
        this->context.lingeringObjects.push_back({std::move(request), Clock::now()});
    }
}

void ReservationSet::sendReserve(std::size_t index)
{
    const Request::Kind kind = this->isComplete ? Request::Kind::Renew : Request::Kind::Reserve;
    auto request = std::make_unique<Request>(this->context, this, kind, this->shares[index],
                                             this->reservationId);
    request->send(platform::encodeReserveBody(this->reservationId, this->tokens, kReservationTtl));
    this->requests.push_back(std::move(request));
}

void ReservationSet::onRequestWritten(ServerKey engine, absl::Time now)
{
    for (std::size_t i = 0; i < this->shares.size(); ++i) {
        if (this->shares[i].engine == engine)
            this->requestedAt[i] = now;
    }
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
        this->fail({&engine, 1});
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
    // A request that is still unanswered may be lost; the next one renews the reservation as well.
    for (auto &request : this->requests) {
        request->abandon();
        this->context.retired.push_back(std::move(request));
    }
    this->requests.clear();
    const absl::Time now = Clock::now();
    for (std::size_t i = 0; i < this->shares.size(); ++i) {
        if (this->mustRenew(i, now))
            this->sendReserve(i);
    }
    this->renewTimer.start(kRenewInterval);
}

bool ReservationSet::mustRenew(std::size_t share, absl::Time now) const
{
    const absl::Time pausedUntil =
        this->context.directory.backpressure().pausedUntil(this->shares[share].engine);
    if (pausedUntil <= now)
        return true;
    // A paused engine keeps the memory until the reservation expires that was last requested.
    return this->requestedAt[share] + kReservationTtl < now + 2 * kRenewInterval;
}

void ReservationSet::onTimeout()
{
    if (this->isComplete || !this->events || this->requests.empty())
        return;
    const absl::Time now = Clock::now();
    std::vector<ServerKey> unanswered;
    for (const auto &request : this->requests) {
        const ServerKey engine = request->target().engine;
        const ServerDirectory::Server *server = this->context.directory.findByKey(engine);
        if (!server || request->isConnected())
            continue;
        this->context.reachability.onConnectFailed(engine, server->entry.domain, now);
        unanswered.push_back(engine);
    }
    // Several engines may be slow for a reason on this side.
    if (unanswered.empty())
        unanswered.push_back(this->requests.front()->target().engine);
    logEvent(LogLevel::Info, "reservation_unanswered",
             {{"reservation", this->reservationId}, {"engines", unanswered.size()}});
    this->fail(unanswered);
}

void ReservationSet::fail(std::span<const ServerKey> engines)
{
    ReservationEvents *listener = this->events;
    this->release();
    listener->onReservationFailed(engines);
}

} // namespace foxtailtally
