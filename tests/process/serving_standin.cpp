#include "tests/process/serving_standin.h"

#include "core/socket_address.h"
#include "main/gateway/listener.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <algorithm>
#include <event2/event.h>
#include <future>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtailtally {

namespace {

using Json = nlohmann::json;

constexpr absl::Duration kTick = absl::Milliseconds(2);

/** Unix milliseconds at which server 0 first started; the others follow one by one. */
constexpr std::int64_t kFirstStartMs = 1'700'000'000'000;
/** Keeps the starts of different servers apart. */
constexpr std::int64_t kMostServers = 1000;

std::string eventText(const std::string &callId, int number)
{
    return absl::StrCat("id: ", number, "\ndata: ", callId, "-", number, "\n\n");
}

HttpHeaders jsonHeaders()
{
    HttpHeaders headers;
    headers.add("Content-Type", "application/json");
    return headers;
}

HttpHeaders replyHeaders(const ServerArrival &arrival, std::string_view contentType)
{
    HttpHeaders headers;
    headers.add("Attempt-Id", arrival.callId);
    headers.add("Response-Seal", arrival.server);
    headers.add("Content-Type", contentType);
    return headers;
}

void addWishes(HttpHeaders &headers, ServerConduct conduct)
{
    if (conduct == ServerConduct::Leave)
        headers.add("Server-Leaving", "1");
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
    this->tick.start(kTick);
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
        for (const int socket : {server.darkFiller, server.darkListener}) {
            if (socket >= 0)
                ::close(socket);
        }
    }
}

std::string ServingStandin::wholeStream(const std::string &callId)
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
    this->run([&] { this->change(kind, {{name, 0, spec}, false}); });
}

void ServingStandin::removeObject(const std::string &kind, const std::string &name)
{
    this->run([&] { this->change(kind, {{name, 0, "{}"}, true}); });
}

std::vector<std::string> ServingStandin::objectNames(const std::string &kind)
{
    std::vector<std::string> names;
    this->run([&] {
        for (const platform::StoredObject &object : this->kinds[kind].page().objects)
            names.push_back(object.name);
    });
    return names;
}

void ServingStandin::setStoreConduct(StoreConduct conduct)
{
    this->run([&] { this->storeConduct = conduct; });
}

