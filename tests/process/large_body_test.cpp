#include "core/socket_address.h"
#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <fstream>
#include <gtest/gtest.h>
#include <mutex>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace foxtailtally {
namespace {

constexpr int kMebibyte = 1 << 20;
constexpr std::size_t kBodyBytes = std::size_t {4} * kMebibyte;
constexpr std::size_t kPieceBytes = std::size_t {64} << 10;
/** A server reads kPieceBytes of a request in this time, and responds kWorkTime after its end. */
constexpr absl::Duration kServerPieceTime = absl::Milliseconds(6);
constexpr absl::Duration kWorkTime = absl::Milliseconds(500);
/** A slow caller sends kPieceBytes in this time. */
constexpr absl::Duration kCallerPieceTime = absl::Milliseconds(15);
/** Part of the memory that must stay free. */
constexpr double kFreeShare = 0.1;
constexpr int kSlowServers = 4;
constexpr int kEngines = 2;

std::size_t contentLength(const std::string &head)
{
    const std::string name = "Content-Length: ";
    const std::size_t at = head.find(name);
    std::size_t length = 0;
    if (at != std::string::npos
        && !absl::SimpleAtoi(
            head.substr(at + name.size(), head.find("\r\n", at) - at - name.size()), &length))
        throw std::runtime_error("invalid length");
    return length;
}

std::string headerOf(const std::string &head, const std::string &name)
{
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return "";
    const std::size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

int openSocket(const std::string &address, sockaddr_in &parsed)
{
    if (!parseAddress(address, parsed))
        throw std::runtime_error("invalid address " + address);
    return ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

/** Backend servers that read requests slowly, keep none of them, and run each for kWorkTime. */
class SlowServers
{
public:
    explicit SlowServers(const std::vector<std::string> &addresses)
    {
        for (const std::string &address : addresses) {
            sockaddr_in own {};
            const int listener = openSocket(address, own);
            const int reuse = 1;
            ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
            if (::bind(listener, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0
                || ::listen(listener, 64) != 0)
                throw std::runtime_error("cannot listen on " + address);
            this->threads.emplace_back([this, listener] { this->accept(listener); });
        }
    }
    ~SlowServers()
    {
        this->isStopping = true;
        for (std::thread &thread : this->threads)
            thread.join();
    }
    SlowServers(const SlowServers &) = delete;
    SlowServers &operator=(const SlowServers &) = delete;

    /** Ids of the calls that a server has read completely. */
    std::set<std::string> ran()
    {
        const std::lock_guard lock(this->mutex);
        return this->completed;
    }

private:
    void accept(int listener)
    {
        std::vector<std::thread> connections;
        while (!this->isStopping) {
            pollfd waiting {listener, POLLIN, 0};
            if (::poll(&waiting, 1, 20) <= 0)
                continue;
            const int socket = ::accept(listener, nullptr, nullptr);
            connections.emplace_back([this, socket] {
                while (this->serve(socket)) { }
                ::close(socket);
            });
        }
        for (std::thread &connection : connections)
            connection.join();
        ::close(listener);
    }

    bool receive(int socket, std::string &text)
    {
        std::array<char, kPieceBytes> piece {};
        while (!this->isStopping) {
            pollfd waiting {socket, POLLIN, 0};
            if (::poll(&waiting, 1, 20) <= 0)
                continue;
            const ssize_t size = ::recv(socket, piece.data(), piece.size(), 0);
            if (size <= 0)
                return false;
            text.append(piece.data(), static_cast<std::size_t>(size));
            return true;
        }
        return false;
    }

    bool serve(int socket)
    {
        std::string text;
        while (text.find("\r\n\r\n") == std::string::npos) {
            if (!this->receive(socket, text))
                return false;
        }
        const std::string head = text.substr(0, text.find("\r\n\r\n") + 4);
        std::size_t left = contentLength(head) - (text.size() - head.size());
        while (left > 0) {
            std::string piece;
            if (!this->receive(socket, piece))
                return false;
            left -= piece.size();
            absl::SleepFor(kServerPieceTime * (static_cast<double>(piece.size()) / kPieceBytes));
        }
        const std::string call = headerOf(head, "Attempt-Id");
        {
            const std::lock_guard lock(this->mutex);
            this->completed.insert(call);
        }
        absl::SleepFor(kWorkTime);
        const std::string reply =
            absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", call,
                         "\r\nResponse-Seal: a\r\nContent-Length: 2\r\n\r\nok");
        return ::send(socket, reply.data(), reply.size(), MSG_NOSIGNAL)
            == static_cast<ssize_t>(reply.size());
    }

    std::atomic<bool> isStopping = false;
    std::mutex mutex;
    std::set<std::string> completed;
    std::vector<std::thread> threads;
};

/** Sends a request with a body of kBodyBytes, with a pause of @p pieceTime behind each piece, and
 * reads the response. */
std::string callWithLargeBody(const std::string &address, const std::string &head,
                              absl::Duration pieceTime)
{
    static const std::string piece(kPieceBytes, 'b');
    sockaddr_in peer {};
    const int socket = openSocket(address, peer);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) != 0)
        return "";
    bool isOpen = ::send(socket, head.data(), head.size(), MSG_NOSIGNAL) > 0;
    for (std::size_t sent = 0; isOpen && sent < kBodyBytes; sent += kPieceBytes) {
        isOpen = ::send(socket, piece.data(), piece.size(), MSG_NOSIGNAL)
            == static_cast<ssize_t>(piece.size());
        absl::SleepFor(pieceTime);
    }
    std::string received;
    std::array<char, 4096> buffer {};
    while (received.find("\r\n\r\n") == std::string::npos) {
        pollfd waiting {socket, POLLIN, 0};
        const ssize_t size =
            ::poll(&waiting, 1, 6000) > 0 ? ::recv(socket, buffer.data(), buffer.size(), 0) : 0;
        if (size <= 0)
            break;
        received.append(buffer.data(), static_cast<std::size_t>(size));
    }
    ::close(socket);
    return received;
}

int peakMebibytes(const ChildProcess &process)
{
    std::ifstream status(absl::StrCat("/proc/", process.id(), "/status"));
    std::string word;
    int kibibytes = 0;
    while (status >> word) {
        if (word == "VmHWM:")
            status >> kibibytes;
    }
    return kibibytes / 1024;
}

struct Load
{
    int memoryMebibytes;
    int callers;
};

class LargeBody : public testing::TestWithParam<Load>
{
protected:
    LargeBody()
        : deployment(1)
        , servers(this->serverAddresses())
    {
        this->deployment.configure(1, {"key-1"}, 154000.0, kBodyBytes);
        ServingStandin &platform = this->deployment.platform();
        for (int index = 0; index < kSlowServers + kEngines; ++index) {
            const bool isEngine = index >= kSlowServers;
            platform.addServer(index, isEngine ? "engine" : "desk", "d0",
                               isEngine ? platform.serverAddress(index)
                                        : this->serverAddresses()[static_cast<std::size_t>(index)]);
        }
        this->deployment.setMemory(GetParam().memoryMebibytes);
        this->deployment.start(0);
    }

