#include "core/lock.h"
#include "core/thread.h"
#include "peers/http/http_client.h"
#include "peers/http/http_server.h"
#include "standins/lib/tcp_socket.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <array>
#include <atomic>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>

namespace foxtailtally {

namespace {

/** Waits for @p condition; the limit of 30 s only ends a test that would hang. */
template <typename F>
bool eventually(F condition)
{
    for (int i = 0; i < 6000; ++i) {
        if (condition()) {
            return true;
        }
        absl::SleepFor(absl::Milliseconds(5));
    }
    return false;
}

class Recorder final : public HttpStreamListener
{
public:
    explicit Recorder(std::function<void()> onFirstData = nullptr)
        : onFirstData(std::move(onFirstData))
    { }
    void onStatus(int value) override { this->status = value; }
    void onData(std::string_view data) override
    {
        if (this->bytes.fetch_add(data.size()) == 0) {
            this->firstBytes = data.size();
            if (this->onFirstData) {
                this->onFirstData();
            }
        }
    }
    void onDone(std::error_code value) override
    {
        this->error = value;
        ++this->ends;
    }

    std::atomic<int> status {0};
    std::atomic<std::size_t> bytes {0};
    std::atomic<std::size_t> firstBytes {0};
    std::atomic<int> ends {0};
    std::error_code error;

private:
    std::function<void()> onFirstData;
};

constexpr const char *kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/**
 * Answers the first request of each connection with @p answer and closes the connection when a
 * second one arrives. Counts the requests.
 */
class ClosingServer
{
public:
    explicit ClosingServer(std::string answer)
        : answer(std::move(answer))
        , listener(TcpSocket::listen("127.0.0.1", 0).value())
        , thread("closing", [this] { this->run(); })
    { }
    ~ClosingServer()
    {
        this->isStopping = true;
        this->thread.join();
    }

    std::string url() const
    {
        return absl::StrCat("http://127.0.0.1:", this->listener.localPort(), "/");
    }
    std::atomic<int> requests {0};

private:
    void run()
    {
        std::vector<std::pair<TcpSocket, bool>> open;
        while (!this->isStopping) {
            if (TcpSocket client = this->listener.accept(); client.isOpen()) {
                open.emplace_back(std::move(client), false);
            }
            std::erase_if(open, [this](auto &entry) {
                std::array<char, 65536> block {};
                const ssize_t count = ::recv(entry.first.get(), block.data(), block.size(), 0);
                if (count <= 0) {
                    return count == 0;
                }
                ++this->requests;
                if (entry.second) {
                    return true;
                }
                entry.second = true;
                ::send(entry.first.get(), this->answer.data(), this->answer.size(), MSG_NOSIGNAL);
                return false;
            });
            absl::SleepFor(absl::Milliseconds(1));
        }
    }

    std::string answer;
    TcpSocket listener;
    std::atomic<bool> isStopping {false};
    Thread thread;
};

/**
 * Answers the first request of each connection with a length, and the second one with a part that
 * ends with the connection: once it has read the request (ReadAll), or before, and then it resets
 * the connection.
 */
class EarlyServer
{
public:
    /** Body of the first request, and the end of the second one's. */
    static constexpr const char *kFirstBody = "first";
    static constexpr const char *kLastByte = "$";

    enum class Ending { CloseThenReset, ReadAll };

    explicit EarlyServer(Ending ending)
        : ending(ending)
        , listener(TcpSocket::listen("127.0.0.1", 0).value())
        , thread("early", [this] { this->run(); })
    { }
    ~EarlyServer()
    {
        this->isStopping = true;
        this->thread.join();
    }

