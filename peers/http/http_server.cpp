#include "peers/http/http_server.h"

#include "core/clock.h"
#include "core/lock.h"
#include "core/thread.h"
#include "peers/http/http_exchange.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <microhttpd.h>
#include <netinet/in.h>
#include <unistd.h>
#include <utility>

namespace foxtailtally {

namespace {

constexpr absl::Duration kSweepPeriod = absl::Milliseconds(250);

std::string errorBody(std::string_view type, std::string_view message)
{
    return R"({"error":{"type":")" + std::string(type) + R"(","message":")" + std::string(message)
        + R"(","not_run":true}})";
}

/** Serialized response for a connection on which libmicrohttpd no longer accepts one. */
std::string rawRefusal(std::string_view statusLine, std::string_view type, std::string_view message)
{
    const std::string body = errorBody(type, message);
    return "HTTP/1.1 " + std::string(statusLine)
        + "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

HttpResponse refusal(int status, std::string_view type, std::string_view message)
{
    HttpResponse response;
    response.status = status;
    response.headers.emplace_back("Connection", "close");
    if (status == 503)
        response.headers.emplace_back("Retry-After", "1");
    response.body = errorBody(type, message);
    return response;
}

MHD_Result collectHeader(void *target, MHD_ValueKind /*kind*/, const char *key, const char *value)
{
    std::string name(key);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    auto &map = *static_cast<absl::flat_hash_map<std::string, std::string> *>(target);
    map[name] = value == nullptr ? "" : value;
    return MHD_YES;
}

MHD_Result collectArgument(void *target, MHD_ValueKind /*kind*/, const char *key, const char *value)
{
    auto &map = *static_cast<absl::flat_hash_map<std::string, std::string> *>(target);
    map[key] = value == nullptr ? "" : value;
    return MHD_YES;
}

using ExchangePointer = std::shared_ptr<MicrohttpdExchange>;

} // namespace

std::string_view HttpRequest::header(std::string_view name) const
{
    const auto found = this->headers.find(std::string(name));
    return found == this->headers.end() ? std::string_view() : std::string_view(found->second);
}

std::string_view HttpRequest::argument(std::string_view name) const
{
    const auto found = this->query.find(std::string(name));
    return found == this->query.end() ? std::string_view() : std::string_view(found->second);
}

class HttpServer::Implementation
{
public:
    Implementation(HttpServerOptions options, Handler handler)
        : options(std::move(options))
        , handler(std::move(handler))
    { }
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    ~Implementation()
    {
        this->stopListening();
        this->stopping.store(true);
        this->sweeper.join();
        if (this->daemon != nullptr) {
            this->resumeAll();
            MHD_stop_daemon(this->daemon);
        }
        pthread_mutex_destroy(&this->mutex);
    }

    bool start()
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(this->options.port);
        if (inet_pton(AF_INET, this->options.address.c_str(), &address.sin_addr) != 1)
            return false;
        this->daemon = MHD_start_daemon(
            MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr, onAccess,
            this, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_THREAD_POOL_SIZE,
            static_cast<unsigned>(std::max(2, this->options.threads)), MHD_OPTION_CONNECTION_LIMIT,
            static_cast<unsigned>(this->options.maxConnections), MHD_OPTION_CONNECTION_TIMEOUT,
            static_cast<unsigned>(absl::ToInt64Seconds(this->options.idleTimeout)),
            MHD_OPTION_NOTIFY_COMPLETED, onCompleted, this, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
            MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U, MHD_OPTION_END);
        if (this->daemon == nullptr)
            return false;
        const MHD_DaemonInfo *info = MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT);
        this->boundPort = info == nullptr ? this->options.port : info->port;
        this->sweeper = Thread("http-sweep", [this] { this->sweep(); });
        return true;
    }

    std::uint16_t port() const { return this->boundPort; }

    void stopListening()
    {
        if (this->daemon == nullptr || this->quiesced.exchange(true))
            return;
        const MHD_socket listener = MHD_quiesce_daemon(this->daemon);
        if (listener != MHD_INVALID_SOCKET)
            ::close(listener);
    }

    void startDraining() { this->draining.store(true); }

    absl::Time lastRequestAt() const
    {
        return absl::FromUnixMicros(this->lastRequestMicros.load());
    }

    std::size_t openExchanges() const
    {
        const Lock lock(this->mutex);
        return this->exchanges.size();
    }