    std::vector<std::string> serverAddresses() const
    {
        std::vector<std::string> result;
        for (int index = 0; index < kSlowServers; ++index)
            result.push_back(this->deployment.spareHost(index) + ":8300");
        return result;
    }
    void callLarge(int number)
    {
        const std::string id = absl::StrCat("large-", number);
        const std::string head =
            absl::StrCat("POST /act/a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: ", id,
                         "\r\nKey: key-1\r\nContent-Length: ", kBodyBytes, "\r\n\r\n");
        const bool isSlow = number % 2 != 0;
        const std::string answer =
            callWithLargeBody(this->deployment.callerAddress(0), head,
                              isSlow ? kCallerPieceTime : absl::ZeroDuration());
        const std::lock_guard lock(this->mutex);
        if (answer.starts_with("HTTP/1.1 200"))
            ++this->served;
        else if (answer.starts_with("HTTP/1.1 503")
                 && answer.find("\r\nRetry-After: ") != std::string::npos)
            this->refused.push_back(id);
        else
            this->unanswered.push_back(id + ": " + answer.substr(0, answer.find("\r\n")));
    }
    CallerAnswer callSmall(int number) const
    {
        CallerRequest request;
        request.address = this->deployment.callerAddress(0);
        request.path = "/stream/a";
        request.body = "small";
        request.headers = {absl::StrCat("Attempt-Id: small-", number), "Key: key-1",
                           "Token-Usage: 1000,100"};
        return callGateway(request);
    }

    GatewayDeployment deployment;
    SlowServers servers;
    std::mutex mutex;
    int served = 0;
    std::vector<std::string> refused;
    std::vector<std::string> unanswered;
};

// Guards against bodies that take an instance above its memory, so that the platform ends it and
// the requests that it has sent to servers get no answer.
TEST_P(LargeBody, NeitherExceedTheMemoryNorStayUnanswered)
{
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    std::atomic<bool> isDone = false;
    std::thread small([&] {
        for (int number = 0; !isDone; ++number) {
            const CallerAnswer answer = this->callSmall(number);
            EXPECT_EQ(answer.status, 200) << answer.body;
            EXPECT_TRUE(answer.isComplete);
        }
    });
    std::vector<std::thread> callers;
    for (int number = 0; number < GetParam().callers; ++number)
        callers.emplace_back([this, number] { this->callLarge(number); });
    for (std::thread &caller : callers)
        caller.join();
    isDone = true;
    small.join();
    const int peak = peakMebibytes(this->deployment.process(0));
    EXPECT_GT(peak, 0);
    EXPECT_LT(peak, GetParam().memoryMebibytes * (1.0 - kFreeShare));
    EXPECT_GT(this->served, 0);
    EXPECT_TRUE(this->unanswered.empty())
        << this->unanswered.size() << ", first " << this->unanswered.front();
    const std::set<std::string> ran = this->servers.ran();
    for (const std::string &id : this->refused)
        EXPECT_FALSE(ran.contains(id)) << id << " was refused as not run";
    std::cout << "peak " << peak << " MiB, served " << this->served << ", refused "
              << this->refused.size() << ", unanswered " << this->unanswered.size() << '\n';
}

INSTANTIATE_TEST_SUITE_P(Memory, LargeBody,
                         testing::Values(Load {260, 17}, Load {260, 100}, Load {160, 17},
                                         Load {160, 100}));

} // namespace
} // namespace foxtailtally