void ServingStandin::addServer(int index, const std::string &service, const std::string &domain,
                               const std::string &address)
{
    this->run([&] {
        Server &server = this->servers[index];
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
    server.returnsAt = absl::InfiniteFuture();
    server.listener = listenAt(
        this->base, this->serverAddress(server.index),
        [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *object) {
            const Server *own = static_cast<Server *>(object);
            own->owner->accept(socket, own->index);
        },
        &server);
    const Json spec = {{"Service", server.service}, {"Address", server.address},
                       {"Zone", server.domain},     {"Slots", 16},
                       {"State", "ready"},          {"born", server.startedMs}};
    this->change(std::string(platform::kServerKind), {{server.name, 0, spec.dump()}, false});
}

void ServingStandin::crash(Server &server)
{
    evconnlistener_free(server.listener);
    server.listener = nullptr;
    server.returnsAt = absl::Now() + this->crashTime;
    server.startedMs += kMostServers;
    std::vector<InboundConnection *> open;
    for (const auto &[connection, index] : this->serverOf) {
        if (index == server.index)
            open.push_back(connection);
    }
    for (InboundConnection *connection : open) {
        this->forget(*connection);
        connection->abort();
    }
}

void ServingStandin::returnServers(absl::Time now)
{
    for (auto &[index, server] : this->servers) {
        if (server.returnsAt <= now)
            this->startServer(server);
    }
}

void ServingStandin::setCrashingBody(const std::string &body, absl::Duration away)
{
    this->run([&] {
        this->crashingBody = body;
        this->crashTime = away;
    });
}

void ServingStandin::setServerConduct(int index, ServerConduct conduct)
{
    this->run([&] { this->servers.at(index).conduct = conduct; });
}

void ServingStandin::restart(int index)
{
    this->run([&] {
        Server &server = this->servers.at(index);
        this->crash(server);
        this->startServer(server);
    });
}

void ServingStandin::goDark(int index)
{
    this->run([&] {
        Server &server = this->servers.at(index);
        evconnlistener_free(server.listener);
        server.listener = nullptr;
        sockaddr_in address {};
        parseAddress(this->serverAddress(index), address);
        const auto *target = reinterpret_cast<const sockaddr *>(&address);
        const int reuse = 1;
        server.darkListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ::setsockopt(server.darkListener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
        // A full queue of new connections drops opening packets.
        if (::bind(server.darkListener, target, sizeof address) != 0
            || ::listen(server.darkListener, 0) != 0)
            throw std::runtime_error("cannot go dark");
        server.darkFiller = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ::connect(server.darkFiller, target, sizeof address);
        std::erase_if(this->streams, [&](const Stream &stream) {
            return this->serverOf.at(stream.connection) == index;
        });
    });
}

void ServingStandin::setReadTime(absl::Duration time)
{
    this->run([&] { this->readTime = time; });
}

std::vector<ServerArrival> ServingStandin::arrivals()
{
    std::vector<ServerArrival> result;
    this->run([&] { result = this->seen; });
    return result;
}

std::vector<MemoryOrder> ServingStandin::memoryOrders()
{
    std::vector<MemoryOrder> result;
    this->run([&] { result = this->orders; });
    return result;
}

int ServingStandin::storeCalls()
{
    int result = 0;
    this->run([&] { result = this->calls; });
    return result;
}

void ServingStandin::accept(int socket, int server)
{
    InboundEvents &events = *this;
    InboundLimits limits;
    limits.idleTime = absl::Minutes(10);
    this->connections.push_back(
        std::make_unique<InboundConnection>(this->base, socket, events, limits));
    if (server >= 0)
        this->serverOf[this->connections.back().get()] = server;
}

void ServingStandin::onTick()
{
    this->tick.start(kTick);
    const absl::Time now = absl::Now();
    this->runTasks();
    this->returnServers(now);
    this->advanceStreams(now);
    std::vector<Watch> over;
    std::erase_if(this->watches, [&](const Watch &watch) {
        if (watch.until > now)
            return false;
        over.push_back(watch);
        return true;
    });
    for (const Watch &watch : over)
        watch.connection->answer(200, jsonHeaders(), platform::encodeChanges({{}, this->revision}));
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
        this->answerStore(connection);
    else
        this->answerCall(connection, this->servers.at(found->second));
}

void ServingStandin::answerStore(InboundConnection &connection)
{
    ++this->calls;
    if (this->storeConduct == StoreConduct::Silent)
        return;
    const RequestHead &head = connection.head();
    const platform::StoreQuery query = platform::parseStoreTarget(head.target);
    if (this->storeConduct == StoreConduct::Refuse || query.kind.empty()) {
        connection.answer(503, {}, {});
        return;
    }
    if (head.method == "POST") {
        this->createObject(connection, query.kind);
        return;
    }
    if (head.method == "DELETE") {
        this->deleteObject(connection, query.kind);
        return;
    }
    const KindCache &kind = this->kinds[query.kind];
    if (!query.watchFrom) {
        platform::ObjectPage page = kind.page();
        page.revision = this->revision;
        connection.answer(200, jsonHeaders(), platform::encodePage(page));
        return;
    }
    const auto changes = kind.changesSince(*query.watchFrom);
    if (!changes)
        connection.answer(410, {}, {});
    else if (!changes->changes.empty())
        connection.answer(200, jsonHeaders(), platform::encodeChanges(*changes));
    else
        this->watches.push_back(
            {&connection, query.kind, *query.watchFrom, absl::Now() + query.wait});
}

void ServingStandin::createObject(InboundConnection &connection, const std::string &kind)
{
    const Json json = Json::parse(connection.body());
    const std::string name = json.at("Metadata").at("Name");
    for (const platform::StoredObject &object : this->kinds[kind].page().objects) {
        if (object.name == name) {
            connection.answer(409, {}, {});
            return;
        }
    }
    connection.answer(200, jsonHeaders(), "{}");
    this->change(kind, {{name, 0, json.at("Spec").dump()}, false});
}

void ServingStandin::deleteObject(InboundConnection &connection, const std::string &path)
{
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    const std::vector<platform::StoredObject> objects = this->kinds[kind].page().objects;
    const bool exists = std::any_of(objects.begin(), objects.end(),
                                    [&name](const auto &object) { return object.name == name; });
    connection.answer(exists ? 200 : 404, jsonHeaders(), "{}");
    if (exists)
        this->change(kind, {{name, 0, "{}"}, true});
}

void ServingStandin::change(const std::string &kind, const platform::ObjectChange &change)
{
    platform::ObjectChange stamped = change;
    stamped.object.revision = ++this->revision;
    KindCache &cache = this->kinds[kind];
    cache.apply({stamped}, this->revision);
    std::vector<Watch> ready;
    std::erase_if(this->watches, [&](const Watch &watch) {
        if (watch.kind != kind)
            return false;
        ready.push_back(watch);
        return true;
    });
    for (const Watch &watch : ready)
        watch.connection->answer(200, jsonHeaders(),
                                 platform::encodeChanges(*cache.changesSince(watch.from)));
}

void ServingStandin::answerCall(InboundConnection &connection, Server &server)
{
    const RequestHead &head = connection.head();
    if (server.darkListener >= 0)
        return;
    if (head.path == "/order") {
        this->answerOrder(connection, server);
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
    std::int64_t left = 0;
    if (absl::SimpleAtoi(std::string(head.headers.valueOr("Deadline-Ms", "")), &left))
        arrival.deadline = absl::Milliseconds(left);
    arrival.at = absl::Now();
    arrival.hasRun =
        server.conduct != ServerConduct::Shed && server.conduct != ServerConduct::ShedWithPause;
    this->seen.push_back(arrival);
    if (arrival.hasRun && !this->crashingBody.empty() && arrival.body == this->crashingBody) {
        this->crash(server);
        return;
    }
    switch (server.conduct) {
    case ServerConduct::ShedWithPause:
    case ServerConduct::Shed: {
        HttpHeaders headers;
        headers.add("Attempt-Id", arrival.callId);
        headers.add("Not-Executed", "1");
        if (server.conduct == ServerConduct::ShedWithPause)
            headers.add("Retry-After", absl::StrCat(absl::ToDoubleSeconds(kPause)));
        connection.answer(503, headers, {});
        return;
    }
    case ServerConduct::FailWithoutMark:
        connection.answer(503, replyHeaders(arrival, "text/plain"), "failed");
        return;
    case ServerConduct::Break:
        connection.abort();
        return;
    case ServerConduct::Silent:
        return;
    case ServerConduct::CutBody:
        connection.startStream(200, replyHeaders(arrival, "text/plain"));
        connection.sendChunk("only a part");
        connection.abort();
        return;
    case ServerConduct::Oversized:
        connection.answer(200, replyHeaders(arrival, "text/plain"), std::string(9U << 20, 'x'));
        return;
    case ServerConduct::Serve:
    case ServerConduct::BreakMidway:
    case ServerConduct::Leave:
        break;
    }
    if (head.path.starts_with("/stream") || head.path.starts_with("/long")) {
        this->startStream(connection, arrival, server.conduct);
        return;
    }
    HttpHeaders headers = replyHeaders(arrival, "text/plain");
    addWishes(headers, server.conduct);
    connection.answer(200, headers, absl::StrCat("done:", arrival.callId, ":", arrival.body));
}

void ServingStandin::answerOrder(InboundConnection &connection, const Server &server)
{
    const Json json = Json::parse(connection.body());
    MemoryOrder order;
    order.server = server.name;
    order.reservation = json.at("Id");
    order.isRelease = json.at("Op") == "release";
    order.hold = absl::Milliseconds(json.value("HoldMs", 0));
    order.at = absl::Now();
    this->orders.push_back(order);
    connection.answer(200, jsonHeaders(), "{}");
}

void ServingStandin::startStream(InboundConnection &connection, const ServerArrival &arrival,
                                 ServerConduct conduct)
{
    Stream stream;
    stream.connection = &connection;
    stream.callId = arrival.callId;
    int last = 0;
    if (absl::SimpleAtoi(std::string(connection.head().headers.valueOr("Last-Event-Id", "")),
                         &last))
        stream.next = last + 1;
    stream.breakAt = conduct == ServerConduct::BreakMidway ? stream.next + 3 : 0;
    stream.dueAt = absl::Now() + this->readTime;
    HttpHeaders headers = replyHeaders(arrival, "text/event-stream");
    addWishes(headers, conduct);
    connection.startStream(200, headers);
    this->streams.push_back(stream);
}

void ServingStandin::advanceStreams(absl::Time now)
{
    std::vector<InboundConnection *> broken;
    for (Stream &stream : this->streams) {
        if (stream.dueAt > now)
            continue;
        if (stream.next == stream.breakAt) {
            broken.push_back(stream.connection);
            continue;
        }
        if (stream.next <= kEvents) {
            stream.connection->sendChunk(eventText(stream.callId, stream.next));
            ++stream.next;
            stream.dueAt = now + kEventPause;
        }
    }
    std::vector<InboundConnection *> complete;
    for (const Stream &stream : this->streams) {
        if (stream.next > kEvents)
            complete.push_back(stream.connection);
    }
    for (InboundConnection *connection : complete) {
        this->forget(*connection);
        connection->finishStream();
    }
    for (InboundConnection *connection : broken) {
        this->forget(*connection);
        connection->abort();
    }
}

void ServingStandin::onCallerGone(InboundConnection &connection)
{
    this->forget(connection);
}

void ServingStandin::onWritable(InboundConnection &)
{ }

void ServingStandin::onRequestRejected(InboundConnection &connection, int status)
{
    connection.answer(status, {}, {});
}

void ServingStandin::onClosed(InboundConnection &connection)
{
    this->forget(connection);
    this->serverOf.erase(&connection);
    this->closed.push_back(&connection);
}

void ServingStandin::forget(InboundConnection &connection)
{
    std::erase_if(this->watches,
                  [&](const Watch &watch) { return watch.connection == &connection; });
    std::erase_if(this->streams,
                  [&](const Stream &stream) { return stream.connection == &connection; });
}

} // namespace foxtailtally
