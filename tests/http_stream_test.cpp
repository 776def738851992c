#include "peers/http/http_client.h"
#include "peers/http/http_server.h"

#include "core/clock.h"
#include "core/event_loop.h"
#include "core/lock.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <unistd.h>

namespace foxtailtally {

namespace {

constexpr int kRepetitions = 80;
constexpr int kStreams = 64;
constexpr int kWrites = 100;
constexpr std::size_t kWriteBytes = 250;

class CountingListener final : public HttpStreamListener
{
public:
    void onStatus(int /*status*/) override { }
    void onData(std::string_view data) override { this->bytes += data.size(); }
    void onDone(std::error_code result) override
    {
        this->error = result;
        this->done.store(true);
    }

    std::size_t bytes = 0;
    std::error_code error;
    std::atomic<bool> done {false};
};

void writeSome(EventLoop &loop, const std::shared_ptr<HttpBodyWriter> &writer, int left)
{
    if (left == 0)
        return writer->close();
    // A burst is longer than libmicrohttpd's buffer, so that it is read in several parts.
    const int burst = left % 7 == 0 ? std::min(left, 60) : 1;
    for (int i = 0; i < burst; ++i)
        writer->write(std::string(kWriteBytes, 'x'));
    // Delays let the send queue run empty, so that writes hit a connection that is being
    // suspended.
    loop.postAt(Clock::now() + absl::Microseconds(50 * (left % 8)),
                [&loop, writer, left, burst] { writeSome(loop, writer, left - burst); });
}

} // namespace

// Guards against streams that stall because a write races with the suspension of the connection.
TEST(HttpStreamTest, EveryStreamIsDeliveredCompletely)
{
    EventLoop writers("writers");
    auto server = HttpServer::start({}, [&](const std::shared_ptr<HttpExchange> &exchange) {
        writers.post(
            [&writers, exchange] { writeSome(writers, exchange->startStream({}), kWrites); });
    });
    ASSERT_TRUE(server.ok());
    HttpClient client(2);
    for (int round = 0; round < kRepetitions; ++round) {
        std::vector<std::shared_ptr<CountingListener>> listeners;
        HttpCall call;
        call.url = "http://127.0.0.1:" + std::to_string((*server)->port()) + "/";
        call.timeout = absl::Seconds(60);
        for (int i = 0; i < kStreams; ++i) {
            listeners.push_back(std::make_shared<CountingListener>());
            client.start(call, listeners.back());
        }
        for (const auto &listener : listeners) {
            while (!listener->done.load())
                ::usleep(1000);
            ASSERT_FALSE(listener->error) << errorName(listener->error);
            ASSERT_EQ(listener->bytes, kWrites * kWriteBytes);
        }
    }
}

} // namespace foxtailtally
