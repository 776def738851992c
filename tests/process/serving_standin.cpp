#include "tests/process/serving_standin.h"

#include "core/socket_address.h"
#include "main/gateway/listener.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>
#include <algorithm>
#include <event2/event.h>
#include <future>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace foxtailtally {

namespace {

using Json = nlohmann::json;

constexpr absl::Duration kTickInterval = absl::Milliseconds(2);

/** Unix milliseconds at which server 0 first started; server n started n ms later. */
constexpr std::int64_t kFirstStartMs = 1'700'000'000'000;
/** Added to the start time at each restart; larger than the number of servers, so that the start
 * times of all incarnations differ. */
constexpr std::int64_t kRestartIncrementMs = 1000;

std::string eventText(const std::string &callId, int number)
{
    return absl::StrCat("id: ", number, "\ndata: ", callId, "-", number, "\n\n");
}

evconnlistener *listenAt(event_base *base, const std::string &address, evconnlistener_cb callback,
                         void *object)
{
    const Result<evconnlistener *> listener = listenOn(base, address, callback, object);
    if (!listener.ok())
        throw std::runtime_error("cannot listen on " + address);
    return *listener;
}

} // namespace

ServingStandin::ServingStandin(std::string host)
    : host(std::move(host))
    , base(event_base_new())
    , tick(this->base, [this] { this->onTick(); })
{
    this->storeListener = listenAt(
        this->base, this->storeAddress(),
        [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *object) {
            static_cast<ServingStandin *>(object)->accept(socket, -1);
        },
        this);
    this->tick.start(kTickInterval);
    this->thread = std::thread([this] { event_base_dispatch(this->base); });
}

ServingStandin::~ServingStandin()
{
    this->run([this] { event_base_loopbreak(this->base); });
    this->thread.join();
    this->connections.clear();
    evconnlistener_free(this->storeListener);
    for (auto &[index, server] : this->servers) {
        if (server.listener)
            evconnlistener_free(server.listener);
        for (const int socket : {server.backlogFiller, server.unresponsiveListener}) {
            if (socket >= 0)
                ::close(socket);
        }
    }
}

std::string ServingStandin::streamBody(const std::string &callId)
{
    std::string text;
    for (int number = 1; number <= kEvents; ++number)
        text += eventText(callId, number);
    return text;
}

std::string ServingStandin::serverAddress(int index) const
{
    return absl::StrCat(this->host, ":", 8300 + index);
}

void ServingStandin::run(const std::function<void()> &task)
{
    std::promise<void> done;
    {
        const std::lock_guard lock(this->mutex);
        this->tasks.emplace_back([&] {
            task();
            done.set_value();
        });
    }
    done.get_future().wait();
}

void ServingStandin::runTasks()
{
    std::vector<std::function<void()>> ready;
    {
        const std::lock_guard lock(this->mutex);
        ready.swap(this->tasks);
    }
    for (const std::function<void()> &task : ready)
        task();
}

void ServingStandin::putObject(const std::string &kind, const std::string &name,
                               const std::string &spec)
{
    this->run([&] { this->store.put(kind, name, spec); });
}

void ServingStandin::removeObject(const std::string &kind, const std::string &name)
{
    this->run([&] { this->store.remove(kind, name); });
}

std::vector<std::string> ServingStandin::objectNames(const std::string &kind)
{
    std::vector<std::string> names;
    this->run([&] { names = this->store.names(kind); });
    return names;
}

void ServingStandin::setStoreBehavior(StoreBehavior behavior)
{
    this->run([&] { this->store.setBehavior(behavior); });
}

void ServingStandin::withStore(const std::function<void(RestorableStore &)> &task)
{
    this->run([&] { task(this->store); });
}

