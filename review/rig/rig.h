#pragma once

// Stand-ins of the platform's store, of backend servers and of callers, and the start of gateway
// processes, for the cases of the review. Each connection has a thread of its own.

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace rig {

/** Seconds since the start of the program, by the steady clock. */
double now();
void sleepFor(double seconds);

/** Opens record.txt in @p folder. */
void openRecord(const std::string &folder);
/** Writes a line with the time to the record. */
void note(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** A case that cannot run ends with this status. */
[[noreturn]] void cannotRun(const std::string &cause);

struct Request
{
    std::string method;
    std::string target;
    /** Names in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;
    /** When the first byte was read. */
    double at = 0;

    std::string header(const std::string &name) const;
};

/** An open socket with a read buffer. */
class Connection
{
public:
    explicit Connection(int socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** Reads a request head; false at the end of the connection. */
    bool readHead(Request &request);
    /** Reads the body, at most @p bytesPerSecond if it is not 0. */
    bool readBody(Request &request, double bytesPerSecond = 0);
    bool send(std::string_view data);
    /** Reads up to @p size bytes into the buffer; 0 at the end, -1 after an error or time-out. */
    ssize_t fill(std::size_t size = 65536);
    std::string &buffer() { return this->input; }
    void setTimeout(double seconds);
    /** The connection is reset when it is closed. */
    void resetOnClose();
    int fd() const { return this->socket; }
    /** Bytes read so far. */
    std::size_t received() const { return this->total; }

private:
    int socket;
    std::string input;
    std::size_t total = 0;
};

/** Accepts connections on a free port of a loopback address, each in its own thread. */
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;
    Listener(const std::string &ip, Handler handler);
    ~Listener();
    const std::string &address() const { return this->boundAddress; }

private:
    void accept();

    Handler handler;
    int socket = -1;
    std::string boundAddress;
    std::thread thread;
};

std::string response(int status, const std::string &headers, std::string_view body);

/** The platform's store: objects by kind and name under one revision counter. */
class Store
{
public:
    /** Seconds of changes that are kept. */
    static constexpr double kHistory = 20;

    /** The address under which the instance with this number reaches the store. */
    std::string listen(const std::string &ip);
    /** Writes an object; returns the time of the acknowledgement. */
    double put(const std::string &kind, const std::string &name, const std::string &spec);
    double remove(const std::string &kind, const std::string &name);
    /** While the store is down it resets each connection on which it is called. */
    void setDown(bool isDown);
    /** Remembers the present state for restore(). */
    void takeCopy();
    /** The store is what it was at takeCopy(), and its era rises by one. */
    void restore();

private:
    struct Object
    {
        std::string spec;
        std::int64_t revision = 0;
    };
    struct Change
    {
        std::int64_t revision = 0;
        double at = 0;
        std::string kind;
        std::string name;
        std::string spec;
        bool isDeleted = false;
    };

    void serve(Connection &connection);
    bool answer(Connection &connection, const Request &request);
    bool answerWatch(Connection &connection, const std::string &kind, std::int64_t from,
                     double waitSeconds);
    std::string list(const std::string &kind, const std::string &after);
    /** Drops changes that are older than kHistory; the lock is held. */
    void dropHistory();
    /** Headers of a response; the lock is held. */
    std::string headers() const;
    void change(const std::string &kind, const std::string &name,
                const std::optional<std::string> &spec);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, Object>> objects;
    std::deque<Change> log;
    std::int64_t revision = 1;
    /** Changes up to this revision are gone. */
    std::int64_t forgotten = 0;
    bool isDown = false;
    /** Sent as Store-Era. */
    int era = 1;
    struct Copy
    {
        std::map<std::string, std::map<std::string, Object>> objects;
        std::deque<Change> log;
        std::int64_t revision = 1;
        std::int64_t forgotten = 0;
    };
    Copy copy;
    std::vector<std::unique_ptr<Listener>> listeners;
};

/** What a caller got for one request. */
struct Answer
{
    /** 0 if there was no complete head. */
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    bool isComplete = false;
    bool isTimeout = false;
    double sentAt = 0;
    double doneAt = 0;
};

/** A caller's connection to an instance. */
class Caller
{
public:
    explicit Caller(std::string address, double timeoutSeconds);
    ~Caller();
    /** Sends a request, over the open connection if there is one. */
    Answer call(const std::string &head, std::string_view body);
    bool isOpen() const { return this->connection != nullptr; }
    /** Requests are sent at this rate, in bytes a second. */
    void setSendRate(double bytesPerSecond) { this->sendRate = bytesPerSecond; }
    void close();

private:
    bool open();

    std::string address;
    double timeout;
    double sendRate = 0;
    std::unique_ptr<Connection> connection;
};

std::string requestHead(const std::string &method, const std::string &path, const std::string &id,
                        int deadlineMs, std::size_t bodyBytes, const std::string &more = {});
/** An id that no other request has. */
std::string newId();

struct InstanceOptions
{
    std::string id;
    std::string domain;
    std::string ip;
    std::string store;
    bool isFirstStart = true;
};

/** A gateway process, started with the command of the deploy file. */
class Instance
{
public:
    explicit Instance(InstanceOptions options);
    void start(const std::string &folder);
    /** The process has ended; it is reaped. */
    bool hasEnded();
    void signal(int number);
    /** Waits until the process answers 200 on its ready address. */
    bool waitUntilReady(double seconds);
    /** Resident memory, in bytes. */
    std::size_t memory() const;
    std::string callerAddress() const { return this->address(this->callerPort); }
    std::string readyAddress() const { return this->address(this->readyPort); }
    const std::string &id() const { return this->options.id; }
    const std::string &ip() const { return this->options.ip; }
    pid_t pid() const { return this->process; }
    /** Gives the process a share of a core as a quota: it runs at full speed until the share of a
     * tenth of a second is used up, and then stands still for the rest of that tenth. */
    void setQuota(double share);
    void setFirstStart(bool isFirst) { this->options.isFirstStart = isFirst; }

private:
    InstanceOptions options;
    std::string address(int port) const;
    void keepQuota(double share) const;

    /** Ports that were free when the instance was created; a restart uses them again. */
    int callerPort;
    int readyPort;
    int internalPort;
    std::atomic<pid_t> process {-1};
};

/** A loopback address of this run; @p number is from 1 to 250. */
std::string loopback(int number);
/** Folder of the case, and one for temporary files. */
std::string caseFolder();
std::string temporaryFolder();
/** False for a run without the disruption. */
bool hasTrouble();

/** Reads argv and opens the record; also ends the program after 118 s. */
void begin(int argc, char **argv);
/** Ends all processes that were started, and the program: 1 if the rule was broken. */
[[noreturn]] void finish(int status);

} // namespace rig
