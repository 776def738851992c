#pragma once

#include "core/result.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** A received request with its whole body. Header names are in lower case. */
struct HttpRequest
{
    std::string method;
    std::string path;
    absl::flat_hash_map<std::string, std::string> headers;
    absl::flat_hash_map<std::string, std::string> query;
    std::string body;

    /** Value of header @p name, or empty. */
    std::string_view header(std::string_view name) const;
    /** Value of query argument @p name, or empty. */
    std::string_view argument(std::string_view name) const;
};

struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/** Body of a streamed response. Thread-safe. */
class HttpBodyWriter
{
public:
    virtual ~HttpBodyWriter() = default;
    /** Queues @p data; returns false when the reader has gone. */
    virtual bool write(std::string_view data) = 0;
    /** Ends the body after the queued data. */
    virtual void close() = 0;
    /** Ends the connection without a proper end, so that the reader sees a cut response. */
    virtual void abort() = 0;
    /** Bytes queued that the connection has not taken yet. */
    virtual std::size_t pending() const = 0;
    virtual bool isPeerDisconnected() const = 0;
};

/** One request waiting for its response. Thread-safe; keep it by shared pointer. */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;
    virtual const HttpRequest &request() const = 0;
    /** Frees the request's body early. */
    virtual std::string takeBody() = 0;
    /** Sends the whole response. Only the first of respond() and startStream() has an effect. */
    virtual void respond(HttpResponse response) = 0;
    /** Sends the head (without body) and returns the writer of the body. */
    virtual std::shared_ptr<HttpBodyWriter> startStream(HttpResponse head) = 0;
    /** @p handler is called once, on a server thread, if the peer disconnects before the end. */
    virtual void setDisconnectHandler(std::function<void()> handler) = 0;
    /** @p handler is called, on a server thread, whenever the connection took queued data. */
    virtual void setDrainHandler(std::function<void()> handler) = 0;
};

struct HttpServerOptions
{
    std::string address = "127.0.0.1";
    /** 0 lets the system choose; see HttpServer::port(). */
    std::uint16_t port = 0;
    int threads = 2;
    int maxConnections = 4096;
    /** Larger bodies get 413 and are not kept. */
    std::size_t maxBodyBytes = std::size_t {8} << 20;
    /** Sum of all bodies being received; past it a request gets 503. */
    std::size_t maxBufferedBytes = std::size_t {64} << 20;
    /** A connection without any progress for this long is closed. */
    absl::Duration idleTimeout = absl::Seconds(30);
    /** A body must have arrived within this time of the head, else 408. */
    absl::Duration bodyTimeout = absl::Seconds(20);
};

/** HTTP server over libmicrohttpd. The handler must not block; it may respond later. */
class HttpServer
{
public:
    using Handler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

    static Result<std::unique_ptr<HttpServer>> start(const HttpServerOptions &options,
                                                     Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::uint16_t port() const;
    /** Ends each connection with its next response, so that callers move to other instances. */
    void startDraining();
    /** Stops accepting connections; running exchanges and kept connections go on. */
    void stopListening();
    /** Time of the latest request; kept connections bring requests after stopListening(). */
    absl::Time lastRequestAt() const;
    /** Exchanges whose response is not complete. */
    std::size_t openExchanges() const;

private:
    class Implementation;
    explicit HttpServer(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation;
};

} // namespace foxtailtally