void ServingStandin::addServer(int index, const std::string &service, const std::string &domain,
                               const std::string &address, absl::Duration coldFor)
{
    this->run([&] {
        Server &server = this->servers[index];
        server.coldUntil = absl::Now() + coldFor;
        server.name = serverName(index);
        server.owner = this;
        server.index = index;
        server.service = service;
        server.domain = domain;
        server.address = address;
        server.startedMs = kFirstStartMs + index;
        this->startServer(server);
    });
}

void ServingStandin::startServer(Server &server)
{
    server.restartsAt = absl::InfiniteFuture();
    this->acceptConnections(server);
    server.sequence = 0;
    this->listServer(server, "ready");
}

void ServingStandin::acceptConnections(Server &server)
{
    server.listener = listenAt(
        this->base, this->serverAddress(server.index),
        [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *object) {
            const Server *own = static_cast<Server *>(object);
            own->owner->accept(socket, own->index);
        },
        &server);
}

void ServingStandin::listServer(Server &server, const std::string &state)
{
    const absl::Duration coldLeft = std::max(absl::ZeroDuration(), server.coldUntil - absl::Now());
    const Json spec = {{"Service", server.service},
                       {"Address", server.address},
                       {"Zone", server.domain},
                       {"Slots", 16},
                       {"State", state},
                       {"ColdLeftMs", absl::ToInt64Milliseconds(coldLeft)},
                       {"born", server.startedMs},
                       {"Sequence", ++server.sequence}};
    this->store.put(std::string(platform::kServerKind), server.name, spec.dump());
}

void ServingStandin::startDraining(int index)
{
    this->run([&] { this->listServer(this->servers.at(index), "draining"); });
}

void ServingStandin::crash(Server &server)
{
    evconnlistener_free(server.listener);
    server.listener = nullptr;
    server.restartsAt = absl::Now() + this->restartDelay;
    this->recordedCrashes.push_back(absl::Now());
    server.startedMs += kRestartIncrementMs;
    std::vector<InboundConnection *> open;
    for (const auto &[connection, index] : this->serverOf) {
        if (index == server.index)
            open.push_back(connection);
    }
    for (InboundConnection *connection : open) {
        this->removeWatchesAndStreams(*connection);
        connection->abort();
    }
}

void ServingStandin::restartCrashedServers(absl::Time now)
{
    for (auto &[index, server] : this->servers) {
        if (server.restartsAt <= now)
            this->startServer(server);
    }
}

void ServingStandin::setCrashingBody(const std::string &body, absl::Duration delay)
{
    this->run([&] {
        this->crashingBody = body;
        this->restartDelay = delay;
    });
}

void ServingStandin::setCrashingPart(const std::string &id, absl::Duration delay)
{
    this->run([&] {
        this->crashingPart = id;
        this->restartDelay = delay;
    });
}

std::vector<absl::Time> ServingStandin::crashTimes()
{
    std::vector<absl::Time> result;
    this->run([&] { result = this->recordedCrashes; });
    return result;
}

bool ServingStandin::hasCrashingPart(const ServerArrival &arrival) const
{
    const std::vector<std::string> entries = absl::StrSplit(arrival.promptParts, ',');
    return !this->crashingPart.empty()
        && std::any_of(entries.begin(), entries.end() - 1, [this](const std::string &entry) {
               return entry.substr(0, entry.find(':')) == this->crashingPart;
           });
}

void ServingStandin::setServerBehavior(int index, ServerBehavior behavior)
{
    this->run([&] { this->servers.at(index).behavior = behavior; });
}

void ServingStandin::setRateLimit(int index, std::optional<double> requestsPerSecond)
{
    this->run([&] { this->servers.at(index).rateLimit = requestsPerSecond; });
}

absl::Time ServingStandin::rateLimitNamedAt(int index)
{
    absl::Time result;
    this->run([&] { result = this->servers.at(index).rateLimitNamedAt; });
    return result;
}

