#pragma once

#include "main/gateway/kind_cache.h"
#include "peers/http/inbound_connection.h"
#include "peers/http/loop_timer.h"
#include "platform/store_objects.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

struct event_base;
struct evconnlistener;

namespace foxtailtally {

/** What a backend server of the stand-in does with a call. */
enum class ServerBehavior {
    Serve,
    /** Rejects the call and says that it has not run. */
    Shed,
    /** Runs the call and fails, with a status that would promise that it has not run. */
    FailAfterRunning,
    /** Runs the call and breaks the connection. */
    Disconnect,
    /** Breaks a stream in its middle. */
    DisconnectMidStream,
    /** Runs the call and answers nothing. */
    NoResponse,
    /** Announces a longer body than it sends. */
    TruncateBody,
    /** Answers with more than a gateway holds. */
    Oversized,
    /** Serves, and says that it leaves. */
    AnnounceLeaving,
    /** Rejects the call, and asks for a pause of ServingStandin::kRetryAfter. */
    ShedWithRetryAfter,
};

enum class StoreBehavior { Serve, Refuse, NoResponse };

/** One arrival of a call at a backend server. */
struct ServerArrival
{
    std::string server;
    std::string callId;
    std::string path;
    std::string customer;
    std::string body;
    absl::Duration deadline = absl::ZeroDuration();
    absl::Time at;
    bool hasRun = false;
};

/** One order of memory at a backend server. */
struct ReservationRequest
{
    std::string server;
    std::string reservation;
    bool isRelease = false;
    /** Time for which the memory is set aside. */
    absl::Duration hold = absl::ZeroDuration();
    absl::Time at;
};

/**
 * The users' platform as their protocol describes it, on loopback addresses: the store, and backend
 * servers. It runs on a thread of its own.
 */
class ServingStandin final : private InboundEvents
{
public:
    /** Events of each stream, and the pause between them. */
    static constexpr int kEvents = 12;
    static constexpr absl::Duration kEventInterval = absl::Milliseconds(25);
    /** Pause that servers ask for. */
    static constexpr absl::Duration kRetryAfter = absl::Milliseconds(1500);

    /** @p host: an address of the loopback network that nobody else uses. */
    explicit ServingStandin(std::string host);
    ~ServingStandin() override;

    /** Body of the stream that answers @p callId. */
    static std::string streamBody(const std::string &callId);
    std::string storeAddress() const { return this->host + ":8200"; }
    std::string serverAddress(int index) const;

    void putObject(const std::string &kind, const std::string &name, const std::string &spec);
    void removeObject(const std::string &kind, const std::string &name);
    std::vector<std::string> objectNames(const std::string &kind);
    void setStoreBehavior(StoreBehavior behavior);

    /** Starts server @p index of @p service and enters it in the store, reached at @p address. */
    void addServer(int index, const std::string &service, const std::string &domain,
                   const std::string &address);
    static std::string serverName(int index) { return "server-" + std::to_string(index); }
    void setServerBehavior(int index, ServerBehavior behavior);
    /** A call with body @p body ends each server that begins to run it, with all that it does. The
     * server is back after @p away as another life. */
    void setCrashingBody(const std::string &body, absl::Duration away);

    /** Server @p index starts anew: another life under the same id and address. */
    void restart(int index);
    /** Server @p index falls silent: it answers nothing, and connections to it hang. */
    void goSilent(int index);
    /** Time before the first event of each stream. */
    void setPrefillTime(absl::Duration time);

    std::vector<ServerArrival> arrivals();
    std::vector<ReservationRequest> reservationRequests();
    int storeCalls();

private:
    struct Server
    {
        std::string name;
        ServerBehavior behavior = ServerBehavior::Serve;
        evconnlistener *listener = nullptr;
        ServingStandin *owner = nullptr;
        int index = 0;
        /** What the store says of it. */
        std::string service;
        std::string domain;
        std::string address;
        std::int64_t startedMs = 0;
        /** Holds the address of a server that is dark, and a connection that fills its queue. */
        int silentListener = -1;
        int backlogFiller = -1;
        /** When it is back after a crash. */
        absl::Time restartsAt = absl::InfiniteFuture();
    };
    struct Watch
    {
        InboundConnection *connection = nullptr;
        std::string kind;
        std::int64_t from = 0;
        absl::Time until;
    };
    struct Stream
    {
        InboundConnection *connection = nullptr;
        std::string callId;
        int next = 1;
        int breakAt = 0;
        absl::Time dueAt;
    };

    void onRequestHead(InboundConnection &connection) override;
    void onRequestComplete(InboundConnection &connection) override;
    void onCallerGone(InboundConnection &connection) override;
    void onWritable(InboundConnection &connection) override;
    void onRequestRejected(InboundConnection &connection, int status) override;
    void onClosed(InboundConnection &connection) override;

    /** Runs @p task on the stand-in's thread and waits for it. */
    void run(const std::function<void()> &task);
    void runTasks();
    void onTick();
    void accept(int socket, int server);
    void answerStore(InboundConnection &connection);
    void createObject(InboundConnection &connection, const std::string &kind);
    /** @p path: kind and name of the object. */
    void deleteObject(InboundConnection &connection, const std::string &path);
    void change(const std::string &kind, const platform::ObjectChange &change);
    void answerCall(InboundConnection &connection, Server &server);
    /** Starts a life of the server and enters it in the store. */
    void startServer(Server &server);
    void crash(Server &server);
    void answerReservation(InboundConnection &connection, const Server &server);
    void restartCrashedServers(absl::Time now);
    void startStream(InboundConnection &connection, const ServerArrival &arrival,
                     ServerBehavior behavior);
    void advanceStreams(absl::Time now);
    void removeWatchesAndStreams(InboundConnection &connection);

    std::string host;
    event_base *base;
    evconnlistener *storeListener = nullptr;
    LoopTimer tick;
    StoreBehavior storeBehavior = StoreBehavior::Serve;
    std::int64_t revision = 1;
    absl::btree_map<std::string, KindCache> kinds;
    /** Listeners keep the address of their server. */
    std::map<int, Server> servers;
    std::vector<Watch> watches;
    std::vector<Stream> streams;
    std::vector<std::unique_ptr<InboundConnection>> connections;
    /** Server of a connection; the store's are absent. */
    absl::btree_map<InboundConnection *, int> serverOf;
    std::vector<InboundConnection *> closed;
    std::vector<ServerArrival> recordedArrivals;
    std::vector<ReservationRequest> recordedReservations;
    std::string crashingBody;
    absl::Duration restartDelay = absl::ZeroDuration();
    absl::Duration prefillTime = kEventInterval;
    int calls = 0;
    std::mutex mutex;
    /** For the next turn of the loop; guarded by the mutex. */
    std::vector<std::function<void()>> tasks;
    std::thread thread;
};

} // namespace foxtailtally
