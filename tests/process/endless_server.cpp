#include "tests/process/endless_server.h"

#include "core/clock.h"
#include "core/socket_address.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace foxtailtally {

namespace {

constexpr int kPollMs = 5;
constexpr int kBacklog = 1024;
constexpr std::size_t kBlockBytes = std::size_t {16} << 10;
/** Sent to a connection at a time, so that all connections advance together. */
constexpr int kBlocksAtOnce = 2;
/** Time between two blocks of slow bytes: 160 KiB a second, so that a call has most of what a
 * gateway keeps of one event when its last part arrives. */
constexpr absl::Duration kSlowInterval = absl::Milliseconds(100);

/** Sent once, before the endless part. */
std::string beginningOf(EndlessBytes bytes, const std::string &callId)
{
    std::string head =
        absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", callId, "\r\nResponse-Seal: s\r\n");
    std::string streamHead = head + "Content-Type: text/event-stream\r\n\r\n";
    switch (bytes) {
    case EndlessBytes::HeaderLines:
        return head;
    case EndlessBytes::HeaderLine:
        return head + "X-Long: ";
    case EndlessBytes::BodyWithoutLength:
        return head + "\r\n";
    case EndlessBytes::Chunks:
        return head + "Transfer-Encoding: chunked\r\n\r\n";
    case EndlessBytes::DataLine:
    case EndlessBytes::SlowDataLine:
        return streamHead + "data: ";
    case EndlessBytes::Comments:
        return streamHead;
    case EndlessBytes::InterimResponses:
    case EndlessBytes::NoHttp:
        return "";
    case EndlessBytes::EncodedBody:
        return head + "Content-Encoding: gzip\r\n\r\n";
    }
    return "";
}

/** Sent again and again. */
std::string repeatedPartOf(EndlessBytes bytes)
{
    switch (bytes) {
    case EndlessBytes::HeaderLines:
        return "a: b\r\n";
    case EndlessBytes::Chunks:
        return "10\r\n0123456789abcdef\r\n";
    case EndlessBytes::Comments:
        return ": ping\n\n";
    case EndlessBytes::InterimResponses:
        return "HTTP/1.1 102 Processing\r\nX-Step: 1\r\n\r\n";
    case EndlessBytes::NoHttp:
        return "\1\2\3 no response ";
    case EndlessBytes::HeaderLine:
    case EndlessBytes::BodyWithoutLength:
    case EndlessBytes::DataLine:
    case EndlessBytes::SlowDataLine:
    case EndlessBytes::EncodedBody:
        return "x";
    }
    return "";
}

std::string blockOf(EndlessBytes bytes)
{
    const std::string part = repeatedPartOf(bytes);
    std::string block;
    while (block.size() < kBlockBytes)
        block += part;
    return block;
}

std::string callIdOf(const std::string &request)
{
    const std::string name = "Attempt-Id: ";
    const std::size_t at = request.find(name);
    if (at == std::string::npos)
        return "";
    const std::size_t begin = at + name.size();
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

} // namespace

std::string_view endlessBytesName(EndlessBytes bytes)
{
    switch (bytes) {
    case EndlessBytes::HeaderLines:
        return "HeaderLines";
    case EndlessBytes::HeaderLine:
        return "HeaderLine";
    case EndlessBytes::BodyWithoutLength:
        return "BodyWithoutLength";
    case EndlessBytes::Chunks:
        return "Chunks";
    case EndlessBytes::DataLine:
        return "DataLine";
    case EndlessBytes::SlowDataLine:
        return "SlowDataLine";
    case EndlessBytes::Comments:
        return "Comments";
    case EndlessBytes::InterimResponses:
        return "InterimResponses";
    case EndlessBytes::NoHttp:
        return "NoHttp";
    case EndlessBytes::EncodedBody:
        return "EncodedBody";
    }
    return "";
}

EndlessServer::EndlessServer(const std::string &address, EndlessBytes bytes)
    : bytes(bytes)
    , listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    sockaddr_in own {};
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (!parseAddress(address, own)
        || ::bind(this->listener, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0
        || ::listen(this->listener, kBacklog) != 0)
        throw std::runtime_error("cannot listen on " + address);
    this->thread = std::thread(&EndlessServer::run, this);
}

EndlessServer::~EndlessServer()
{
    this->isStopping = true;
    this->thread.join();
    for (const Connection &connection : this->connections)
        ::close(connection.socket);
    ::close(this->listener);
}

void EndlessServer::run()
{
    while (!this->isStopping) {
        std::vector<pollfd> polled = {{this->listener, POLLIN, 0}};
        const absl::Time now = Clock::now();
        for (const Connection &connection : this->connections) {
            short events = POLLIN;
            if (!connection.pending.empty())
                events = connection.nextBlockAt <= now ? POLLOUT : 0;
            polled.push_back({connection.socket, events, 0});
        }
        if (::poll(polled.data(), polled.size(), kPollMs) <= 0)
            continue;
        std::size_t index = 1;
        for (Connection &connection : this->connections) {
            const short events = polled[index++].revents;
            if ((events & POLLIN) != 0)
                this->receive(connection);
            else if ((events & POLLOUT) != 0)
                this->send(connection);
            else if (events != 0)
                connection.isOver = true;
        }
        this->connections.remove_if([](const Connection &connection) {
            if (connection.isOver)
                ::close(connection.socket);
            return connection.isOver;
        });
        for (int socket = -1;
             (socket = ::accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK)) >= 0;)
            this->connections.push_back({socket, {}, {}});
    }
}

void EndlessServer::receive(Connection &connection)
{
    std::array<char, 4096> buffer {};
    const ssize_t size = ::recv(connection.socket, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
        connection.isOver = true;
        return;
    }
    connection.received.append(buffer.data(), static_cast<std::size_t>(size));
    if (connection.received.find("\r\n\r\n") == std::string::npos)
        return;
    ++this->requestCount;
    connection.pending =
        beginningOf(this->bytes, callIdOf(connection.received)) + blockOf(this->bytes);
}

void EndlessServer::send(Connection &connection)
{
    for (int block = 0; block < kBlocksAtOnce; ++block) {
        const ssize_t size = ::send(connection.socket, connection.pending.data(),
                                    connection.pending.size(), MSG_NOSIGNAL);
        if (size <= 0) {
            connection.isOver = errno != EAGAIN;
            return;
        }
        this->sentCount += static_cast<std::uint64_t>(size);
        connection.pending.erase(0, static_cast<std::size_t>(size));
        if (!connection.pending.empty())
            continue;
        connection.pending = blockOf(this->bytes);
        if (this->bytes != EndlessBytes::SlowDataLine)
            continue;
        connection.nextBlockAt = Clock::now() + kSlowInterval;
        return;
    }
}

} // namespace foxtailtally
