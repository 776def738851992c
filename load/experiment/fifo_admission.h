#pragma once

#include "load/experiment/admission_model.h"

#include <absl/container/flat_hash_map.h>
#include <deque>

namespace foxtailtally {

/**
 * Baseline: grants in order of arrival to the server with the fewest permits. It respects memory,
 * batch size and the cold limit as last reported, and knows no classes, lengths or deadlines.
 */
class FifoAdmission : public AdmissionModel
{
public:
    explicit FifoAdmission(const std::vector<BackendServer> &servers);

    bool usesPriorities() const override { return false; }
    AdmissionActions reserve(const RequestProfile &request, absl::Time now) override;
    AdmissionActions cancel(const RequestId &request, absl::Time now) override;
    AdmissionActions release(const PermitRelease &release, absl::Time now) override;
    AdmissionActions onLoadReport(const LoadReport &report, absl::Time now) override;
    AdmissionActions onServerLost(const BackendServerId &server, absl::Time now) override;
    AdmissionActions onTick(absl::Time now) override;
    GroupSummary summary(absl::Time now) override;

private:
    struct Server
    {
        BackendServer facts;
        bool isUsable = true;
        bool isWarm = true;
        Incarnation incarnation = 0;
        std::int64_t permits = 0;
        std::int64_t heldTokens = 0;

        std::int64_t freeTokens() const { return this->facts.memoryTokens - this->heldTokens; }
        std::int64_t limit() const
        {
            return this->isWarm ? this->facts.warmLimit : this->facts.coldLimit;
        }
        bool hasPlace() const { return this->isUsable && this->permits < this->limit(); }
    };
    /** Memory held on one server. */
    struct Part
    {
        std::size_t server = 0;
        std::int64_t tokens = 0;
    };
    struct Permit
    {
        std::vector<Part> parts;
        std::int64_t promptTokens = 0;
    };

    AdmissionActions grantWaiting();
    /** Parts for a context of @p tokens, or none when the servers lack the room. */
    std::vector<Part> place(std::int64_t tokens) const;
    void freePermit(const Permit &permit);
    Server *find(const BackendServerId &server);

    std::vector<Server> servers;
    std::deque<RequestProfile> waiting;
    absl::flat_hash_map<PermitId, Permit> permits;
    PermitId lastPermit = 0;
    std::uint64_t sequence = 0;
    std::int64_t outstandingTokens = 0;
};

} // namespace foxtailtally