    std::string url() const
    {
        return absl::StrCat("http://127.0.0.1:", this->listener.localPort(), "/");
    }

private:
    void run()
    {
        while (!this->isStopping) {
            if (const TcpSocket client = this->listener.accept(); client.isOpen())
                this->serve(client.get());
            absl::SleepFor(absl::Milliseconds(1));
        }
    }
    /** Reads until @p end is the end of what has arrived, or nothing more comes. */
    void readUntil(int socket, const std::string &end) const
    {
        std::string text;
        std::array<char, 4096> block {};
        while (!this->isStopping && !text.ends_with(end)) {
            pollfd readable {socket, POLLIN, 0};
            ::poll(&readable, 1, 10);
            const ssize_t count = ::recv(socket, block.data(), block.size(), 0);
            if (count == 0)
                return;
            if (count > 0)
                text.append(block.data(), static_cast<std::size_t>(count));
        }
    }
    void serve(int socket) const
    {
        const std::string first = kAnswer;
        const std::string second = "HTTP/1.1 200 OK\r\n\r\npart";
        this->readUntil(socket, kFirstBody);
        ::send(socket, first.data(), first.size(), MSG_NOSIGNAL);
        if (this->ending == Ending::ReadAll) {
            this->readUntil(socket, kLastByte);
        } else {
            pollfd readable {socket, POLLIN, 0};
            while (!this->isStopping && ::poll(&readable, 1, 10) == 0) { }
        }
        ::send(socket, second.data(), second.size(), MSG_NOSIGNAL);
        ::shutdown(socket, SHUT_WR);
        if (this->ending == Ending::ReadAll)
            return;
        absl::SleepFor(absl::Milliseconds(20));
        const linger immediately {1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    }

    Ending ending;
    TcpSocket listener;
    std::atomic<bool> isStopping {false};
    Thread thread;
};

HttpCall callTo(const std::string &url, const std::string &method)
{
    HttpCall call;
    call.url = url;
    call.method = method;
    call.timeout = absl::Seconds(30);
    return call;
}

} // namespace

// Guards against an action that libcurl silently resends when a reused connection breaks. The GET
// shows that the server would see a repeated request.
TEST(HttpClientTest, OnlyGetIsRepeatedWhenAReusedConnectionBreaks)
{
    ClosingServer server(kAnswer);
    HttpClient client(1);
    ASSERT_TRUE(client.perform(callTo(server.url(), "POST")).ok());
    EXPECT_EQ(client.perform(callTo(server.url(), "POST")).error(), Error::ConnectionLost);
    EXPECT_EQ(server.requests, 2);
    ASSERT_TRUE(client.perform(callTo(server.url(), "GET")).ok());
    EXPECT_TRUE(client.perform(callTo(server.url(), "GET")).ok());
    EXPECT_EQ(server.requests, 5);
}

TEST(HttpClientTest, ErrorsShowWhetherTheRequestMayHaveBeenSent)
{
    HttpClient client(1);
    std::string unused;
    {
        const ClosingServer closed(kAnswer);
        unused = closed.url();
    }
    EXPECT_EQ(client.perform(callTo(unused, "POST")).error(), Error::ConnectionFailed);
    const ClosingServer garbage("no http at all\r\n\r\n");
    EXPECT_FALSE(client.perform(callTo(garbage.url(), "POST")).ok());
    EXPECT_NE(client.perform(callTo(garbage.url(), "POST")).error(), Error::ConnectionFailed);
    const ClosingServer silent("");
    HttpCall call = callTo(silent.url(), "POST");
    call.timeout = absl::Milliseconds(100);
    EXPECT_EQ(client.perform(call).error(), Error::Timeout);
    const ClosingServer large(
        absl::StrCat("HTTP/1.1 200 OK\r\nX: ", std::string(90000, 'x'), "\r\n\r\n"));
    EXPECT_EQ(client.perform(callTo(large.url(), "POST")).error(), Error::ProtocolViolation);
    const ClosingServer redirect("HTTP/1.1 302 Found\r\nLocation: /else\r\nRetry-After: 7\r\n"
                                 "Content-Length: 0\r\n\r\n");
    const Result<HttpReply> reply = client.perform(callTo(redirect.url(), "GET"));
    ASSERT_TRUE(reply.ok());
    EXPECT_EQ(reply->status, 302);
    EXPECT_EQ(reply->retryAfterSeconds, 7);
    EXPECT_EQ(redirect.requests, 1);
}

// Guards against the use of freed memory when a reply begins with a folded header.
TEST(HttpClientTest, SurvivesAFoldedFirstHeader)
{
    HttpClient client(1);
    const ClosingServer sound(kAnswer);
    const ClosingServer folded("HTTP/1.1 200 OK\r\n X: 1\r\nContent-Length: 2\r\n\r\nok");
    for (int i = 0; i < 20; ++i) {
        EXPECT_TRUE(client.perform(callTo(sound.url(), "GET")).ok());
        static_cast<void>(client.perform(callTo(folded.url(), "GET")));
    }
}

// Guards against a reply that is no HTTP: one with an invalid status, or with a header whose name
// has a blank or a control byte, so that the length or another header is not found.
TEST(HttpClientTest, RefusesRepliesWithInvalidHeads)
{
    HttpClient client(1);
    for (const std::string start :
         {"HTTP/1.1 000 Failed\r\n", "HTTP/1.1 099 Failed\r\n", "HTTP/1.1 600 Failed\r\n",
          "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n", "HTTP/1.1 999 Failed\r\n",
          "HTTP/1.1 0200 OK\r\n", "HTTP/1.1 200 OK\r\nX Name: 1\r\n",
          "HTTP/1.1 200 OK\r\nX-Name : 1\r\n", "HTTP/1.1 200 OK\r\nX\x01Name: 1\r\n",
          "HTTP/1.1 200 OK\r\n X-Name: 1\r\n", "HTTP/1.1 200 OK\r\nX: 1\r\n X-Name: 1\r\n",
          "HTTP/1.1 100 Continue\r\nX Name: 1\r\n\r\nHTTP/1.1 200 OK\r\n"}) {
        const ClosingServer server(start + "Content-Length: 2\r\n\r\nok");
        EXPECT_EQ(client.perform(callTo(server.url(), "POST")).error(), Error::ProtocolViolation)
            << start;
        const auto streamed = std::make_shared<Recorder>();
        client.start(callTo(server.url(), "POST"), streamed);
        ASSERT_TRUE(eventually([&] { return streamed->ends > 0; }));
        EXPECT_EQ(streamed->error, Error::ProtocolViolation) << start;
        EXPECT_EQ(streamed->bytes, 0U) << start;
    }
    for (const int status : {200, 226, 299, 399, 451, 499, 500, 599}) {
        const ClosingServer server(absl::StrCat(
            "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\nHTTP/1.1 ", status,
            "\r\n!#$%&'*+-.^_`|~09azAZ: a b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
            "0\r\nX-Sum: 1\r\n\r\n"));
        const Result<HttpReply> reply = client.perform(callTo(server.url(), "POST"));
        ASSERT_TRUE(reply.ok()) << status;
        EXPECT_EQ(reply->status, status);
        EXPECT_EQ(reply->body, "ok");
    }
}

// Guards against a part of a body that is taken for a whole one because the server closed the
// connection before it reset it, while the request was being sent on a connection that had carried
// another one.
TEST(HttpClientTest, TakesNoBodyForCompleteWhoseUploadWasReset)
{
    for (const std::size_t size : {std::size_t {300'000}, std::size_t {4'000'000}}) {
        for (const bool isWhole : {false, true}) {
            SCOPED_TRACE(absl::StrCat(size, isWhole ? " read" : " reset"));
            const EarlyServer server(isWhole ? EarlyServer::Ending::ReadAll
                                             : EarlyServer::Ending::CloseThenReset);
            HttpClient client(1);
            HttpCall first = callTo(server.url(), "POST");
            first.body = EarlyServer::kFirstBody;
            HttpCall second = callTo(server.url(), "POST");
            second.body = std::string(size, 'u') + EarlyServer::kLastByte;
            ASSERT_TRUE(client.perform(first).ok());
            const Result<HttpReply> reply = client.perform(second);
            EXPECT_EQ(reply.error(), isWhole ? std::error_code() : Error::ConnectionLost);
            const auto firstStreamed = std::make_shared<Recorder>();
            client.start(first, firstStreamed);
            ASSERT_TRUE(eventually([&] { return firstStreamed->ends > 0; }));
            const auto streamed = std::make_shared<Recorder>();
            client.start(second, streamed);
            ASSERT_TRUE(eventually([&] { return streamed->ends > 0; }));
            EXPECT_EQ(streamed->error, isWhole ? std::error_code() : Error::ConnectionLost);
            EXPECT_EQ(streamed->bytes, 4U);
        }
    }
}

// Guards against data that is delivered while paused, lost by a pause, or delivered after cancel().
TEST(HttpClientTest, PauseHoldsTheStreamAndCancelEndsItOnce)
{
    constexpr std::size_t kBlock = std::size_t {1} << 20;
    constexpr std::size_t kBlocks = 16;
    std::atomic<bool> isWritten {false};
    std::atomic<bool> isGone {false};
    auto server = HttpServer::start({}, [&](const std::shared_ptr<HttpExchange> &exchange) {
        const bool endless = exchange->request().path == "/endless";
        exchange->setDisconnectHandler([&] { isGone = true; });
        const auto writer = exchange->startStream({});
        for (std::size_t i = 0; i < kBlocks; ++i) {
            writer->write(std::string(kBlock, 'x'));
        }
        if (!endless) {
            writer->close();
        }
        isWritten = true;
    });
    ASSERT_TRUE(server.ok());
    const std::string url = absl::StrCat("http://127.0.0.1:", (*server)->port());
    HttpClient client(2);
    std::atomic<HttpCallId> id {0};
    const auto paused = std::make_shared<Recorder>([&] {
        eventually([&] { return id.load() != 0; });
        client.pause(id);
    });
    id = client.start(callTo(url + "/whole", "POST"), paused);
    ASSERT_TRUE(eventually([&] { return paused->bytes > 0 && isWritten; }));
    absl::SleepFor(absl::Milliseconds(50));
    // The first onData() called pause(), so no further data may follow.
    EXPECT_EQ(paused->bytes, paused->firstBytes);
    client.resume(id);
    ASSERT_TRUE(eventually([&] { return paused->ends > 0; }));
    EXPECT_FALSE(paused->error);
    EXPECT_EQ(paused->bytes, kBlock * kBlocks);
    EXPECT_EQ(paused->status, 200);

    const auto cancelled = std::make_shared<Recorder>();
    const HttpCallId endless = client.start(callTo(url + "/endless", "POST"), cancelled);
    ASSERT_TRUE(eventually([&] { return cancelled->bytes == kBlock * kBlocks; }));
    client.cancel(endless);
    client.cancel(endless);
    ASSERT_TRUE(eventually([&] { return cancelled->ends > 0 && isGone; }));
    EXPECT_EQ(cancelled->error, Error::RequestCancelled);
    EXPECT_EQ(cancelled->ends, 1);
}

} // namespace foxtailtally
