#pragma once

#include "peers/platform/platform_client.h"
#include "standins/lib/service_standin_options.h"
#include "standins/lib/standin.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace foxtailtally {

/**
 * Stand-in for a plain service. Counts how often the action of each key ran. With
 * entry.checksFence it rejects an action whose fence is not above the highest one seen for its key.
 */
class ServiceStandin final : public Standin
{
public:
    static Result<std::unique_ptr<ServiceStandin>> start(ServiceStandinOptions options);
    ~ServiceStandin() override;

protected:
    void handle(const std::shared_ptr<StandinCall> &call) override;
    bool applyFault(const std::string &kind, JsonReader &parameters) override;
    nlohmann::json stats() override;

private:
    struct Action
    {
        std::uint64_t runs = 0;
        std::uint64_t fence = 0;
    };

    explicit ServiceStandin(ServiceStandinOptions options);

    void handleAction(const std::shared_ptr<StandinCall> &call, const std::string &name);
    void respondLater(const std::shared_ptr<StandinCall> &call, std::string result);
    void registerAtPlatform();

    ServiceStandinOptions options;
    std::optional<PlatformClient> platform;
    absl::btree_map<std::string, Action> actions;
    std::uint64_t calls = 0;
    std::uint64_t staleFences = 0;
    /** Runs blocking calls to the platform. */
    Scheduler outbound;
};

} // namespace foxtailtally