std::vector<absl::Time> ServingStandin::requestTimes(int index)
{
    std::vector<absl::Time> times;
    this->run([&] {
        for (const ServerArrival &arrival : this->recordedArrivals) {
            if (arrival.server == serverName(index))
                times.push_back(arrival.at);
        }
        for (const ReservationCommand &command : this->recordedCommands) {
            if (command.server == serverName(index))
                times.push_back(command.at);
        }
    });
    std::sort(times.begin(), times.end());
    return times;
}

HttpHeaders ServingStandin::serverHeaders(Server &server)
{
    HttpHeaders headers;
    if (server.behavior == ServerBehavior::AnnounceDraining)
        headers.add("Server-Leaving", "1");
    if (server.rateLimit) {
        server.rateLimitNamedAt = std::min(server.rateLimitNamedAt, absl::Now());
        headers.add("Server-Limit", absl::StrCat(*server.rateLimit));
    }
    return headers;
}

HttpHeaders ServingStandin::replyHeaders(Server &server, const ServerArrival &arrival,
                                         std::string_view contentType)
{
    HttpHeaders headers = this->serverHeaders(server);
    headers.add("Attempt-Id", arrival.callId);
    headers.add("Response-Seal", arrival.server);
    headers.add("Content-Type", contentType);
    return headers;
}

void ServingStandin::restart(int index)
{
    this->run([&] {
        Server &server = this->servers.at(index);
        this->crash(server);
        this->startServer(server);
    });
}

void ServingStandin::becomeUnresponsive(int index)
{
    this->run([&] {
        this->hangConnections(this->servers.at(index));
        std::erase_if(this->streams, [&](const Stream &stream) {
            return this->serverOf.at(stream.connection) == index;
        });
    });
}

