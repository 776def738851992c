#pragma once

#include "peers/http/http_client.h"
#include "peers/platform/platform_client.h"
#include "standins/lib/engine_model.h"
#include "standins/lib/engine_standin_options.h"
#include "standins/lib/group_reservations.h"
#include "standins/lib/standin.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace foxtailtally {

/** Stand-in for an engine: runs EngineModel in real time behind the engines' HTTP protocol. */
class EngineStandin final : public Standin
{
public:
    /** Starts to listen, then registers with the platform. */
    static Result<std::unique_ptr<EngineStandin>> start(EngineStandinOptions options);
    ~EngineStandin() override;

protected:
    void handle(const std::shared_ptr<StandinCall> &call) override;
    bool applyFault(const std::string &kind, JsonReader &parameters) override;
    nlohmann::json stats() override;

private:
    struct Stream
    {
        std::shared_ptr<HttpBodyWriter> writer;
        std::uint64_t answerKey = 0;
        std::string reservation;
    };
    struct Completion
    {
        EngineRequest request;
        std::uint64_t answerKey = 0;
        std::string reservation;
    };
    struct Counters
    {
        std::uint64_t submitted = 0;
        std::uint64_t finished = 0;
        std::uint64_t cancelled = 0;
        std::uint64_t aborted = 0;
        std::uint64_t rejected = 0;
        std::uint64_t tokens = 0;
        std::int64_t maxHeldTokens = 0;
    };

    explicit EngineStandin(EngineStandinOptions options);

    // engine_standin_calls.cpp
    void handleCompletion(const std::shared_ptr<StandinCall> &call);
    std::optional<Completion> parseCompletion(StandinCall &call);
    void submit(const std::shared_ptr<StandinCall> &call, const Completion &completion);
    void handleCancel(StandinCall &call);
    void handleReserve(StandinCall &call);
    void handleExport(StandinCall &call);
    void handleImport(StandinCall &call);
    void handleCommand(StandinCall &call);
    void handleLoad(StandinCall &call);
    void handleEvents(StandinCall &call);
    bool handleList(StandinCall &call);
    bool handleDelete(StandinCall &call);

    /** Runs the model up to the present time and applies the resulting actions. */
    void advance();
    void apply(const std::vector<EngineAction> &actions);
    void onDeath(const EngineDied &death);
    void restart();
    void scheduleNextStep();
    void pollReservations();
    void registerAtPlatform();
    bool hasPlatform() const { return !this->options.platform.url.empty(); }

    EngineStandinOptions options;
    std::shared_ptr<HttpClient> http;
    std::optional<PlatformClient> platform;
    std::optional<GroupReservations> group;
    EngineModel model;
    absl::btree_map<RequestId, Stream> streams;
    absl::flat_hash_set<std::string> models;
    absl::Time nextStepAt = absl::InfiniteFuture();
    Counters counters;
    absl::btree_map<std::string, std::uint64_t> deaths;
    std::deque<nlohmann::json> deathLog;
    /** Runs blocking calls to the platform and other engines. */
    Scheduler outbound;
};

} // namespace foxtailtally
