#include "peers/http/http_exchange.h"

#include "core/lock.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <utility>

namespace foxtailtally {

namespace {

constexpr std::size_t kStreamBlockBytes = 16384;

void addHeaders(MHD_Response *response, const HttpResponse &answer)
{
    MHD_add_response_header(response, "Content-Type", answer.contentType.c_str());
    for (const auto &[name, value] : answer.headers)
        MHD_add_response_header(response, name.c_str(), value.c_str());
}

} // namespace

MicrohttpdExchange::MicrohttpdExchange(MHD_Connection *connection, int socket, absl::Time startedAt,
                                       const std::atomic<bool> &draining)
    : connection(connection)
    , socket(socket)
    , startedAt(startedAt)
    , draining(draining)
{ }

MicrohttpdExchange::~MicrohttpdExchange()
{
    pthread_mutex_destroy(&this->mutex);
}

std::string MicrohttpdExchange::takeBody()
{
    return std::exchange(this->received.body, {});
}

void MicrohttpdExchange::respond(HttpResponse response)
{
    const Lock lock(this->mutex);
    if (this->answerReady || this->phase == Phase::Completed)
        return;
    this->answer = std::move(response);
    this->answerReady = true;
    this->resumeLocked();
}

std::shared_ptr<HttpBodyWriter> MicrohttpdExchange::startStream(HttpResponse head)
{
    const Lock lock(this->mutex);
    if (!this->answerReady && this->phase != Phase::Completed) {
        this->answer = std::move(head);
        this->answerReady = true;
        this->streaming = true;
        this->resumeLocked();
    }
    return shared_from_this();
}

void MicrohttpdExchange::setDisconnectHandler(std::function<void()> handler)
{
    {
        const Lock lock(this->mutex);
        if (!this->peerDisconnected) {
            this->disconnectHandler = std::move(handler);
            return;
        }
    }
    // The peer disconnected before the handler was set.
    handler();
}

void MicrohttpdExchange::setDrainHandler(std::function<void()> handler)
{
    const Lock lock(this->mutex);
    this->drainHandler = std::move(handler);
}

bool MicrohttpdExchange::write(std::string_view data)
{
    const Lock lock(this->mutex);
    if (this->peerDisconnected || this->closed || this->aborted)
        return false;
    this->queue.append(data);
    this->resumeLocked();
    return true;
}

void MicrohttpdExchange::close()
{
    const Lock lock(this->mutex);
    this->closed = true;
    this->resumeLocked();
}

void MicrohttpdExchange::abort()
{
    const Lock lock(this->mutex);
    this->aborted = true;
    this->resumeLocked();
}

std::size_t MicrohttpdExchange::pending() const
{
    const Lock lock(this->mutex);
    return this->queue.size() - this->queueOffset;
}

bool MicrohttpdExchange::isPeerDisconnected() const
{
    const Lock lock(this->mutex);
    return this->peerDisconnected;
}

void MicrohttpdExchange::setWaiting()
{
    const Lock lock(this->mutex);
    this->phase = Phase::Waiting;
}

bool MicrohttpdExchange::isReceiving() const
{
    const Lock lock(this->mutex);
    return this->phase == Phase::Receiving;
}

MHD_Result MicrohttpdExchange::continueAnswer()
{
    const Lock lock(this->mutex);
    if (this->answerReady)
        return this->queueAnswer();
    this->suspended = true;
    MHD_suspend_connection(this->connection);
    return MHD_YES;
}

MHD_Result MicrohttpdExchange::queueAnswer()
{
    if (this->answerQueued)
        return MHD_YES;
    this->answerQueued = true;
    this->phase = Phase::Answering;
    MHD_Response *response = nullptr;
    if (this->streaming) {
        auto *holder = new std::shared_ptr<MicrohttpdExchange>(shared_from_this());
        response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, kStreamBlockBytes, readBody,
                                                     holder, releaseBody);
    } else {
        response = MHD_create_response_from_buffer(this->answer.body.size(),
                                                   this->answer.body.data(), MHD_RESPMEM_MUST_COPY);
    }
    addHeaders(response, this->answer);
    if (this->draining.load())
        MHD_add_response_header(response, "Connection", "close");
    const MHD_Result result =
        MHD_queue_response(this->connection, static_cast<unsigned>(this->answer.status), response);
    MHD_destroy_response(response);
    return result;
}

ssize_t MicrohttpdExchange::readBody(void *self, std::uint64_t /*position*/, char *buffer,
                                     std::size_t size)
{
    return (*static_cast<std::shared_ptr<MicrohttpdExchange> *>(self))->fillBuffer(buffer, size);
}

void MicrohttpdExchange::releaseBody(void *self)
{
    delete static_cast<std::shared_ptr<MicrohttpdExchange> *>(self);
}

ssize_t MicrohttpdExchange::fillBuffer(char *buffer, std::size_t size)
{
    std::function<void()> drained;
    std::size_t taken = 0;
    {
        const Lock lock(this->mutex);
        if (this->aborted)
            return MHD_CONTENT_READER_END_WITH_ERROR;
        taken = std::min(size, this->queue.size() - this->queueOffset);
        if (taken == 0 && this->closed)
            return MHD_CONTENT_READER_END_OF_STREAM;
        if (taken == 0) {
            this->suspended = true;
            MHD_suspend_connection(this->connection);
            return 0;
        }
        std::memcpy(buffer, this->queue.data() + this->queueOffset, taken);
        this->queueOffset += taken;
        if (this->queueOffset == this->queue.size()) {
            this->queue.clear();
            this->queueOffset = 0;
        }
        drained = this->drainHandler;
    }
    if (drained)
        drained();
    return static_cast<ssize_t>(taken);
}

void MicrohttpdExchange::onCompleted(bool complete)
{
    bool wasInterrupted = false;
    {
        const Lock lock(this->mutex);
        wasInterrupted =
            !complete && this->phase != Phase::Receiving && this->phase != Phase::Completed;
        this->phase = Phase::Completed;
        this->suspended = false;
        this->peerDisconnected = true;
    }
    if (wasInterrupted)
        this->notifyDisconnect();
    const Lock lock(this->mutex);
    this->disconnectHandler = nullptr;
    this->drainHandler = nullptr;
}

void MicrohttpdExchange::probeDisconnect()
{
    {
        const Lock lock(this->mutex);
        if (!this->suspended || this->phase == Phase::Completed || this->peerDisconnected)
            return;
        char probe = 0;
        const ssize_t received = ::recv(this->socket, &probe, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool alive = received > 0
            || (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR));
        if (alive)
            return;
        this->peerDisconnected = true;
        this->aborted = true;
        if (!this->answerReady) {
            this->answer = HttpResponse {499, "application/json", {}, ""};
            this->answerReady = true;
        }
        this->resumeLocked();
    }
    this->notifyDisconnect();
}

void MicrohttpdExchange::rejectRaw(std::string_view rawResponse)
{
    const Lock lock(this->mutex);
    if (this->phase == Phase::Completed)
        return;
    (void)::send(this->socket, rawResponse.data(), rawResponse.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    ::shutdown(this->socket, SHUT_RDWR);
}

void MicrohttpdExchange::resumeLocked()
{
    if (!this->suspended)
        return;
    this->suspended = false;
    MHD_resume_connection(this->connection);
}

void MicrohttpdExchange::notifyDisconnect()
{
    std::function<void()> handler;
    {
        const Lock lock(this->mutex);
        handler = std::exchange(this->disconnectHandler, nullptr);
    }
    if (handler)
        handler();
}

} // namespace foxtailtally
