#pragma once

#include "peers/http/inbound_connection.h"
#include "peers/http/loop_timer.h"
#include "platform/store_objects.h"
#include "tests/process/restorable_store.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

struct event_base;
struct evconnlistener;

namespace foxtailtally {

/** How a backend server of the stand-in responds to calls. */
enum class ServerBehavior {
    Serve,
    /** Rejects the call with 503 and Not-Executed. */
    Shed,
    /** Runs the call and responds 503, but without Not-Executed. */
    FailAfterRunning,
    /** Runs the call and closes the connection without a response. */
    Disconnect,
    /** Closes the connection in the middle of a stream. */
    DisconnectMidStream,
    /** Runs the call and never responds. */
    NoResponse,
    /** Closes the connection before the end of the response body. */
    TruncateBody,
    /** Sends a longer response body than a gateway buffers. */
    Oversized,
    /** Runs the call and responds 404. */
    NotFound,
    /** Responds with a stream that ends without an event. */
    EmptyStream,
    /** Serves the call and sets Server-Leaving in the response. */
    AnnounceDraining,
    /** Rejects the call like Shed, with a Retry-After of ServingStandin::kRetryAfter. */
    ShedWithRetryAfter,
    /** Serves the call; on a connection that has carried another one, it first repeats a rejection
     * or a failure without an id. */
    RepeatEarlierResponse,
    /** Closes the connection in the middle of an event. */
    DisconnectInsideEvent,
    /** Runs a stream that resumes another one and responds with a failure. */
    FailResumedStream,
    /** Serves calls, and ends the bodies of plain ones with the connection instead of a length. */
    OmitLength,
};

/** One arrival of a call at a backend server. */
struct ServerArrival
{
    std::string server;
    std::string callId;
    std::string path;
    std::string customer;
    std::string body;
    /** The list of the prompt's parts, as it was sent. */
    std::string promptParts;
    absl::Duration deadline = absl::ZeroDuration();
    absl::Time at;
    bool hasRun = false;
    /** Start time of the server's incarnation. */
    std::int64_t startedMs = 0;
    /** Value of the header X-Gateway, by which a test tells gateways apart. */
    std::string gateway;
    /** The response says that the server is draining, or requests a pause of kRetryAfter. */
    bool saysDraining = false;
    bool requestsPause = false;
};

/** A command to reserve or release memory at a backend server. */
struct ReservationCommand
{
    std::string server;
    std::string reservation;
    bool isRelease = false;
    /** Time for which the memory stays reserved. */
    absl::Duration hold = absl::ZeroDuration();
    absl::Time at;
};

/**
 * Simulates the users' platform as described by their protocol, on loopback addresses: the store
 * and backend servers. Runs on its own thread.
 */
class ServingStandin final : private InboundEvents
{
public:
    /** Number of events in each stream, and the interval between them. */
    static constexpr int kEvents = 12;
    static constexpr absl::Duration kEventInterval = absl::Milliseconds(25);
    /** Retry-After of servers with ServerBehavior::ShedWithRetryAfter. */
    static constexpr absl::Duration kRetryAfter = absl::Milliseconds(1500);
    /** Body of responses that ServerBehavior::RepeatEarlierResponse repeats. */
    static constexpr std::string_view kEarlierBody = "earlier";
    static constexpr absl::Duration kPartCrashDelay = absl::Milliseconds(50);

    /** @p host: an otherwise unused IP address of the loopback network. */
    explicit ServingStandin(std::string host);
    ~ServingStandin() override;

    /** Header of calls that gives the time in milliseconds until their response; streams ignore it.
     */
    static constexpr const char *kRunHeader = "X-Run-Ms";
    /** Header of streams: the server closes the connection before this event, unless the stream
     * resumes another one. */
    static constexpr const char *kBreakHeader = "X-Break-At";
    /** Header of calls that the first server rejects like ServerBehavior::Shed, after this time in
     * milliseconds. */
    static constexpr const char *kRejectHeader = "X-Reject-First";

    /** Complete body of the stream that responds to call @p callId. */
    static std::string streamBody(const std::string &callId);
    std::string storeAddress() const { return this->host + ":8200"; }
    std::string serverAddress(int index) const;

