#include "peers/http/http_client.h"

#include "core/lock.h"
#include "core/thread.h"
#include "peers/http/http_transfer.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <atomic>

namespace foxtailtally {

namespace {

constexpr std::size_t kMaxReplyBytes = std::size_t {16} << 20;
constexpr long kConnectionsPerThread = 256;
constexpr long kConnectionsPerBlockingCall = 16;
/** Idle sets of connections kept for blocking calls; further ones are closed after use. */
constexpr std::size_t kMaxIdleSets = 64;
/** Longest wait of an idle thread; new and changed calls wake it earlier. */
constexpr int kPollMilliseconds = 1000;

void initializeCurl()
{
    static const CURLcode kResult = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)kResult;
}

struct CurlMultiDeleter
{
    void operator()(CURLM *handle) const { curl_multi_cleanup(handle); }
};
/** A set of connections. */
using CurlMulti = std::unique_ptr<CURLM, CurlMultiDeleter>;

/** Runs the transfer of @p easy to its end on the connections of @p multi. */
CURLcode performOn(CURLM *multi, CURL *easy)
{
    if (curl_multi_add_handle(multi, easy) != CURLM_OK)
        return CURLE_FAILED_INIT;
    int active = 0;
    while (curl_multi_perform(multi, &active) == CURLM_OK && active > 0)
        curl_multi_poll(multi, nullptr, 0, kPollMilliseconds, nullptr);
    CURLcode result = CURLE_FAILED_INIT;
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(multi, &left)) {
        if (message->msg == CURLMSG_DONE)
            result = message->data.result;
    }
    curl_multi_remove_handle(multi, easy);
    return result;
}

/** Collects the reply of a blocking call. */
class ReplyCollector final : public HttpStreamListener
{
public:
    void onStatus(int status) override { this->reply.status = status; }
    void onData(std::string_view data) override
    {
        if (this->reply.body.size() + data.size() > kMaxReplyBytes) {
            this->isTooLarge = true;
            return;
        }
        this->reply.body.append(data);
    }
    void onDone(std::error_code /*error*/) override { }

    HttpReply reply;
    bool isTooLarge = false;
};

/** Runs streamed calls on one thread. */
class Worker
{
public:
    explicit Worker(int number)
        : multi(curl_multi_init())
    {
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, kConnectionsPerThread);
        this->thread = Thread(absl::StrCat("http-client-", number), [this] { this->run(); });
    }
    ~Worker()
    {
        {
            const Lock lock(this->mutex);
            this->isStopping = true;
        }
        curl_multi_wakeup(this->multi);
        this->thread.join();
        curl_multi_cleanup(this->multi);
    }
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    void start(HttpCallId id, std::shared_ptr<HttpTransfer> transfer)
    {
        {
            const Lock lock(this->mutex);
            this->transfers[id] = std::move(transfer);
            this->pendingUpdates.push_back(id);
        }
        curl_multi_wakeup(this->multi);
    }

    /** Applies @p update to the flags of a running call and wakes the thread. */
    template <typename F>
    void update(HttpCallId id, F update)
    {
        {
            const Lock lock(this->mutex);
            const auto found = this->transfers.find(id);
            if (found == this->transfers.end()) {
                return;
            }
            update(*found->second);
            this->pendingUpdates.push_back(id);
        }
        curl_multi_wakeup(this->multi);
    }

private:
    struct ActiveTransfer
    {
        CurlEasy easy;
        std::shared_ptr<HttpTransfer> transfer;
    };

    void run()
    {
        while (true) {
            std::vector<std::pair<HttpCallId, std::shared_ptr<HttpTransfer>>> work;
            {
                const Lock lock(this->mutex);
                if (this->isStopping) {
                    break;
                }
                for (const HttpCallId id : this->pendingUpdates) {
                    const auto found = this->transfers.find(id);
                    if (found != this->transfers.end()) {
                        work.emplace_back(id, found->second);
                    }
                }
                this->pendingUpdates.clear();
            }
            for (const auto &[id, transfer] : work) {
                this->apply(id, transfer);
            }
            int active = 0;
            curl_multi_perform(this->multi, &active);
            this->finishCompleted();
            curl_multi_poll(this->multi, nullptr, 0, kPollMilliseconds, nullptr);
        }
        this->cancelAll();
    }

    void apply(HttpCallId id, const std::shared_ptr<HttpTransfer> &transfer)
    {
        if (transfer->isCancelled.load(std::memory_order_acquire)) {
            this->finish(id, Error::RequestCancelled);
            return;
        }
        const auto found = this->activeTransfers.find(id);
        if (found == this->activeTransfers.end()) {
            this->begin(id, transfer);
            return;
        }
        const bool pause = transfer->isPaused.load(std::memory_order_acquire);
        curl_easy_pause(found->second.easy.get(), pause ? CURLPAUSE_RECV : CURLPAUSE_CONT);
    }

    void begin(HttpCallId id, const std::shared_ptr<HttpTransfer> &transfer)
    {
        CurlEasy easy(curl_easy_init());
        if (easy == nullptr) {
            this->finish(id, Error::ConnectionFailed);
            return;
        }
        transfer->configure(easy.get());
        curl_easy_setopt(easy.get(), CURLOPT_PRIVATE, transfer.get());
        CURL *handle = easy.get();
        this->activeTransfers[id] = {std::move(easy), transfer};
        if (curl_multi_add_handle(this->multi, handle) != CURLM_OK) {
            this->finish(id, Error::ConnectionFailed);
        }
    }

    void finishCompleted()
    {
        int left = 0;
        while (CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const CURLcode code = message->data.result;
            void *context = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &context);
            const auto *transfer = static_cast<const HttpTransfer *>(context);
            this->finish(transfer->id(), transfer->errorFor(code));
        }
    }

    void finish(HttpCallId id, std::error_code error)
    {
        std::shared_ptr<HttpTransfer> transfer;
        {
            const Lock lock(this->mutex);
            const auto found = this->transfers.find(id);
            if (found == this->transfers.end()) {
                return;
            }
            transfer = std::move(found->second);
            this->transfers.erase(found);
        }
        const auto found = this->activeTransfers.find(id);
        if (found != this->activeTransfers.end()) {
            if (!error) {
                transfer->reportStatus();
            }
            curl_multi_remove_handle(this->multi, found->second.easy.get());
            this->activeTransfers.erase(found);
        }
        transfer->listener().onDone(error);
    }

    void cancelAll()
    {
        std::vector<HttpCallId> ids;
        {
            const Lock lock(this->mutex);
            for (const auto &[id, transfer] : this->transfers) {
                ids.push_back(id);
            }
        }
        for (const HttpCallId id : ids) {
            this->finish(id, Error::RequestCancelled);
        }
    }

    CURLM *multi;
    pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
    absl::flat_hash_map<HttpCallId, std::shared_ptr<HttpTransfer>> transfers;
    /** Calls that were started or whose flags changed since the thread last checked. */
    std::vector<HttpCallId> pendingUpdates;
    bool isStopping = false;
    /** Accessed by the worker thread only. */
    absl::flat_hash_map<HttpCallId, ActiveTransfer> activeTransfers;
    Thread thread;
};

} // namespace

