#include "rig.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point kStart = Clock::now();

/** The workers' heartbeat and the silence after which the store removes an entry. */
constexpr double kHeartbeat = 1.2;
constexpr double kEntryLifetime = 3 * kHeartbeat;

/** Interval at which a thread that reads notices the end of its process, in milliseconds. */
constexpr int kPollMs = 10;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trimmed(const std::string &text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    if (begin == std::string::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1);
}

sockaddr_in socketAddress(const std::string &host, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1)
        throw std::runtime_error("not an address: " + host);
    return address;
}

Headers parseHeaders(const std::string &head)
{
    Headers headers;
    std::size_t at = head.find("\r\n");
    while (at != std::string::npos && at + 2 < head.size()) {
        const std::size_t end = head.find("\r\n", at + 2);
        const std::string line = head.substr(at + 2, end - at - 2);
        if (const std::size_t colon = line.find(':'); colon != std::string::npos)
            headers.emplace(lower(line.substr(0, colon)), trimmed(line.substr(colon + 1)));
        at = end;
    }
    return headers;
}

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, end - at - 1);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos)
            query[pair.substr(0, equals)] = pair.substr(equals + 1);
        at = end;
    }
    return query;
}

const char *reason(int status)
{
    return status == 200 ? "OK" : status == 503 ? "Service Unavailable" : "Status";
}

} // namespace

double now()
{
    return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void sleepUntil(double time)
{
    std::this_thread::sleep_until(
        kStart + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(time)));
}

void sleepFor(double seconds)
{
    sleepUntil(now() + seconds);
}

Record::Record(const std::string &file)
    : file(file)
{
    std::ofstream(file, std::ios::trunc);
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f s  ", now());
    std::ofstream(this->file, std::ios::app) << time << text << '\n';
}