    void putObject(const std::string &kind, const std::string &name, const std::string &spec);
    void removeObject(const std::string &kind, const std::string &name);
    std::vector<std::string> objectNames(const std::string &kind);
    void setStoreBehavior(StoreBehavior behavior);
    /** Runs @p task on the thread of the stand-in and waits until it is done. */
    void withStore(const std::function<void(RestorableStore &)> &task);

    /** Starts server @p index of @p service and lists it in the store under @p address, as cold
     * for @p coldFor. */
    void addServer(int index, const std::string &service, const std::string &domain,
                   const std::string &address, absl::Duration coldFor = absl::ZeroDuration());
    /** Server @p index reports that it is draining, and goes on serving. */
    void startDraining(int index);
    static std::string serverName(int index) { return "server-" + std::to_string(index); }
    void setServerBehavior(int index, ServerBehavior behavior);
    /** Server @p index names @p requestsPerSecond as its rate limit in all responses; nullopt for
     * none. It does not enforce the limit. */
    void setRateLimit(int index, std::optional<double> requestsPerSecond);
    /** When server @p index first named a rate limit; InfiniteFuture before. */
    absl::Time rateLimitNamedAt(int index);
    /** Times of all requests at server @p index: calls and reservation commands, in order. */
    std::vector<absl::Time> requestTimes(int index);
    /** A call with body @p body crashes each server that runs it, together with all calls on that
     * server. The server returns after @p delay as a new incarnation. */
    void setCrashingBody(const std::string &body, absl::Duration delay);
    /** A call whose prompt has the part @p id, but not as its last one, crashes each server that
     * begins to write its answer, kPartCrashDelay after that. */
    void setCrashingPart(const std::string &id, absl::Duration delay);
    /** Times at which servers crashed, in order. */
    std::vector<absl::Time> crashTimes();

    /** Restarts server @p index: a new incarnation with the same id and address. */
    void restart(int index);
    /** Makes server @p index unresponsive: it sends nothing more, and new connections hang. */
    void becomeUnresponsive(int index);
    /** Ends that: server @p index accepts connections again, as the same incarnation or, if it
     * @p hasRestarted, as a new one. */
    void becomeResponsive(int index, bool hasRestarted);
    /** Server @p index sends nothing for @p time and then goes on. It accepts connections and
     * requests meanwhile. */
    void fallSilent(int index, absl::Duration time);
    /** The same for a server behind a link that is cut: new connections hang meanwhile, established
     * ones stay open. */
    void cutOff(int index, absl::Duration time);
    /** Sets the time before the first event of each stream. */
    void setPrefillTime(absl::Duration time);
    /** All servers forget connections that have been idle for longer than @p time, without a
     * notice, and reset them at the next request. InfiniteDuration for never. */
    void setIdleDrop(absl::Duration time);
    /** Time until all servers respond to commands to reserve memory. */
    void setOrderDelay(absl::Duration time);
    /** Start time of the current incarnation of server @p index. */
    std::int64_t startedMs(int index);

    std::vector<ServerArrival> arrivals();
    std::vector<ReservationCommand> reservationCommands();
    int storeCalls();

private:
    struct Server
    {
        std::string name;
        ServerBehavior behavior = ServerBehavior::Serve;
        std::optional<double> rateLimit;
        absl::Time rateLimitNamedAt = absl::InfiniteFuture();
        evconnlistener *listener = nullptr;
        ServingStandin *owner = nullptr;
        int index = 0;
        /** What the store lists for this server. */
        std::string service;
        std::string domain;
        std::string address;
        std::int64_t startedMs = 0;
        absl::Time coldUntil = absl::InfinitePast();
        /** Writes of the server to its entry. */
        std::int64_t sequence = 0;
        /** Listener of an unresponsive server, and a connection that fills its backlog. */
        int unresponsiveListener = -1;
        int backlogFiller = -1;
        /** When the server is started again after a crash. */
        absl::Time restartsAt = absl::InfiniteFuture();
        absl::Time silentUntil = absl::InfinitePast();
        /** When a server that was cut off accepts connections again. */
        absl::Time reachableAt = absl::InfiniteFuture();
        /** Connections with requests that a silent server has received. */
        std::vector<InboundConnection *> unanswered;
    };
    struct Stream
    {
        InboundConnection *connection = nullptr;
        std::string callId;
        int next = 1;
        int breakAt = 0;
        bool breaksInsideEvent = false;
        absl::Time dueAt;
        /** When the stream crashes its server. */
        absl::Time crashesAt = absl::InfiniteFuture();
    };

