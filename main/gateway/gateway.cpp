#include "main/gateway/gateway.h"

#include "core/clock.h"
#include "core/guard.h"
#include "core/log.h"
#include "core/text.h"
#include "main/gateway/call_suspicion.h"
#include "main/gateway/cold_servers.h"
#include "main/gateway/listener.h"

#include <absl/strings/str_cat.h>
#include <csignal>
#include <event2/event.h>
#include <event2/listener.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace foxtailtally {

namespace {

/** Interval of periodic cleanup: closed connections, expired entries, silent instances. */
constexpr absl::Duration kTickInterval = absl::Milliseconds(250);

constexpr std::string_view kAccountMismatches = "foxtailtally_request_account_mismatches_total";

/** Time for release requests, whose responses are not awaited, to reach their servers. */
constexpr absl::Duration kReleaseLingerTime = absl::Seconds(1);

event_base *newEventBase()
{
    event_config *config = event_config_new();
    // The process has a single loop on a single thread, so the loop needs no locks.
    event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
    event_base *base = event_base_new_with_config(config);
    event_config_free(config);
    return base;
}

} // namespace

Gateway::Gateway(const GatewaySettings &settings)
    : base(newEventBase())
    , context(this->base, settings)
    , store(this->context)
    , prober(this->context)
    , readyEndpoint(this->base, [this](const RequestHead &) { return this->answerReady(); })
    , metricsEndpoint(this->base, [this](const RequestHead &) { return this->answerMetrics(); })
    , tick(this->base, [this] { this->onTick(); })
    , stopTimer(this->base, [this] { this->onStopTimer(); })
{
    const std::optional<ControlSettings> &controlSettings = this->context.settings.control;
    if (controlSettings && (controlSettings->reportsUsage || controlSettings->ordersServers))
        this->control = std::make_unique<FleetControl>(this->context, *controlSettings);
}

Gateway::~Gateway()
{
    if (this->listener)
        evconnlistener_free(this->listener);
    if (this->termination)
        event_free(this->termination);
}

std::error_code Gateway::start()
{
    const GatewaySettings &settings = this->context.settings;
    std::signal(SIGPIPE, SIG_IGN);
    // Shown as 0 as long as there is none.
    this->context.metrics.counter(kAccountMismatches);
    this->termination = evsignal_new(
        this->base, SIGTERM,
        [](evutil_socket_t, short, void *object) {
            runGuarded("stop", [object] { static_cast<Gateway *>(object)->beginStop(); });
        },
        this);
    event_add(this->termination, nullptr);
    if (const std::error_code error = this->context.exchange.start())
        return error;
    if (const std::error_code error = this->readyEndpoint.start(settings.readyAddress))
        return error;
    if (const std::error_code error = this->metricsEndpoint.start(settings.metricsAddress))
        return error;
    const Result<evconnlistener *> opened = listenOn(
        this->base, settings.callerAddress,
        [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *object) {
            runGuarded("accept", [&] { static_cast<Gateway *>(object)->onAccept(socket); });
        },
        this);
    if (!opened.ok())
        return opened.error();
    this->listener = *opened;
    if (const std::error_code error = this->store.start())
        return error;
    if (this->control)
        this->control->start();
    this->tick.start(kTickInterval);
    logEvent(LogLevel::Info, "started",
             {{"instance", settings.id.str()},
              {"domain", settings.domain.str()},
              {"version", FOXTAILTALLY_VERSION}});
    return {};
}

void Gateway::run()
{
    event_base_dispatch(this->base);
    this->endOpenRequests(Clock::now());
    this->checkAccount();
    const RequestAccount &requests = this->context.requests;
    logEvent(LogLevel::Info, "stopped",
             {{"sessions", this->sessions.size()},
              {"requests", requests.begun()},
              {"answered", requests.ended(RequestEnd::Answered)},
              {"refused", requests.ended(RequestEnd::Refused)},
              {"given_up", requests.ended(RequestEnd::GivenUp)},
              {"lost", requests.ended(RequestEnd::Lost)}});
}

void Gateway::onAccept(int socket)
{
    SessionOwner &owner = *this;
    auto session = std::make_unique<CallerSession>(this->context, socket, owner);
    CallerSession *key = session.get();
    this->sessions.emplace(key, std::move(session));
}

void Gateway::onSessionClosed(CallerSession &session)
{
    const auto found = this->sessions.find(&session);
    if (found == this->sessions.end())
        return;
    this->context.retired.push_back(std::move(found->second));
    this->sessions.erase(found);
}