std::string header(const Headers &headers, const std::string &name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string headerLines(const Headers &headers)
{
    std::string lines;
    for (const auto &[name, value] : headers)
        lines.append(name).append(": ").append(value).append("\r\n");
    return lines;
}

Connection::Connection(int socket)
    : socket(socket)
{
    const int enabled = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

Connection::~Connection()
{
    if (this->endsWithReset) {
        const linger none {1, 0};
        ::setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    }
    ::close(this->socket);
}

bool Connection::fill()
{
    // No thread blocks in a system call for long, so that a crash resets connections at once.
    pollfd waiting {this->socket, POLLIN, 0};
    while (!this->isEnded) {
        if (::poll(&waiting, 1, kPollMs) != 1)
            continue;
        char buffer[16384];
        const ssize_t size = ::recv(this->socket, buffer, sizeof buffer, 0);
        if (size <= 0)
            return false;
        this->input.append(buffer, static_cast<std::size_t>(size));
        return true;
    }
    return false;
}

bool Connection::readRequest(Request &request)
{
    std::size_t end = std::string::npos;
    while ((end = this->input.find("\r\n\r\n")) == std::string::npos) {
        if (!this->fill())
            return false;
    }
    const std::string head = this->input.substr(0, end + 2);
    this->input.erase(0, end + 4);
    request = {};
    const std::string first = head.substr(0, head.find("\r\n"));
    const std::size_t space = first.find(' ');
    request.method = first.substr(0, space);
    request.target = first.substr(space + 1, first.rfind(' ') - space - 1);
    request.headers = parseHeaders(head);
    const std::string length = header(request.headers, "content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (this->input.size() < size) {
        if (!this->fill())
            return false;
    }
    request.body = this->input.substr(0, size);
    this->input.erase(0, size);
    return true;
}

bool Connection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        if (this->isEnded)
            return false;
        const ssize_t size =
            ::send(this->socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

bool Connection::answer(int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason(status) + "\r\n";
    text += headerLines(headers);
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return this->send(text);
}

bool Connection::isClosedByPeer()
{
    char byte = 0;
    const ssize_t size = ::recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return this->isEnded || size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::reset()
{
    this->endsWithReset = true;
    this->isEnded = true;
}

void Connection::shutdown()
{
    this->isEnded = true;
}

Listener::Listener(const std::string &host, int port, Handler handler)
    : host(host)
    , boundPort(port)
    , handler(std::move(handler))
{
    this->open();
}

Listener::~Listener()
{
    this->crash();
    while (*this->active > 0)
        sleepFor(0.005);
}

void Listener::open()
{
    const std::lock_guard lock(this->mutex);
    const int opened = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(opened, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in address = socketAddress(this->host, this->boundPort);
    if (::bind(opened, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || ::listen(opened, 512) != 0)
        throw std::runtime_error("cannot listen at " + this->host);
    socklen_t length = sizeof address;
    ::getsockname(opened, reinterpret_cast<sockaddr *>(&address), &length);
    this->boundPort = ntohs(address.sin_port);
    this->listening = opened;
    this->acceptor = std::thread([this, opened] { this->acceptLoop(opened); });
}

void Listener::acceptLoop(int opened)
{
    while (true) {
        const int accepted = ::accept4(opened, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            return;
        auto connection = std::make_shared<Connection>(accepted);
        {
            const std::lock_guard lock(this->mutex);
            if (this->listening != opened) {
                connection->reset();
                continue;
            }
            this->connections.insert(connection);
        }
        ++*this->active;
        std::thread([this, connection, count = this->active] {
            try {
                this->handler(connection);
            } catch (const std::exception &error) {
                std::cerr << "stand-in: " << error.what() << '\n';
            }
            {
                const std::lock_guard lock(this->mutex);
                this->connections.erase(connection);
            }
            --*count;
        }).detach();
    }
}

void Listener::crash()
{
    std::set<std::shared_ptr<Connection>> open;
    int ended = -1;
    {
        const std::lock_guard lock(this->mutex);
        ended = std::exchange(this->listening, -1);
        open = this->connections;
    }
    if (ended < 0)
        return;
    ::shutdown(ended, SHUT_RDWR);
    this->acceptor.join();
    ::close(ended);
    for (const auto &connection : open)
        connection->reset();
}

Store::Store(const std::string &host)
    : host(host)
{
    this->listener = std::make_unique<Listener>(
        host, 8223,
        [this](const std::shared_ptr<Connection> &connection) { this->serve(connection); });
}

Store::~Store()
{
    {
        const std::lock_guard lock(this->mutex);
        this->isEnding = true;
    }
    this->changed.notify_all();
    this->listener.reset();
}

std::string Store::address() const
{
    return this->host + ":8223";
}

void Store::put(const std::string &kind, const std::string &name, const Json &spec)
{
    const std::lock_guard lock(this->mutex);
    this->change(kind, name, {{"Metadata", {{"Name", name}}}, {"Spec", spec}}, false);
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->objects[kind].find(name);
    if (found != this->objects[kind].end())
        this->change(kind, name, Json(found->second), true);
}

std::vector<std::string> Store::names(const std::string &kind)
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> result;
    for (const auto &[name, object] : this->objects[kind])
        result.push_back(name);
    return result;
}

void Store::change(const std::string &kind, const std::string &name, const Json &object,
                   bool isDeleted)
{
    ++this->revision;
    Json stored = object;
    const auto known = this->objects[kind].find(name);
    const std::int64_t created = known == this->objects[kind].end()
        ? this->revision
        : known->second["Metadata"]["Created"].get<std::int64_t>();
    stored["Metadata"] = {{"Name", name},
                          {"Revision", this->revision},
                          {"Created", created},
                          {"Finalizers", Json::array()},
                          {"Deleting", false}};
    if (!stored.contains("Status"))
        stored["Status"] = nullptr;
    if (isDeleted)
        this->objects[kind].erase(name);
    else
        this->objects[kind][name] = stored;
    this->events.push_back({this->revision, kind, {{"Deleted", isDeleted}, {"Object", stored}}});
    this->changed.notify_all();
}

bool Store::reply(Connection &connection, int status, const Json &body)
{
    return connection.answer(status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
                             body.dump());
}

void Store::serve(const std::shared_ptr<Connection> &connection)
{
    Request request;
    while (connection->readRequest(request)) {
        const std::string path = request.target.substr(0, request.target.find('?'));
        constexpr std::string_view kPrefix = "/objects/";
        if (path.rfind(kPrefix, 0) != 0) {
            this->reply(*connection, 404, Json::object());
            continue;
        }
        const std::string rest = path.substr(kPrefix.size());
        const std::size_t slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
        const auto query = parseQuery(request.target);
        sleepFor(0.004);
        if (request.method != "GET")
            this->write(*connection, request, kind, name);
        else if (!name.empty()) {
            const std::lock_guard lock(this->mutex);
            const auto found = this->objects[kind].find(name);
            if (found == this->objects[kind].end())
                this->reply(*connection, 404, Json::object());
            else
                this->reply(*connection, 200, found->second);
        } else if (query.contains("Watch"))
            this->watch(*connection, kind, query);
        else
            this->list(*connection, kind, query);
    }
}

void Store::list(Connection &connection, const std::string &kind,
                 const std::map<std::string, std::string> &query)
{
    const std::lock_guard lock(this->mutex);
    Json entries = Json::array();
    const auto after = query.find("After");
    for (const auto &[name, object] : this->objects[kind]) {
        if (after == query.end() || name > after->second)
            entries.push_back(object);
    }
    this->reply(connection, 200,
                {{"Entries", entries}, {"More", false}, {"StoreRevision", this->revision}});
}

void Store::watch(Connection &connection, const std::string &kind,
                  const std::map<std::string, std::string> &query)
{
    const std::int64_t from = std::stoll(query.at("Watch"));
    const auto wait = query.find("WaitMs");
    const double until = now() + (wait == query.end() ? 0.0 : std::stod(wait->second) / 1000.0);
    std::unique_lock lock(this->mutex);
    while (true) {
        Json events = Json::array();
        for (const Event &event : this->events) {
            if (event.kind == kind && event.revision > from)
                events.push_back(event.event);
        }
        if (!events.empty() || now() >= until || this->isEnding) {
            this->reply(connection, 200, {{"events", events}, {"StoreRevision", this->revision}});
            return;
        }
        this->changed.wait_for(lock, std::chrono::duration<double>(until - now()));
    }
}

void Store::write(Connection &connection, const Request &request, const std::string &kind,
                  const std::string &pathName)
{
    const std::lock_guard lock(this->mutex);
    const bool isStatus = pathName.ends_with("/status");
    std::string name = isStatus ? pathName.substr(0, pathName.size() - 7) : pathName;
    Json body = request.body.empty() ? Json::object() : Json::parse(request.body);
    if (request.method == "POST")
        name = body.at("Metadata").at("Name").get<std::string>();
    const auto found = this->objects[kind].find(name);
    const bool exists = found != this->objects[kind].end();
    if (request.method == "POST" && exists) {
        this->reply(connection, 409, found->second);
        return;
    }
    if (request.method != "POST" && !exists) {
        this->reply(connection, 404, Json::object());
        return;
    }
    const auto query = parseQuery(request.target);
    std::int64_t expected = 0;
    if (query.contains("Revision"))
        expected = std::stoll(query.at("Revision"));
    else if (body.contains("Metadata") && body["Metadata"].contains("Revision"))
        expected = body["Metadata"]["Revision"].get<std::int64_t>();
    if (exists && expected != 0 && found->second["Metadata"]["Revision"] != expected) {
        this->reply(connection, 409, found->second);
        return;
    }
    if (request.method == "DELETE") {
        const Json object = found->second;
        this->change(kind, name, object, true);
        this->reply(connection, 200, object);
        return;
    }
    Json object = exists ? found->second : Json::object();
    if (isStatus)
        object["Status"] = body.value("Status", Json());
    else
        object["Spec"] = body.value("Spec", Json());
    if (!exists || object != found->second)
        this->change(kind, name, object, false);
    this->reply(connection, request.method == "POST" ? 201 : 200, this->objects[kind][name]);
}

Worker::Worker(Store &store, const std::string &host, const std::string &service,
               const std::string &zone, int slots, Handler handler)
    : store(store)
    , host(host)
    , service(service)
    , zoneName(zone)
    , slots(slots)
    , handler(std::move(handler))
{
    this->listener = std::make_unique<Listener>(
        host, 8080,
        [this](const std::shared_ptr<Connection> &connection) { this->serve(connection); });
    this->start();
}

Worker::~Worker()
{
    {
        const std::lock_guard lock(this->mutex);
        this->isEnding = true;
    }
    for (std::thread &restart : this->restarts)
        restart.join();
    this->listener.reset();
}

std::string Worker::address() const
{
    return this->host + ":8080";
}

std::string Worker::id()
{
    const std::lock_guard lock(this->mutex);
    return this->currentId;
}

bool Worker::isUp()
{
    const std::lock_guard lock(this->mutex);
    return this->isRunning;
}

void Worker::start()
{
    static std::atomic<int> count = 0;
    const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    std::string id;
    {
        const std::lock_guard lock(this->mutex);
        char text[32];
        std::snprintf(text, sizeof text, "i-%010x", 0x7f3a0000 + ++count);
        this->currentId = id = text;
        this->isRunning = true;
    }
    this->store.put("servers", id,
                    {{"Service", this->service},
                     {"Address", this->address()},
                     {"Zone", this->zoneName},
                     {"Version", "v1"},
                     {"Slots", this->slots},
                     {"State", "ready"},
                     {"ColdLeftMs", 0},
                     {"Phase", "colocated"},
                     {"Models", {{{"Name", "m"}, {"Version", 1}, {"Adapters", Json::array()}}}},
                     {"Sequence", 1},
                     {"born", born}});
}

void Worker::crash(double seconds)
{
    std::string ended;
    {
        const std::lock_guard lock(this->mutex);
        if (!this->isRunning || this->isEnding)
            return;
        this->isRunning = false;
        ended = this->currentId;
    }
    this->restarts.emplace_back([this, ended, seconds] {
        const double at = now();
        this->listener->crash();
        const auto waitUntil = [this](double time) {
            while (now() < time) {
                {
                    const std::lock_guard lock(this->mutex);
                    if (this->isEnding)
                        return false;
                }
                sleepFor(0.02);
            }
            return true;
        };
        const double gone = at + kEntryLifetime;
        const double back = at + seconds;
        if (!waitUntil(std::min(gone, back)))
            return;
        if (gone <= back)
            this->store.remove("servers", ended);
        else {
            this->listener->open();
            this->start();
        }
        if (!waitUntil(std::max(gone, back)))
            return;
        if (gone <= back) {
            this->listener->open();
            this->start();
        } else
            this->store.remove("servers", ended);
    });
}

void Worker::serve(const std::shared_ptr<Connection> &connection)
{
    Request request;
    while (connection->readRequest(request)) {
        const std::string own = this->id();
        const std::string load = std::to_string(this->runs) + ",0," + std::to_string(this->slots);
        if (request.target == "/healthz") {
            connection->answer(200, {{"Instance-Id", own}, {"Worker-Load", load}}, "");
            continue;
        }
        if (request.target == "/report") {
            connection->answer(200, {{"Content-Type", "application/json"}},
                               Json({{"Phase", "colocated"},
                                     {"Busy", false},
                                     {"Sequence", 1},
                                     {"Queued", 0},
                                     {"Running", this->runs.load()},
                                     {"KvUsed", 0},
                                     {"KvTotal", 405000},
                                     {"Handles", 0}})
                                   .dump());
            continue;
        }
        if (request.target == "/order") {
            connection->answer(200, {{"Content-Type", "application/json"}}, R"({"Free":405000})");
            continue;
        }
        const std::string expected = header(request.headers, "expect-instance");
        if (!expected.empty() && expected != own) {
            connection->answer(421, {{"Instance-Id", own}}, "");
            continue;
        }
        ++this->runs;
        this->handler(*this, *connection, request);
        --this->runs;
        if (!connection->isOpen())
            return;
    }
}

Headers sealed(const Request &request)
{
    return {{"Attempt-Id", header(request.headers, "attempt-id")},
            {"Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"}};
}

KeptConnection::KeptConnection(const std::string &host, int port)
{
    this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(this->socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    const sockaddr_in address = socketAddress(host, port);
    if (::connect(this->socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        this->close();
}

KeptConnection::~KeptConnection()
{
    this->close();
}

void KeptConnection::close()
{
    if (this->socket >= 0)
        ::close(std::exchange(this->socket, -1));
    this->input.clear();
}

bool KeptConnection::fill(double until, double bytesPerSecond)
{
    pollfd waiting {this->socket, POLLIN, 0};
    const double left = until - now();
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left * 1000) + 1) != 1)
        return false;
    char buffer[16384];
    const ssize_t size = ::recv(this->socket, buffer, sizeof buffer, 0);
    if (size <= 0)
        return false;
    this->input.append(buffer, static_cast<std::size_t>(size));
    if (bytesPerSecond > 0)
        sleepUntil(std::min(until, now() + static_cast<double>(size) / bytesPerSecond));
    return true;
}

Answer KeptConnection::call(const Request &request, double limit, double bytesPerSecond)
{
    Answer answer;
    const double until = now() + limit;
    const auto broken = [&] {
        this->close();
        return answer;
    };
    if (!this->isOpen())
        return answer;
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    text += headerLines(request.headers);
    if (!request.body.empty() || request.method == "POST")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n" + request.body;
    if (::send(this->socket, text.data(), text.size(), MSG_NOSIGNAL)
        != static_cast<ssize_t>(text.size()))
        return broken();
    std::size_t end = std::string::npos;
    while ((end = this->input.find("\r\n\r\n")) == std::string::npos) {
        if (!this->fill(until, bytesPerSecond))
            return broken();
    }
    const std::string head = this->input.substr(0, end + 2);
    this->input.erase(0, end + 4);
    answer.status = std::stoi(head.substr(head.find(' ') + 1, 3));
    answer.headers = parseHeaders(head);
    if (const std::string length = header(answer.headers, "content-length"); !length.empty()) {
        const std::size_t size = std::stoul(length);
        while (this->input.size() < size) {
            if (!this->fill(until, bytesPerSecond))
                return broken();
        }
        answer.body = this->input.substr(0, size);
        this->input.erase(0, size);
    } else {
        for (std::size_t size = 1; size > 0;) {
            std::size_t line = std::string::npos;
            while ((line = this->input.find("\r\n")) == std::string::npos) {
                if (!this->fill(until, bytesPerSecond))
                    return broken();
            }
            size = std::stoul(this->input.substr(0, line), nullptr, 16);
            while (this->input.size() < line + 2 + size + 2) {
                if (!this->fill(until, bytesPerSecond))
                    return broken();
            }
            answer.body += this->input.substr(line + 2, size);
            this->input.erase(0, line + 2 + size + 2);
        }
    }
    answer.isWhole = true;
    if (lower(header(answer.headers, "connection")) == "close")
        this->close();
    return answer;
}

Answer call(const std::string &host, int port, const Request &request, double limit)
{
    return KeptConnection(host, port).call(request, limit);
}

Gateway::Gateway(Options given)
    : options(std::move(given))
{ }

Gateway::~Gateway()
{
    if (this->process <= 0)
        return;
    ::kill(this->process, SIGCONT);
    ::kill(this->process, SIGKILL);
    ::waitpid(this->process, nullptr, 0);
}

void Gateway::start()
{
    const Options &own = this->options;
    const std::string file = own.folder + "/" + own.id + ".conf";
    // What the template deploy/node.ini gives with the fields of a small deployment.
    std::ofstream(file) << "[instance]\nid = " << own.id << "\nfailure_domain = " << own.zone
                        << "\naddress = " << own.host << "\ncaller_address = " << own.host << ":"
                        << kFrontPort << "\nready_address = " << own.host << ":" << kReadyPort
                        << "\ninternal_ports = 7340,7355\nprocessor_cores = 0.25\nmemory = "
                        << own.memoryMb << " MiB\nlink = 1000.0\nfirst_start = "
                        << (own.isFirstStart ? "true" : "false")
                        << "\n\n[store]\naddress = " << own.store
                        << "\n\n[keys]\nrevocation_bound = 5000 ms\n\n[retries]\nratio = 0.2\n"
                           "slack = 100\nwindow = 10 s\n\n[servers]\nheartbeat = 1200 ms\n"
                           "drain_bound = 2000 ms\n\n[cold]\nfactor = 1.5\nslack = 5\n\n[stop]\n"
                           "limit = 8 s\n\n[engines]\norder = objective\n";
    const std::string log = own.folder + "/" + own.id + ".log";
    const std::string path = program();
    this->process = ::fork();
    if (this->process == 0) {
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execl(path.c_str(), path.c_str(), "gateway", "--settings", file.c_str(), nullptr);
        ::_exit(127);
    }
    this->options.isFirstStart = false;
}

void Gateway::signal(int number)
{
    if (this->process > 0)
        ::kill(this->process, number);
}

bool Gateway::isAlive()
{
    if (this->process <= 0)
        return false;
    if (::waitpid(this->process, nullptr, WNOHANG) == 0)
        return true;
    this->process = -1;
    return false;
}

double Gateway::memoryMb() const
{
    std::ifstream status("/proc/" + std::to_string(this->process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:"))
            return std::stod(line.substr(6)) / 1024;
    }
    return 0;
}

bool Gateway::isReady()
{
    Request request;
    request.method = "GET";
    request.target = "/ready";
    request.headers = {{"Host", this->options.host}};
    return call(this->options.host, kReadyPort, request, 1.0).status == 200;
}

void Gateway::waitUntilReady(double limit)
{
    const double until = now() + limit;
    while (!this->isReady()) {
        if (now() > until)
            throw std::runtime_error("a process did not become ready");
        sleepFor(0.1);
    }
}

std::string program()
{
    const char *path = std::getenv("PROGRAM");
    return path ? path : "target/foxtailtally";
}

std::string loopback(int number)
{
    const int pid = ::getpid();
    return "127." + std::to_string(1 + (pid >> 8) % 254) + "." + std::to_string(pid % 256) + "."
        + std::to_string(number);
}

std::string temporaryFolder()
{
    char name[] = "/tmp/review-XXXXXX";
    const char *made = ::mkdtemp(name);
    if (!made)
        throw std::runtime_error("no temporary folder");
    return made;
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

} // namespace rig
