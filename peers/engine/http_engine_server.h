#pragma once

#include "peers/engine/engine_server.h"
#include "peers/http/http_client.h"

#include <nlohmann/json_fwd.hpp>

namespace foxtailtally {

/** EngineServer over the engines' HTTP protocol. Thread-safe. */
class HttpEngineServer final : public EngineServer
{
public:
    /** @p address is "ip:port"; @p token authenticates every call. */
    HttpEngineServer(std::shared_ptr<HttpClient> http, std::string address, std::string token);

    CompletionId startCompletion(const CompletionRequest &request,
                                 std::shared_ptr<CompletionListener> listener) override;
    void cancel(CompletionId completion) override;
    void pause(CompletionId completion) override;
    void resume(CompletionId completion) override;
    std::error_code cancelRequest(const RequestId &request) override;

    Result<LoadReport> load() override;
    Result<EngineCachePage> cacheEvents(std::uint64_t after) override;

    std::error_code reserve(const EngineMemoryHold &hold) override;
    std::error_code freeReservation(const std::string &id) override;
    Result<std::vector<EngineMemoryHold>> reservations() override;

    Result<EngineMemoryHold> exportContext(const RequestId &request, const InstanceId &owner,
                                           absl::Duration expiresIn) override;
    std::error_code importContext(const EngineMemoryHold &exported,
                                  const RequestId &request) override;
    std::error_code freeExport(const std::string &id) override;
    Result<std::vector<EngineMemoryHold>> exports() override;

    EngineCommandReply command(const EngineCommand &command) override;

private:
    HttpCall makeCall(std::string method, const std::string &path) const;
    /** Sends a call; returns the reply for a 2xx status, otherwise the corresponding error. */
    Result<HttpReply> perform(const HttpCall &call) const;
    std::error_code post(const std::string &path, const nlohmann::json &body) const;
    std::error_code remove(const std::string &path) const;
    Result<std::vector<EngineMemoryHold>> holds(const std::string &path, const char *list,
                                                const char *id) const;

    std::shared_ptr<HttpClient> http;
    std::string address;
    std::string token;
};

} // namespace foxtailtally