void Gateway::onTick()
{
    this->tick.start(kTickInterval);
    const absl::Time now = Clock::now();
    this->context.onTick(now);
    this->applyConfigToSessions();
    this->context.directory.onTick(now);
    updateColdLimits(this->context, now);
    this->context.limits.onTick(now);
    this->context.ledger.onTick(now);
    this->context.health.onTick(now);
    this->context.connectionReuse.onTick(now);
    settleUnconfirmedLosses(this->context, now);
    this->context.quarantine.onTick(now);
    // Destroying a retired object may retire others.
    std::vector<std::unique_ptr<Retirable>> retired;
    retired.swap(this->context.retired);
    retired.clear();
    std::erase_if(this->context.lingeringObjects,
                  [now](const Lingering &entry) { return now - entry.since > kReleaseLingerTime; });
    this->context.pool.onTick(now);
    this->prober.onTick(now);
    this->store.onTick(now);
    this->readyEndpoint.onTick();
    this->metricsEndpoint.onTick();
    this->checkAccount();
    if (this->context.stop.isStopping())
        this->continueStop(now);
}

void Gateway::checkAccount()
{
    std::uint64_t open = 0;
    for (const auto &[key, session] : this->sessions)
        open += session->hasOpenRequest() ? 1 : 0;
    const RequestAccount &requests = this->context.requests;
    if (requests.isBalanced(open))
        return;
    this->context.metrics.counter(kAccountMismatches).add();
    logEssentialEvent(LogLevel::Error, "request_account_mismatch",
                      {{"begun", requests.begun()},
                       {"ended", requests.ended()},
                       {"in_progress", requests.inProgress()},
                       {"open", open}});
}

void Gateway::endOpenRequests(absl::Time now)
{
    for (const auto &[key, session] : this->sessions)
        session->endRequestAtStop(now);
}

void Gateway::applyConfigToSessions()
{
    if (this->appliedConfig == this->context.config)
        return;
    this->appliedConfig = this->context.config;
    for (const auto &[key, session] : this->sessions)
        session->applyLimits();
    const CallerLimits &limits = this->appliedConfig->limits();
    logEvent(LogLevel::Info, "limits_applied",
             {{"version", this->appliedConfig->version()},
              {"sessions", this->sessions.size()},
              {"header_bytes", limits.headerBytes},
              {"body_bytes", limits.bodyBytes},
              {"header_timeout_ms", absl::ToInt64Milliseconds(limits.headerTimeout)},
              {"idle_timeout_ms", absl::ToInt64Milliseconds(limits.idleTimeout)}});
}

void Gateway::beginStop()
{
    if (this->context.stop.isStopping())
        return;
    const absl::Time now = Clock::now();
    this->context.stop.begin(now);
    if (this->control)
        this->control->beginStop(now);
    logEvent(LogLevel::Info, "stopping", {{"sessions", this->sessions.size()}});
    const absl::Time answersBy = this->context.stop.answersBy();
    for (const auto &[key, session] : this->sessions)
        session->onStopping(answersBy, now);
    this->stopTimer.start(answersBy - now);
}

void Gateway::onStopTimer()
{
    const absl::Time now = Clock::now();
    if (now >= this->context.stop.endsAt()) {
        this->endLoop(now);
        return;
    }
    if (this->listener)
        evconnlistener_free(std::exchange(this->listener, nullptr));
    this->stopTimer.start(this->context.stop.endsAt() - now);
}

void Gateway::continueStop(absl::Time now)
{
    if (!this->context.stop.closesIdle(now))
        return;
    std::vector<CallerSession *> open;
    for (const auto &[key, session] : this->sessions)
        open.push_back(key);
    for (CallerSession *session : open)
        session->closeWhenIdle();
    // A lease that is not released delays its next holder by a term.
    const bool isReleasing = this->control && this->control->isReleasing();
    if (this->sessions.empty() && !isReleasing)
        this->endLoop(now);
}

void Gateway::endLoop(absl::Time now)
{
    if (this->control)
        this->control->finish(now);
    event_base_loopbreak(this->base);
}

bool Gateway::isReady(absl::Time now) const
{
    return !this->context.stop.isStopping() && this->context.config && this->store.hasServers()
        && this->context.freshness.isReady(now);
}

AdminAnswer Gateway::answerReady() const
{
    const bool ready = this->isReady(Clock::now());
    return {ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n"};
}

AdminAnswer Gateway::answerMetrics() const
{
    std::string text = this->context.metrics.exposition();
    text += this->context.requests.exposition();
    absl::StrAppend(&text, "foxtailtally_log_lines_dropped_total ", droppedLogLines(),
                    "\nfoxtailtally_unexpected_errors_total ", unexpectedErrorCount(), "\n");
    for (const KindWatcher *watcher : this->store.kinds()) {
        if (watcher->cache().isKnown())
            absl::StrAppend(&text, "foxtailtally_store_era{kind=\"", asAbsl(watcher->name()),
                            "\"} ", watcher->cache().position().era, "\n");
    }
    if (this->context.config)
        absl::StrAppend(&text, "foxtailtally_config_version ", this->context.config->version(),
                        "\nfoxtailtally_config_confirmed_age_seconds ",
                        absl::ToDoubleSeconds(this->context.freshness.age(Clock::now())), "\n");
    if (this->control)
        text += this->control->exposition(Clock::now());
    return {200, "text/plain; version=0.0.4", text};
}

} // namespace foxtailtally