class HttpClient::Implementation
{
public:
    explicit Implementation(int threads)
    {
        initializeCurl();
        for (int i = 0; i < std::max(threads, 1); ++i) {
            this->workers.push_back(std::make_unique<Worker>(i));
        }
    }

    Worker &workerOf(HttpCallId id) { return *this->workers[id % this->workers.size()]; }
    HttpCallId nextId() { return this->lastId.fetch_add(1, std::memory_order_relaxed) + 1; }

    CurlMulti takeConnections()
    {
        {
            const Lock lock(this->mutex);
            if (!this->idleSets.empty()) {
                CurlMulti connections = std::move(this->idleSets.back());
                this->idleSets.pop_back();
                return connections;
            }
        }
        CurlMulti connections(curl_multi_init());
        if (connections != nullptr) {
            curl_multi_setopt(connections.get(), CURLMOPT_MAXCONNECTS, kConnectionsPerBlockingCall);
        }
        return connections;
    }

    void returnConnections(CurlMulti connections)
    {
        const Lock lock(this->mutex);
        if (this->idleSets.size() < kMaxIdleSets) {
            this->idleSets.push_back(std::move(connections));
        }
    }

    ConnectionSockets &sockets() { return this->openSockets; }

private:
    /** Closed connections are removed from it, so it comes before their owners. */
    ConnectionSockets openSockets;
    std::vector<std::unique_ptr<Worker>> workers;
    std::atomic<HttpCallId> lastId {0};
    pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
    std::vector<CurlMulti> idleSets;
};

HttpClient::HttpClient(int threads)
    : implementation(std::make_unique<Implementation>(threads))
{ }

HttpClient::~HttpClient() = default;

Result<HttpReply> HttpClient::perform(const HttpCall &call)
{
    CurlMulti connections = this->implementation->takeConnections();
    // Not used again: libcurl 7.88 adds a folded first header to the last one of the transfer
    // before, whose memory has been freed.
    const CurlEasy handle(curl_easy_init());
    if (connections == nullptr || handle == nullptr) {
        return Error::ConnectionFailed;
    }
    const auto collector = std::make_shared<ReplyCollector>();
    HttpTransfer transfer(0, call, collector, this->implementation->sockets());
    transfer.configure(handle.get());
    const std::error_code error = transfer.errorFor(performOn(connections.get(), handle.get()));
    if (!error) {
        transfer.reportStatus();
    }
    this->implementation->returnConnections(std::move(connections));
    if (error) {
        return error;
    }
    if (collector->isTooLarge) {
        return Error::ProtocolViolation;
    }
    collector->reply.retryAfterSeconds = transfer.retryAfterSeconds();
    return std::move(collector->reply);
}

HttpCallId HttpClient::start(const HttpCall &call, std::shared_ptr<HttpStreamListener> listener)
{
    const HttpCallId id = this->implementation->nextId();
    auto transfer = std::make_shared<HttpTransfer>(id, call, std::move(listener),
                                                   this->implementation->sockets());
    this->implementation->workerOf(id).start(id, std::move(transfer));
    return id;
}

void HttpClient::cancel(HttpCallId call)
{
    this->implementation->workerOf(call).update(
        call, [](HttpTransfer &transfer) { transfer.isCancelled.store(true); });
}

void HttpClient::pause(HttpCallId call)
{
    this->implementation->workerOf(call).update(
        call, [](HttpTransfer &transfer) { transfer.isPaused.store(true); });
}

void HttpClient::resume(HttpCallId call)
{
    this->implementation->workerOf(call).update(
        call, [](HttpTransfer &transfer) { transfer.isPaused.store(false); });
}

} // namespace foxtailtally
