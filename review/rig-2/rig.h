#pragma once

// Stand-ins for the review's scripts: the platform's store, workers, clients, and the processes of
// the system. Nothing here is taken from the project, so that a fault of its HTTP code cannot hide
// itself. All addresses are loopback addresses.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace rig {

using Json = nlohmann::json;

/** Seconds since the start of the program. */
double now();
void sleepUntil(double time);
void sleepFor(double seconds);

/** Writes the lines of record.txt, each with its time. */
class Record
{
public:
    explicit Record(const std::string &file);
    void line(const std::string &text);

private:
    std::mutex mutex;
    std::string file;
};

/** Names of headers are in lower case. */
using Headers = std::multimap<std::string, std::string>;

std::string header(const Headers &headers, const std::string &name);
/** The headers as they are sent, each with its line end. */
std::string headerLines(const Headers &headers);

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
};

/** One accepted connection; a thread serves it. */
class Connection
{
public:
    explicit Connection(int socket);
    ~Connection();
    /** Returns false when the peer has closed the connection. */
    bool readRequest(Request &request);
    bool send(const std::string &bytes);
    bool answer(int status, const Headers &headers, const std::string &body);
    /** Whether the peer has closed the connection, without waiting. */
    bool isClosedByPeer();
    /** The connection ends with a reset as soon as its thread notices. Other threads may call it.
     */
    void reset();
    /** The same with an orderly close. */
    void shutdown();
    bool isOpen() const { return !this->isEnded; }

private:
    bool fill();

    int socket;
    std::string input;
    std::atomic<bool> isEnded = false;
    std::atomic<bool> endsWithReset = false;
};

/** Accepts connections at an address and serves each on its own thread. */
class Listener
{
public:
    using Handler = std::function<void(const std::shared_ptr<Connection> &)>;
    Listener(const std::string &host, int port, Handler handler);
    ~Listener();
    int port() const { return this->boundPort; }
    /** Refuses new connections from now on, and resets the open ones. */
    void crash();
    /** Accepts connections again at the same port. */
    void open();

private:
    void acceptLoop(int listening);

    std::string host;
    int boundPort = 0;
    Handler handler;
    std::mutex mutex;
    int listening = -1;
    std::thread acceptor;
    std::set<std::shared_ptr<Connection>> connections;
    std::shared_ptr<std::atomic<int>> active = std::make_shared<std::atomic<int>>(0);
};

/** The platform's metadata store: lists, watches, conditional writes, one revision counter. */
class Store
{
public:
    explicit Store(const std::string &host);
    ~Store();
    std::string address() const;
    void put(const std::string &kind, const std::string &name, const Json &spec);
    void remove(const std::string &kind, const std::string &name);
    std::vector<std::string> names(const std::string &kind);

private:
    struct Event
    {
        std::int64_t revision;
        std::string kind;
        Json event;
    };
    void serve(const std::shared_ptr<Connection> &connection);
    void list(Connection &connection, const std::string &kind,
              const std::map<std::string, std::string> &query);
    void watch(Connection &connection, const std::string &kind,
               const std::map<std::string, std::string> &query);
    void write(Connection &connection, const Request &request, const std::string &kind,
               const std::string &name);
    void change(const std::string &kind, const std::string &name, const Json &object,
                bool isDeleted);
    bool reply(Connection &connection, int status, const Json &body);

    std::string host;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, Json>> objects;
    std::vector<Event> events;
    std::int64_t revision = 100;
    bool isEnding = false;
    std::unique_ptr<Listener> listener;
};

/** One worker. It registers in the store; a crash resets its connections and ends its entry. */
class Worker
{
public:
    /** Runs a call; the worker's own checks of Expect-Instance have passed. */
    using Handler =
        std::function<void(Worker &worker, Connection &connection, const Request &request)>;
    Worker(Store &store, const std::string &host, const std::string &service,
           const std::string &zone, int slots, Handler handler);
    ~Worker();
    /** Ends the process: connections are reset, new ones refused. The entry goes when three
     * heartbeats are missing; the worker starts again after @p seconds under a new id. */
    void crash(double seconds);
    std::string id();
    bool isUp();
    int running() const { return this->runs; }
    std::string address() const;
    const std::string &zone() const { return this->zoneName; }

    std::atomic<int> runs = 0;

private:
    void start();
    void serve(const std::shared_ptr<Connection> &connection);

    Store &store;
    std::string host;
    std::string service;
    std::string zoneName;
    int slots;
    Handler handler;
    std::mutex mutex;
    std::string currentId;
    bool isRunning = false;
    bool isEnding = false;
    std::vector<std::thread> restarts;
    std::unique_ptr<Listener> listener;
};

struct Answer
{
    /** 0: no answer. */
    int status = 0;
    Headers headers;
    std::string body;
    /** The answer has its whole length or its last chunk. */
    bool isWhole = false;
};

/** Sends a request on a new connection and waits for the end of the answer. */
Answer call(const std::string &host, int port, const Request &request, double limit);

/** A process of the system with a settings file as the deploy file's template gives it. */
class Gateway
{
public:
    struct Options
    {
        std::string id;
        std::string zone;
        std::string host;
        std::string store;
        std::string folder;
        int memoryMb = 260;
        bool isFirstStart = true;
    };
    explicit Gateway(Options options);
    ~Gateway();
    void start();
    void signal(int number);
    bool isAlive();
    /** Resident memory in MiB; 0 if the process has ended. */
    double memoryMb() const;
    bool isReady();
    void waitUntilReady(double limit);
    const std::string &host() const { return this->options.host; }
    static constexpr int kFrontPort = 8227;
    static constexpr int kReadyPort = 8220;

private:
    Options options;
    pid_t process = -1;
};

/** A client's connection that is kept for many requests. */
class KeptConnection
{
public:
    KeptConnection(const std::string &host, int port);
    ~KeptConnection();
    bool isOpen() const { return this->socket >= 0; }
    /** Sends @p request and waits for the end of the answer, at most @p limit seconds. Closes the
     * connection unless the answer is whole. @p bytesPerSecond: how fast the client reads; 0 for as
     * fast as it can. */
    Answer call(const Request &request, double limit, double bytesPerSecond = 0);

private:
    bool fill(double until, double bytesPerSecond);
    void close();

    int socket = -1;
    std::string input;
};

/** Path of the system's program, from the environment variable PROGRAM. */
std::string program();
/** A loopback address that differs between runs; @p number is its last part. */
std::string loopback(int number);
/** A temporary folder that is removed at the end. */
std::string temporaryFolder();
bool hasTrouble();
/** Headers of an answer of a worker to @p request. */
Headers sealed(const Request &request);

} // namespace rig
