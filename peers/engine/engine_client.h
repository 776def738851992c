#pragma once

#include "peers/engine/engine_server.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <memory>
#include <pthread.h>
#include <string>
#include <string_view>

namespace foxtailtally {

/** Access to all engines by address. The factory makes the EngineServer of an address once. */
class EngineClient
{
public:
    using Factory = std::function<std::shared_ptr<EngineServer>(const std::string &address)>;

    explicit EngineClient(Factory factory);
    EngineClient(const EngineClient &) = delete;
    EngineClient &operator=(const EngineClient &) = delete;
    ~EngineClient();

    std::shared_ptr<EngineServer> at(const std::string &address);
    /** Drops the engine of @p address; running completions go on. */
    void remove(const std::string &address);

private:
    Factory factory;
    pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
    absl::flat_hash_map<std::string, std::shared_ptr<EngineServer>> servers;
};

} // namespace foxtailtally