private:
    static MHD_Result onAccess(void *self, MHD_Connection *connection, const char *url,
                               const char *method, const char * /*version*/, const char *data,
                               std::size_t *dataSize, void **context)
    {
        auto &server = *static_cast<Implementation *>(self);
        if (*context == nullptr)
            return server.begin(connection, url, method, context);
        const ExchangePointer &exchange = *static_cast<ExchangePointer *>(*context);
        if (*dataSize > 0) {
            const std::size_t size = std::exchange(*dataSize, 0);
            return server.appendBody(*exchange, {data, size});
        }
        if (exchange->isReceiving()) {
            exchange->setWaiting();
            server.handler(exchange);
        }
        return exchange->continueAnswer();
    }

    static void onCompleted(void *self, MHD_Connection * /*connection*/, void **context,
                            MHD_RequestTerminationCode code)
    {
        if (*context == nullptr)
            return;
        const std::unique_ptr<ExchangePointer> holder(static_cast<ExchangePointer *>(*context));
        *context = nullptr;
        (*holder)->onCompleted(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
        static_cast<Implementation *>(self)->removeExchange(*holder);
    }

    MHD_Result begin(MHD_Connection *connection, const char *url, const char *method,
                     void **context)
    {
        const MHD_ConnectionInfo *info =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        const absl::Time now = Clock::now();
        this->lastRequestMicros.store(absl::ToUnixMicros(now));
        auto exchange =
            std::make_shared<MicrohttpdExchange>(connection, info->connect_fd, now, this->draining);
        HttpRequest &request = exchange->mutableRequest();
        request.method = method;
        request.path = url;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, collectHeader, &request.headers);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, collectArgument,
                                  &request.query);
        *context = new ExchangePointer(exchange);
        {
            const Lock lock(this->mutex);
            this->exchanges.insert(exchange);
        }
        const std::size_t length = declaredLength(request);
        if (length > this->options.maxBodyBytes)
            return this->refuseEarly(*exchange,
                                     refusal(413, "request_too_large", "body too large"));
        if (this->bufferedBytes.load() + length > this->options.maxBufferedBytes)
            return this->refuseEarly(*exchange,
                                     refusal(503, "overloaded", "too many bodies in flight"));
        return MHD_YES;
    }

    static std::size_t declaredLength(const HttpRequest &request)
    {
        const std::string text(request.header("content-length"));
        return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
    }

    MHD_Result refuseEarly(MicrohttpdExchange &exchange, HttpResponse response)
    {
        exchange.setWaiting();
        exchange.respond(std::move(response));
        return exchange.continueAnswer();
    }

    MHD_Result appendBody(MicrohttpdExchange &exchange, std::string_view data)
    {
        std::string &body = exchange.mutableRequest().body;
        const bool fits = body.size() + data.size() <= this->options.maxBodyBytes
            && this->bufferedBytes.load() + data.size() <= this->options.maxBufferedBytes;
        if (!fits) {
            exchange.rejectRaw(
                rawRefusal("413 Content Too Large", "request_too_large", "body too large"));
            return MHD_NO;
        }
        body.append(data);
        exchange.accountedBytes += data.size();
        this->bufferedBytes.fetch_add(data.size());
        return MHD_YES;
    }

    void removeExchange(const ExchangePointer &exchange)
    {
        this->bufferedBytes.fetch_sub(exchange->accountedBytes);
        const Lock lock(this->mutex);
        this->exchanges.erase(exchange);
    }

    std::vector<ExchangePointer> openList() const
    {
        const Lock lock(this->mutex);
        return {this->exchanges.begin(), this->exchanges.end()};
    }

    void sweep()
    {
        while (!this->stopping.load()) {
            ::usleep(static_cast<useconds_t>(absl::ToInt64Microseconds(kSweepPeriod)));
            const absl::Time now = Clock::now();
            for (const ExchangePointer &exchange : this->openList()) {
                if (!exchange->isReceiving())
                    exchange->probeDisconnect();
                else if (now - exchange->startTime() > this->options.bodyTimeout)
                    exchange->rejectRaw(
                        rawRefusal("408 Request Timeout", "timeout", "body too slow"));
            }
        }
    }

    void resumeAll()
    {
        for (const ExchangePointer &exchange : this->openList()) {
            exchange->respond(refusal(503, "shutting_down", "server stops"));
            exchange->abort();
        }
    }

    HttpServerOptions options;
    Handler handler;
    MHD_Daemon *daemon = nullptr;
    std::uint16_t boundPort = 0;
    std::atomic<bool> quiesced {false};
    std::atomic<bool> stopping {false};
    std::atomic<bool> draining {false};
    std::atomic<std::int64_t> lastRequestMicros {0};
    std::atomic<std::size_t> bufferedBytes {0};
    mutable pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
    absl::flat_hash_set<ExchangePointer> exchanges;
    Thread sweeper;
};

Result<std::unique_ptr<HttpServer>> HttpServer::start(const HttpServerOptions &options,
                                                      Handler handler)
{
    auto implementation = std::make_unique<Implementation>(options, std::move(handler));
    if (!implementation->start())
        return Error::ConnectionFailed;
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(implementation)));
}

HttpServer::HttpServer(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{ }

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const
{
    return this->implementation->port();
}

void HttpServer::stopListening()
{
    this->implementation->stopListening();
}

void HttpServer::startDraining()
{
    this->implementation->startDraining();
}

absl::Time HttpServer::lastRequestAt() const
{
    return this->implementation->lastRequestAt();
}

std::size_t HttpServer::openExchanges() const
{
    return this->implementation->openExchanges();
}

} // namespace foxtailtally
