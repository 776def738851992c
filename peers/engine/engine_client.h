#pragma once

#include "peers/engine/engine_server.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <memory>
#include <pthread.h>
#include <string>
#include <string_view>

namespace foxtailtally {

/** Engines by address. The factory creates the EngineServer of an address on first use. */
class EngineClient
{
public:
    using Factory = std::function<std::shared_ptr<EngineServer>(const std::string &address)>;

    explicit EngineClient(Factory factory);
    EngineClient(const EngineClient &) = delete;
    EngineClient &operator=(const EngineClient &) = delete;
    ~EngineClient();

    std::shared_ptr<EngineServer> at(const std::string &address);
    /** Drops the EngineServer of @p address; running completions continue. */
    void remove(const std::string &address);

private:
    Factory factory;
    pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
    absl::flat_hash_map<std::string, std::shared_ptr<EngineServer>> servers;
};

} // namespace foxtailtally
