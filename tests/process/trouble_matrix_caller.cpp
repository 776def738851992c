#include "tests/process/trouble_matrix_caller.h"

#include "core/socket_address.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <array>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtailtally {

namespace {

constexpr int kPollMs = 20;

/** Value of header @p name in @p head; empty when it is absent. */
std::string headerValue(const std::string &head, const std::string &name)
{
    const std::size_t at = head.find(absl::StrCat("\r\n", name, ": "));
    if (at == std::string::npos)
        return "";
    const std::size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find('\r', begin) - begin);
}

} // namespace

MatrixCaller::MatrixCaller(const std::string &address)
    : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in peer {};
    parseAddress(address, peer);
    this->isOver =
        ::connect(this->socket, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) != 0;
}

MatrixCaller::~MatrixCaller()
{
    ::close(this->socket);
}

void MatrixCaller::send(const std::string &text)
{
    // A connection that was closed is noticed when the response is read.
    static_cast<void>(::send(this->socket, text.data(), text.size(), MSG_NOSIGNAL));
}

MatrixAnswer MatrixCaller::read(absl::Time end)
{
    const absl::Time begin = absl::Now();
    MatrixAnswer answer;
    if (this->readHead(end) && this->head.size() > 12
        && absl::SimpleAtoi(this->head.substr(9, 3), &answer.status)) {
        answer.isSigned = absl::StrContains(this->head, "\r\nResponse-Seal: ");
        answer.announcesClose = headerValue(this->head, "Connection") == "close";
        answer.callId = headerValue(this->head, "Attempt-Id");
        std::size_t length = 0;
        if (headerValue(this->head, "Transfer-Encoding") == "chunked")
            answer.isComplete = this->readChunks(answer.body, end);
        else if (absl::SimpleAtoi(headerValue(this->head, "Content-Length"), &length))
            answer.isComplete = this->readBytes(length, answer.body, end);
        else {
            while (this->receive(end)) { }
            answer.isComplete = this->isOver;
            answer.body.swap(this->received);
        }
    }
    answer.wasClosed = this->isOver;
    answer.took = absl::Now() - begin;
    return answer;
}

bool MatrixCaller::receive(absl::Time end)
{
    while (!this->isOver && absl::Now() < end) {
        pollfd readable {this->socket, POLLIN, 0};
        if (::poll(&readable, 1, kPollMs) <= 0)
            continue;
        std::array<char, 8192> buffer {};
        const ssize_t size = ::recv(this->socket, buffer.data(), buffer.size(), 0);
        if (size > 0) {
            this->received.append(buffer.data(), static_cast<std::size_t>(size));
            return true;
        }
        if (size < 0 && errno == EINTR)
            continue;
        this->isOver = true;
    }
    return false;
}

bool MatrixCaller::readHead(absl::Time end)
{
    std::size_t at = 0;
    while ((at = this->received.find("\r\n\r\n")) == std::string::npos) {
        if (!this->receive(end))
            return false;
    }
    this->head = this->received.substr(0, at + 4);
    this->received.erase(0, at + 4);
    return true;
}

bool MatrixCaller::readBytes(std::size_t count, std::string &bytes, absl::Time end)
{
    while (this->received.size() < count) {
        if (!this->receive(end))
            return false;
    }
    bytes.append(this->received, 0, count);
    this->received.erase(0, count);
    return true;
}

bool MatrixCaller::readLine(std::string &line, absl::Time end)
{
    std::size_t at = 0;
    while ((at = this->received.find("\r\n")) == std::string::npos) {
        if (!this->receive(end))
            return false;
    }
    line = this->received.substr(0, at);
    this->received.erase(0, at + 2);
    return true;
}

bool MatrixCaller::readChunks(std::string &body, absl::Time end)
{
    std::string line;
    std::size_t size = 0;
    while (this->readLine(line, end) && absl::SimpleHexAtoi(line, &size)) {
        if (size > 0 && !this->readBytes(size, body, end))
            return false;
        if (!this->readLine(line, end))
            return false;
        if (size == 0)
            return true;
    }
    return false;
}

} // namespace foxtailtally
