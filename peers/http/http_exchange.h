#pragma once

#include "peers/http/http_server.h"

#include <absl/time/time.h>
#include <atomic>
#include <microhttpd.h>
#include <pthread.h>

namespace foxtailtally {

/**
 * State of one request, shared by libmicrohttpd's threads and the threads that respond to it. The
 * connection is suspended while no response or no data is ready; respond() and write() resume it.
 */
class MicrohttpdExchange final : public HttpExchange,
                                 public HttpBodyWriter,
                                 public std::enable_shared_from_this<MicrohttpdExchange>
{
public:
    enum class Phase { Receiving, Waiting, Answering, Completed };

    /** @p draining is read when the response starts; it must outlive the exchange. */
    MicrohttpdExchange(MHD_Connection *connection, int socket, absl::Time startedAt,
                       const std::atomic<bool> &draining);
    ~MicrohttpdExchange() override;
    MicrohttpdExchange(const MicrohttpdExchange &) = delete;
    MicrohttpdExchange &operator=(const MicrohttpdExchange &) = delete;

    // HttpExchange
    const HttpRequest &request() const override { return this->received; }
    std::string takeBody() override;
    void respond(HttpResponse response) override;
    std::shared_ptr<HttpBodyWriter> startStream(HttpResponse head) override;
    void setDisconnectHandler(std::function<void()> handler) override;
    void setDrainHandler(std::function<void()> handler) override;

    // HttpBodyWriter
    bool write(std::string_view data) override;
    void close() override;
    void abort() override;
    std::size_t pending() const override;
    bool isPeerDisconnected() const override;

    // Called by the server.
    HttpRequest &mutableRequest() { return this->received; }
    absl::Time startTime() const { return this->startedAt; }
    /** Marks the request as completely received and passed to the handler. */
    void setWaiting();
    bool isReceiving() const;
    /** Queues the response, or suspends the connection until there is one. */
    MHD_Result continueAnswer();
    /** The request has ended; @p complete tells whether the entire response was sent. */
    void onCompleted(bool complete);
    /** Detects a disconnected peer on a suspended connection, which libmicrohttpd does not poll. */
    void probeDisconnect();
    /** Writes @p rawResponse directly to the socket, bypassing libmicrohttpd, and shuts it down. */
    void rejectRaw(std::string_view rawResponse);

    std::size_t accountedBytes = 0;

private:
    static ssize_t readBody(void *self, std::uint64_t position, char *buffer, std::size_t size);
    static void releaseBody(void *self);

    ssize_t fillBuffer(char *buffer, std::size_t size);
    MHD_Result queueAnswer();
    void resumeLocked();
    void notifyDisconnect();

    MHD_Connection *connection;
    int socket;
    absl::Time startedAt;
    const std::atomic<bool> &draining;
    HttpRequest received;

    mutable pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
    Phase phase = Phase::Receiving;
    bool suspended = false;
    bool answerReady = false;
    bool answerQueued = false;
    bool streaming = false;
    bool closed = false;
    bool aborted = false;
    bool peerDisconnected = false;
    HttpResponse answer;
    std::string queue;
    std::size_t queueOffset = 0;
    std::function<void()> disconnectHandler;
    std::function<void()> drainHandler;
};

} // namespace foxtailtally
