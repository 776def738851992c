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

/** A received request with its complete body. Header names are in lower case. */
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
    /** Queues @p data; returns false when the peer has disconnected or the body has ended. */
    virtual bool write(std::string_view data) = 0;
    /** Ends the body after the queued data. */
    virtual void close() = 0;
    /** Closes the connection without ending the body; the peer sees a truncated response. */
    virtual void abort() = 0;
    /** Queued bytes that have not been handed to the connection yet. */
    virtual std::size_t pending() const = 0;
    virtual bool isPeerDisconnected() const = 0;
};

/** One request waiting for its response. Thread-safe; hold it by shared pointer. */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;
    virtual const HttpRequest &request() const = 0;
    /** Moves the body out of the request, so that it can be freed early. */
    virtual std::string takeBody() = 0;
    /** Sends the complete response. Only the first of respond() and startStream() has an effect. */
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
    /** 0 selects a free port; see HttpServer::port(). */
    std::uint16_t port = 0;
    int threads = 2;
    int maxConnections = 4096;
    /** Requests with larger bodies get 413, and the body is not stored. */
    std::size_t maxBodyBytes = std::size_t {8} << 20;
    /** Limit for the sum of all buffered request bodies; requests beyond it get 503. */
    std::size_t maxBufferedBytes = std::size_t {64} << 20;
    /** A connection without any progress for this long is closed. */
    absl::Duration idleTimeout = absl::Seconds(30);
    /** A body must have arrived within this time after the head, otherwise 408. */
    absl::Duration bodyTimeout = absl::Seconds(20);
};

/** HTTP server based on libmicrohttpd. The handler must not block; it may respond later. */
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
    /** Closes each connection after its next response, so that callers move to other instances. */
    void startDraining();
    /** Stops accepting connections; open exchanges and idle connections continue. */
    void stopListening();
    /** Time of the latest request; idle connections can still send some after stopListening(). */
    absl::Time lastRequestAt() const;
    /** Exchanges whose response is not complete. */
    std::size_t openExchanges() const;

private:
    class Implementation;
    explicit HttpServer(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation;
};

} // namespace foxtailtally