    /** A response that is not due yet. */
    struct DelayedResponse
    {
        InboundConnection *connection = nullptr;
        int status = 200;
        HttpHeaders headers;
        std::string body;
        absl::Time dueAt;
    };

    void onRequestHead(InboundConnection &connection) override;
    void onRequestComplete(InboundConnection &connection) override;
    void onCallerGone(InboundConnection &connection) override;
    void onWritable(InboundConnection &connection) override;
    void onRequestRejected(InboundConnection &connection, int status) override;
    void onClosed(InboundConnection &connection) override;

    /** Runs @p task on the thread of the stand-in and waits until it is done. */
    void run(const std::function<void()> &task);
    void runTasks();
    void onTick();
    void accept(int socket, int server);
    void answerCall(InboundConnection &connection, Server &server);
    /** Whether the server has forgotten the connection, which is then reset. */
    bool resetIfDropped(InboundConnection &connection);
    /** Sends the responses that are due to calls with kRunHeader. */
    void sendDelayedResponses(absl::Time now);
    /** Starts an incarnation of the server and lists it in the store. */
    void startServer(Server &server);
    void acceptConnections(Server &server);
    /** Connections to the server hang from now on. */
    void hangConnections(Server &server);
    void resumeConnections(Server &server);
    /** Writes the entry of the server into the store. */
    void listServer(Server &server, const std::string &state);
    void crash(Server &server);
    void answerReservationCommand(InboundConnection &connection, Server &server);
    void restartCrashedServers(absl::Time now);
    void startStream(InboundConnection &connection, const ServerArrival &arrival, Server &server,
                     std::string_view lastEventId);
    /** Sends a response whose body ends with the connection. */
    void answerWithoutLength(InboundConnection &connection, const HttpHeaders &headers,
                             const std::string &body);
    /** Sends a rejection or a failure without an id, as if to an earlier call. */
    void repeatEarlierResponse(InboundConnection &connection);
    /** Whether the call asks for a rejection at its first server, and this is the first one. */
    bool isRejectedFirst(const RequestHead &head, const std::string &callId) const;
    /** Headers that @p server adds to all its responses. */
    HttpHeaders serverHeaders(Server &server);
    HttpHeaders replyHeaders(Server &server, const ServerArrival &arrival,
                             std::string_view contentType);
    void advanceStreams(absl::Time now);
    void endSilences(absl::Time now);
    void endCuts(absl::Time now);
    void crashServersOfStreams(absl::Time now);
    /** Whether the prompt has the crashing part, but not as its last one. */
    bool hasCrashingPart(const ServerArrival &arrival) const;
    void removeWatchesAndStreams(InboundConnection &connection);

    std::string host;
    event_base *base;
    evconnlistener *storeListener = nullptr;
    LoopTimer tick;
    RestorableStore store;
    /** Listeners hold pointers to their servers, so the entries must not move. */
    std::map<int, Server> servers;
    std::vector<Stream> streams;
    std::vector<DelayedResponse> delayedResponses;
    std::vector<std::unique_ptr<InboundConnection>> connections;
    /** Server index of each connection; connections to the store have no entry. */
    absl::btree_map<InboundConnection *, int> serverOf;
    absl::btree_map<InboundConnection *, int> sockets;
    /** Since when each connection to a server has been idle. */
    absl::btree_map<InboundConnection *, absl::Time> idleSince;
    absl::Duration idleDrop = absl::InfiniteDuration();
    absl::Duration orderDelay = absl::ZeroDuration();
    /** Connections that have carried a call. */
    absl::btree_set<InboundConnection *> used;
    std::vector<InboundConnection *> closed;
    std::vector<ServerArrival> recordedArrivals;
    std::vector<ReservationCommand> recordedCommands;
    std::string crashingBody;
    std::string crashingPart;
    std::vector<absl::Time> recordedCrashes;
    absl::Duration restartDelay = absl::ZeroDuration();
    absl::Duration prefillTime = kEventInterval;
    std::mutex mutex;
    /** Tasks for the next tick; guarded by the mutex. */
    std::vector<std::function<void()>> tasks;
    std::thread thread;
};

} // namespace foxtailtally