void ServingStandin::hangConnections(Server &server)
{
    evconnlistener_free(server.listener);
    server.listener = nullptr;
    sockaddr_in address {};
    parseAddress(this->serverAddress(server.index), address);
    const auto *target = reinterpret_cast<const sockaddr *>(&address);
    const int reuse = 1;
    server.unresponsiveListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::setsockopt(server.unresponsiveListener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    // While the accept backlog is full, the kernel drops SYN packets, so connections hang.
    if (::bind(server.unresponsiveListener, target, sizeof address) != 0
        || ::listen(server.unresponsiveListener, 0) != 0)
        throw std::runtime_error("cannot make a server unresponsive");
    server.backlogFiller = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    static_cast<void>(::connect(server.backlogFiller, target, sizeof address));
}

void ServingStandin::cutOff(int index, absl::Duration time)
{
    this->run([&] {
        Server &server = this->servers.at(index);
        server.silentUntil = absl::Now() + time;
        server.reachableAt = server.silentUntil;
        this->hangConnections(server);
    });
}

void ServingStandin::endCuts(absl::Time now)
{
    for (auto &[index, server] : this->servers) {
        if (server.reachableAt > now)
            continue;
        server.reachableAt = absl::InfiniteFuture();
        this->resumeConnections(server);
    }
}

void ServingStandin::resumeConnections(Server &server)
{
    ::close(std::exchange(server.backlogFiller, -1));
    // The socket goes on listening, since connections must not be refused in between.
    server.listener = evconnlistener_new(
        this->base,
        [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *object) {
            const Server *own = static_cast<Server *>(object);
            own->owner->accept(socket, own->index);
        },
        &server, LEV_OPT_CLOSE_ON_FREE, SOMAXCONN, server.unresponsiveListener);
    evutil_make_socket_nonblocking(std::exchange(server.unresponsiveListener, -1));
}

void ServingStandin::becomeResponsive(int index, bool hasRestarted)
{
    this->run([&] {
        Server &server = this->servers.at(index);
        this->resumeConnections(server);
        if (!hasRestarted)
            return;
        server.startedMs += kRestartIncrementMs;
        server.sequence = 0;
        this->listServer(server, "ready");
    });
}

void ServingStandin::fallSilent(int index, absl::Duration time)
{
    this->run([&] { this->servers.at(index).silentUntil = absl::Now() + time; });
}

void ServingStandin::endSilences(absl::Time now)
{
    for (auto &[index, server] : this->servers) {
        if (server.silentUntil > now)
            continue;
        std::vector<InboundConnection *> unanswered;
        unanswered.swap(server.unanswered);
        for (InboundConnection *connection : unanswered)
            this->answerCall(*connection, server);
    }
}

void ServingStandin::setPrefillTime(absl::Duration time)
{
    this->run([&] { this->prefillTime = time; });
}

void ServingStandin::setIdleDrop(absl::Duration time)
{
    this->run([&] { this->idleDrop = time; });
}

void ServingStandin::setOrderDelay(absl::Duration time)
{
    this->run([&] { this->orderDelay = time; });
}

std::int64_t ServingStandin::startedMs(int index)
{
    std::int64_t result = 0;
    this->run([&] { result = this->servers.at(index).startedMs; });
    return result;
}

std::vector<ServerArrival> ServingStandin::arrivals()
{
    std::vector<ServerArrival> result;
    this->run([&] { result = this->recordedArrivals; });
    return result;
}

std::vector<ReservationCommand> ServingStandin::reservationCommands()
{
    std::vector<ReservationCommand> result;
    this->run([&] { result = this->recordedCommands; });
    return result;
}

int ServingStandin::storeCalls()
{
    int result = 0;
    this->run([&] { result = this->store.calls(); });
    return result;
}

void ServingStandin::accept(int socket, int server)
{
    InboundEvents &events = *this;
    InboundLimits limits;
    limits.idleTimeout = absl::Minutes(10);
    this->connections.push_back(
        std::make_unique<InboundConnection>(this->base, socket, events, limits));
    if (server < 0)
        return;
    this->serverOf[this->connections.back().get()] = server;
    this->sockets[this->connections.back().get()] = socket;
}

void ServingStandin::onTick()
{
    this->tick.start(kTickInterval);
    const absl::Time now = absl::Now();
    this->runTasks();
    this->restartCrashedServers(now);
    this->endCuts(now);
    this->endSilences(now);
    this->advanceStreams(now);
    this->sendDelayedResponses(now);
    this->crashServersOfStreams(now);
    for (const auto &[connection, server] : this->serverOf) {
        if (connection->isIdle())
            this->idleSince.try_emplace(connection, now);
        else
            this->idleSince.erase(connection);
    }
    this->store.onTick(now);
    std::erase_if(this->connections, [this](const auto &connection) {
        return std::find(this->closed.begin(), this->closed.end(), connection.get())
            != this->closed.end();
    });
    this->closed.clear();
}

void ServingStandin::onRequestHead(InboundConnection &)
{ }

void ServingStandin::onRequestComplete(InboundConnection &connection)
{
    const auto found = this->serverOf.find(&connection);
    if (found == this->serverOf.end())
        this->store.onRequest(connection, absl::Now());
    else if (!this->resetIfDropped(connection))
        this->answerCall(connection, this->servers.at(found->second));
}

bool ServingStandin::resetIfDropped(InboundConnection &connection)
{
    const auto idle = this->idleSince.find(&connection);
    if (idle == this->idleSince.end())
        return false;
    const absl::Duration idleTime = absl::Now() - idle->second;
    this->idleSince.erase(idle);
    if (idleTime <= this->idleDrop)
        return false;
    const linger atOnce = {1, 0};
    ::setsockopt(this->sockets.at(&connection), SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
    connection.abort();
    return true;
}

void ServingStandin::sendDelayedResponses(absl::Time now)
{
    std::vector<DelayedResponse> due;
    std::erase_if(this->delayedResponses, [&](const DelayedResponse &response) {
        const Server &server = this->servers.at(this->serverOf.at(response.connection));
        if (response.dueAt > now || server.silentUntil > now)
            return false;
        due.push_back(response);
        return true;
    });
    for (const DelayedResponse &response : due)
        response.connection->answer(response.status, response.headers, response.body);
}

void ServingStandin::answerCall(InboundConnection &connection, Server &server)
{
    // A copy, since a response ends the request.
    const RequestHead head = connection.head();
    if (server.silentUntil > absl::Now()) {
        server.unanswered.push_back(&connection);
        return;
    }
    if (server.unresponsiveListener >= 0)
        return;
    if (head.path == "/order") {
        this->answerReservationCommand(connection, server);
        return;
    }
    if (const std::string *expected = head.headers.find("Expect-Instance");
        expected && *expected != server.name) {
        connection.answer(421, {}, {});
        return;
    }
    ServerArrival arrival;
    arrival.server = server.name;
    arrival.callId = std::string(head.headers.valueOr("Attempt-Id", ""));
    arrival.path = head.target;
    arrival.customer = std::string(head.headers.valueOr("Tenant", ""));
    arrival.body = connection.body();
    arrival.promptParts = std::string(head.headers.valueOr("Prompt-Prefix", ""));
    std::int64_t left = 0;
    if (absl::SimpleAtoi(std::string(head.headers.valueOr("Deadline-Ms", "")), &left))
        arrival.deadline = absl::Milliseconds(left);
    arrival.at = absl::Now();
    const bool isRejectedFirst = this->isRejectedFirst(head, arrival.callId);
    arrival.hasRun = !isRejectedFirst && server.behavior != ServerBehavior::Shed
        && server.behavior != ServerBehavior::ShedWithRetryAfter;
    arrival.startedMs = server.startedMs;
    arrival.gateway = std::string(head.headers.valueOr("X-Gateway", ""));
    arrival.saysDraining = server.behavior == ServerBehavior::AnnounceDraining;
    arrival.requestsPause = server.behavior == ServerBehavior::ShedWithRetryAfter;
    this->recordedArrivals.push_back(arrival);
    if (arrival.hasRun && !this->crashingBody.empty() && arrival.body == this->crashingBody) {
        this->crash(server);
        return;
    }
    const bool isKept = !this->used.insert(&connection).second;
    switch (isRejectedFirst ? ServerBehavior::Shed : server.behavior) {
    case ServerBehavior::ShedWithRetryAfter:
    case ServerBehavior::Shed: {
        HttpHeaders headers = this->serverHeaders(server);
        headers.add("Attempt-Id", arrival.callId);
        headers.add("Not-Executed", "1");
        if (server.behavior == ServerBehavior::ShedWithRetryAfter)
            headers.add("Retry-After", absl::StrCat(absl::ToDoubleSeconds(kRetryAfter)));
        std::int64_t delayMs = 0;
        if (isRejectedFirst
            && absl::SimpleAtoi(std::string(head.headers.valueOr(kRejectHeader, "")), &delayMs))
            this->delayedResponses.push_back(
                {&connection, 503, headers, {}, arrival.at + absl::Milliseconds(delayMs)});
        else
            connection.answer(503, headers, {});
        return;
    }
    case ServerBehavior::FailAfterRunning:
        connection.answer(503, this->replyHeaders(server, arrival, "text/plain"), "failed");
        return;
    case ServerBehavior::Disconnect:
        connection.abort();
        return;
    case ServerBehavior::NoResponse:
        return;
    case ServerBehavior::TruncateBody:
        connection.startStream(200, this->replyHeaders(server, arrival, "text/plain"));
        connection.sendChunk("only a part");
        connection.abort();
        return;
    case ServerBehavior::Oversized:
        connection.answer(200, this->replyHeaders(server, arrival, "text/plain"),
                          std::string(9U << 20, 'x'));
        return;
    case ServerBehavior::NotFound:
        connection.answer(404, this->replyHeaders(server, arrival, "text/plain"), "not found");
        return;
    case ServerBehavior::EmptyStream:
        connection.startStream(200, this->replyHeaders(server, arrival, "text/event-stream"));
        connection.finishStream();
        return;
    case ServerBehavior::RepeatEarlierResponse:
        if (isKept)
            this->repeatEarlierResponse(connection);
        break;
    case ServerBehavior::Serve:
    case ServerBehavior::DisconnectMidStream:
    case ServerBehavior::DisconnectInsideEvent:
    case ServerBehavior::FailResumedStream:
    case ServerBehavior::AnnounceDraining:
    case ServerBehavior::OmitLength:
        break;
    }
    if (head.path.starts_with("/stream") || head.path.starts_with("/long")) {
        this->startStream(connection, arrival, server, head.headers.valueOr("Last-Event-Id", ""));
        int breakAt = 0;
        if (!head.headers.find("Last-Event-Id")
            && absl::SimpleAtoi(std::string(head.headers.valueOr(kBreakHeader, "")), &breakAt))
            this->streams.back().breakAt = breakAt;
        return;
    }
    std::int64_t runMs = 0;
    static_cast<void>(absl::SimpleAtoi(std::string(head.headers.valueOr(kRunHeader, "0")), &runMs));
    const HttpHeaders headers = this->replyHeaders(server, arrival, "text/plain");
    const std::string body = absl::StrCat("done:", arrival.callId, ":", arrival.body);
    if (server.behavior == ServerBehavior::OmitLength)
        this->answerWithoutLength(connection, headers, body);
    else if (runMs > 0)
        this->delayedResponses.push_back(
            {&connection, 200, headers, body, arrival.at + absl::Milliseconds(runMs)});
    else
        connection.answer(200, headers, body);
}

void ServingStandin::answerReservationCommand(InboundConnection &connection, Server &server)
{
    const Json json = Json::parse(connection.body());
    ReservationCommand request;
    request.server = server.name;
    request.reservation = json.at("Id");
    request.isRelease = json.at("Op") == "release";
    request.hold = absl::Milliseconds(json.value("HoldMs", 0));
    request.at = absl::Now();
    this->recordedCommands.push_back(request);
    HttpHeaders headers = this->serverHeaders(server);
    headers.add("Content-Type", "application/json");
    if (this->orderDelay > absl::ZeroDuration() && !request.isRelease)
        this->delayedResponses.push_back(
            {&connection, 200, headers, "{}", request.at + this->orderDelay});
    else
        connection.answer(200, headers, "{}");
}

void ServingStandin::answerWithoutLength(InboundConnection &connection, const HttpHeaders &headers,
                                         const std::string &body)
{
    std::string text = "HTTP/1.1 200 OK\r\n";
    for (const HttpHeader &header : headers.all())
        absl::StrAppend(&text, header.name, ": ", header.value, "\r\n");
    absl::StrAppend(&text, "\r\n", body);
    // An InboundConnection always sends a length; nothing is in its output buffer here.
    if (::send(this->sockets.at(&connection), text.data(), text.size(), MSG_NOSIGNAL)
        != static_cast<ssize_t>(text.size()))
        throw std::runtime_error("cannot send a response without a length");
    connection.abort();
}

bool ServingStandin::isRejectedFirst(const RequestHead &head, const std::string &callId) const
{
    return head.headers.find(kRejectHeader)
        && std::none_of(this->recordedArrivals.begin(), this->recordedArrivals.end(),
                        [&](const ServerArrival &arrival) { return arrival.callId == callId; });
}

void ServingStandin::repeatEarlierResponse(InboundConnection &connection)
{
    const bool isRejection = this->recordedArrivals.size() % 2 == 0;
    HttpHeaders headers;
    if (isRejection)
        headers.add("Not-Executed", "1");
    connection.answer(isRejection ? 503 : 404, headers, kEarlierBody);
}

void ServingStandin::startStream(InboundConnection &connection, const ServerArrival &arrival,
                                 Server &server, std::string_view lastEventId)
{
    Stream stream;
    stream.connection = &connection;
    stream.callId = arrival.callId;
    int last = 0;
    const bool isResumed = absl::SimpleAtoi(std::string(lastEventId), &last);
    if (isResumed)
        stream.next = last + 1;
    if (isResumed && server.behavior == ServerBehavior::FailResumedStream) {
        connection.answer(500, this->replyHeaders(server, arrival, "text/plain"), "failed");
        return;
    }
    stream.breaksInsideEvent = server.behavior == ServerBehavior::DisconnectInsideEvent;
    const bool breaks =
        stream.breaksInsideEvent || server.behavior == ServerBehavior::DisconnectMidStream;
    stream.breakAt = breaks ? stream.next + 3 : 0;
    stream.dueAt = absl::Now() + this->prefillTime;
    if (this->hasCrashingPart(arrival))
        stream.crashesAt = stream.dueAt + kPartCrashDelay;
    connection.startStream(200, this->replyHeaders(server, arrival, "text/event-stream"));
    this->streams.push_back(stream);
}

void ServingStandin::advanceStreams(absl::Time now)
{
    std::vector<InboundConnection *> broken;
    for (Stream &stream : this->streams) {
        const Server &server = this->servers.at(this->serverOf.at(stream.connection));
        if (stream.dueAt > now || server.silentUntil > now)
            continue;
        if (stream.next == stream.breakAt && stream.breaksInsideEvent) {
            stream.breaksInsideEvent = false;
            const std::string event = eventText(stream.callId, stream.next);
            stream.connection->sendChunk(std::string_view(event).substr(0, event.size() / 2));
            stream.dueAt = now + kEventInterval;
            continue;
        }
        if (stream.next == stream.breakAt) {
            broken.push_back(stream.connection);
            continue;
        }
        if (stream.next <= kEvents) {
            stream.connection->sendChunk(eventText(stream.callId, stream.next));
            ++stream.next;
            stream.dueAt = now + kEventInterval;
        }
    }
    std::vector<InboundConnection *> complete;
    for (const Stream &stream : this->streams) {
        if (stream.next > kEvents)
            complete.push_back(stream.connection);
    }
    for (InboundConnection *connection : complete) {
        this->removeWatchesAndStreams(*connection);
        connection->finishStream();
    }
    for (InboundConnection *connection : broken) {
        this->removeWatchesAndStreams(*connection);
        connection->abort();
    }
}

void ServingStandin::crashServersOfStreams(absl::Time now)
{
    std::vector<int> crashing;
    for (const Stream &stream : this->streams) {
        if (stream.crashesAt <= now)
            crashing.push_back(this->serverOf.at(stream.connection));
    }
    for (const int index : crashing) {
        Server &server = this->servers.at(index);
        if (server.listener)
            this->crash(server);
    }
}

void ServingStandin::onCallerGone(InboundConnection &connection)
{
    this->removeWatchesAndStreams(connection);
}

void ServingStandin::onWritable(InboundConnection &)
{ }

void ServingStandin::onRequestRejected(InboundConnection &connection, int status)
{
    connection.answer(status, {}, {});
}

void ServingStandin::onClosed(InboundConnection &connection)
{
    this->removeWatchesAndStreams(connection);
    this->serverOf.erase(&connection);
    this->used.erase(&connection);
    this->sockets.erase(&connection);
    this->idleSince.erase(&connection);
    this->closed.push_back(&connection);
}

void ServingStandin::removeWatchesAndStreams(InboundConnection &connection)
{
    this->store.forget(connection);
    std::erase_if(this->streams,
                  [&](const Stream &stream) { return stream.connection == &connection; });
    std::erase_if(this->delayedResponses, [&](const DelayedResponse &response) {
        return response.connection == &connection;
    });
    for (auto &[index, server] : this->servers)
        std::erase(server.unanswered, &connection);
}

} // namespace foxtailtally
