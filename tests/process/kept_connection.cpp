#include "tests/process/kept_connection.h"

#include "core/socket_address.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <array>
#include <http_parser.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtailtally {

namespace {

/** The response that is being received. */
struct Response
{
    CallerAnswer answer;
    bool isComplete = false;
};

Response &responseOf(http_parser *parser)
{
    return *static_cast<Response *>(parser->data);
}

http_parser_settings parserSettings()
{
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_header_field = [](http_parser *parser, const char *data, std::size_t size) {
        responseOf(parser).answer.head.append("\n").append(data, size);
        return 0;
    };
    settings.on_header_value = [](http_parser *parser, const char *data, std::size_t size) {
        responseOf(parser).answer.head.append(": ").append(data, size);
        return 0;
    };
    settings.on_headers_complete = [](http_parser *parser) {
        responseOf(parser).answer.status = parser->status_code;
        return 0;
    };
    settings.on_body = [](http_parser *parser, const char *data, std::size_t size) {
        responseOf(parser).answer.body.append(data, size);
        return 0;
    };
    settings.on_message_complete = [](http_parser *parser) {
        responseOf(parser).isComplete = true;
        http_parser_pause(parser, 1);
        return 0;
    };
    return settings;
}

std::string requestText(const CallerRequest &request)
{
    std::string text = absl::StrCat(request.method, " ", request.path,
                                    " HTTP/1.1\r\nHost: ", request.host, "\r\n");
    for (const std::string &header : request.headers)
        absl::StrAppend(&text, header, "\r\n");
    absl::StrAppend(&text, "Content-Length: ", request.body.size(), "\r\n\r\n", request.body);
    return text;
}

} // namespace

KeptConnection::KeptConnection(std::string address)
    : address(std::move(address))
{ }

KeptConnection::~KeptConnection()
{
    this->close();
}

void KeptConnection::close()
{
    if (this->socket >= 0)
        ::close(this->socket);
    this->socket = -1;
}

bool KeptConnection::connect()
{
    sockaddr_in peer {};
    if (!parseAddress(this->address, peer))
        return false;
    this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(this->socket, reinterpret_cast<sockaddr *>(&peer), sizeof peer) == 0)
        return true;
    this->close();
    return false;
}

CallerAnswer KeptConnection::call(const CallerRequest &request)
{
    const absl::Time begin = absl::Now();
    Response response;
    if (this->socket < 0 && !this->connect())
        return response.answer;
    const std::string text = requestText(request);
    static const http_parser_settings settings = parserSettings();
    http_parser parser;
    http_parser_init(&parser, HTTP_RESPONSE);
    parser.data = &response;
    bool isOpen = ::send(this->socket, text.data(), text.size(), MSG_NOSIGNAL)
        == static_cast<ssize_t>(text.size());
    response.answer.wasClosedByPeer = !isOpen;
    while (isOpen && !response.isComplete) {
        const absl::Duration left = begin + request.limit - absl::Now();
        pollfd readable {this->socket, POLLIN, 0};
        const int events = left <= absl::ZeroDuration()
            ? 0
            : ::poll(&readable, 1, static_cast<int>(absl::ToInt64Milliseconds(left)) + 1);
        if (events <= 0)
            break;
        std::array<char, 16384> buffer {};
        const ssize_t size = ::recv(this->socket, buffer.data(), buffer.size(), 0);
        isOpen = size > 0;
        response.answer.wasClosedByPeer = !isOpen;
        http_parser_execute(&parser, &settings, buffer.data(),
                            static_cast<std::size_t>(std::max<ssize_t>(0, size)));
    }
    response.answer.isComplete = response.isComplete;
    response.answer.took = absl::Now() - begin;
    if (!response.isComplete || http_should_keep_alive(&parser) == 0)
        this->close();
    return response.answer;
}

} // namespace foxtailtally
