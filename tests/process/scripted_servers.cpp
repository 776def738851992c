#include "tests/process/scripted_servers.h"

#include "core/socket_address.h"
#include "tests/http/raw_peer.h"

#include <absl/strings/numbers.h>
#include <absl/time/clock.h>
#include <chrono>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace foxtailtally {

namespace {

constexpr int kPollIntervalMs = 2;
/** Time between ScriptedReply::firstBytes and the rest of the response. */
constexpr std::chrono::milliseconds kPause {20};

/** Bytes read at once by servers that do not read whole bodies. */
constexpr std::size_t kEarlyReadBytes = 4096;

/** Length of the first request in @p text, with its body unless only the head is needed; npos if it
 * is incomplete. */
std::size_t requestLength(const std::string &text, bool needsHeadOnly)
{
    const std::size_t headEnd = text.find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return std::string::npos;
    if (needsHeadOnly)
        return headEnd + 4;
    const std::string name = "\r\nContent-Length: ";
    const std::size_t at = text.find(name);
    std::size_t bodySize = 0;
    if (at < headEnd) {
        const std::size_t begin = at + name.size();
        if (!absl::SimpleAtoi(text.substr(begin, text.find("\r\n", begin) - begin), &bodySize))
            throw std::runtime_error("request with an invalid length: " + text);
    }
    const std::size_t size = headEnd + 4 + bodySize;
    return size <= text.size() ? size : std::string::npos;
}

} // namespace

ScriptedServers::ScriptedServers(const std::vector<std::string> &addresses)
{
    for (const std::string &address : addresses) {
        const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        this->listeners.push_back(listener);
        sockaddr_in own {};
        const int reuse = 1;
        ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
        if (!parseAddress(address, own)
            || ::bind(listener, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0
            || ::listen(listener, 16) != 0)
            throw std::runtime_error("cannot listen on " + address);
    }
    this->thread = std::thread(&ScriptedServers::serve, this);
}

ScriptedServers::~ScriptedServers()
{
    this->isStopping = true;
    this->thread.join();
    for (const int listener : this->listeners)
        ::close(listener);
}

void ScriptedServers::setScript(Script script)
{
    const std::lock_guard lock(this->mutex);
    this->script = std::move(script);
    this->seen.clear();
}

std::vector<std::string> ScriptedServers::requests()
{
    const std::lock_guard lock(this->mutex);
    return this->seen;
}

void ScriptedServers::forgetIdleConnections(absl::Duration time)
{
    const std::lock_guard lock(this->mutex);
    this->maxRest = time;
}

bool ScriptedServers::isForgotten(const Connection &connection)
{
    const std::lock_guard lock(this->mutex);
    return absl::Now() - connection.restsSince > this->maxRest;
}

void ScriptedServers::serve()
{
    std::vector<Connection> connections;
    while (!this->isStopping) {
        std::vector<pollfd> sockets;
        for (const int listener : this->listeners)
            sockets.push_back({listener, POLLIN, 0});
        for (const Connection &connection : connections)
            sockets.push_back({connection.socket, POLLIN, 0});
        ::poll(sockets.data(), sockets.size(), kPollIntervalMs);
        for (const int listener : this->listeners) {
            const int accepted =
                ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (accepted >= 0)
                connections.emplace_back().socket = accepted;
        }
        std::erase_if(connections,
                      [this](Connection &connection) { return !this->advance(connection); });
    }
    for (const Connection &connection : connections)
        ::close(connection.socket);
}

bool ScriptedServers::advance(Connection &connection)
{
    const std::string arrived =
        readAvailable(connection.socket, this->isEarly ? kEarlyReadBytes : std::string::npos);
    if (!arrived.empty() && this->isForgotten(connection)) {
        ++this->forgotten;
        resetConnection(connection.socket);
        return false;
    }
    connection.received += arrived;
    if (connection.pending && absl::Now() >= connection.dueAt) {
        const ScriptedReply reply = *std::exchange(connection.pending, std::nullopt);
        if (!finish(connection, reply))
            return false;
    }
    while (!connection.pending) {
        const std::size_t length = requestLength(connection.received, this->isEarly);
        if (length == std::string::npos)
            break;
        const ScriptedReply reply = this->nextReply(connection.received.substr(0, length));
        connection.received.erase(0, length);
        connection.restsSince = absl::InfiniteFuture();
        if (!reply.firstBytes.empty()) {
            writeAll(connection.socket, reply.firstBytes);
            std::this_thread::sleep_for(kPause);
        }
        if (reply.delay > absl::ZeroDuration()) {
            connection.pending = reply;
            connection.dueAt = absl::Now() + reply.delay;
        } else if (!finish(connection, reply)) {
            return false;
        }
    }
    if (!isClosedByPeer(connection.socket))
        return true;
    ::close(connection.socket);
    return false;
}

bool ScriptedServers::finish(Connection &connection, const ScriptedReply &reply)
{
    writeAll(connection.socket, reply.bytes);
    connection.restsSince = absl::Now();
    if (reply.ending == ScriptedReply::Ending::Keep)
        return true;
    if (reply.ending == ScriptedReply::Ending::CloseThenReset) {
        ::shutdown(connection.socket, SHUT_WR);
        std::this_thread::sleep_for(kPause);
    }
    if (reply.ending == ScriptedReply::Ending::Close)
        ::close(connection.socket);
    else
        resetConnection(connection.socket);
    return false;
}

ScriptedReply ScriptedServers::nextReply(const std::string &request)
{
    const std::lock_guard lock(this->mutex);
    this->seen.push_back(request);
    if (!this->script)
        return {"", ScriptedReply::Ending::Close};
    return this->script(this->seen.size() - 1, request);
}

} // namespace foxtailtally
