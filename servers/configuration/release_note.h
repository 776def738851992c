#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "servers/configuration/document_problem.h"
#include "servers/configuration/document_reader.h"
#include "servers/configuration/publication.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Largest value of a platform object, in bytes. */
constexpr std::size_t kMaxDocumentBytes = 1000000;

/** Whether new work may be routed to a model. */
enum class ModelState : std::uint8_t {
    Serving,
    /** Withdrawn by an operator; requests already admitted complete. */
    Draining,
    Withdrawn,
};

struct ModelEntry
{
    static constexpr std::string_view kSection = "models";

    ModelId id;
    std::vector<std::string> versions;
    /** Name of the weights in the weight store. */
    std::string weights;
    /** End of the draining time; InfiniteFuture while the model serves. Wall time. */
    absl::Time drainUntil = absl::InfiniteFuture();

    const std::string &key() const { return this->id.str(); }
    static ModelEntry read(DocumentReader &reader);
    nlohmann::json toJson() const;
    bool operator==(const ModelEntry &) const = default;
};

struct AdapterEntry
{
    static constexpr std::string_view kSection = "adapters";

    AdapterId id;
    ModelId model;
    std::string version;

    const std::string &key() const { return this->id.str(); }
    static AdapterEntry read(DocumentReader &reader);
    nlohmann::json toJson() const;
    bool operator==(const AdapterEntry &) const = default;
};

struct CustomerEntry
{
    static constexpr std::string_view kSection = "customers";

    CustomerId id;
    /** Lower-case hexadecimal BLAKE2b digest of the API key; the key itself is never stored. */
    std::string keyDigest;
    std::vector<FailureDomainId> failureDomains;
    std::vector<ModelId> models;
    std::uint64_t tokensPerSecond = 0;
    std::uint64_t requestsPerSecond = 0;

    const std::string &key() const { return this->id.str(); }
    static CustomerEntry read(DocumentReader &reader);
    nlohmann::json toJson() const;
    bool operator==(const CustomerEntry &) const = default;
};

struct ServiceCallEntry
{
    std::string name;
    /** A call that may be sent again after a lost answer. */
    bool isRepeatable = false;
    bool operator==(const ServiceCallEntry &) const = default;
};

struct ServiceEntry
{
    static constexpr std::string_view kSection = "services";

    std::string name;
    std::vector<ServiceCallEntry> calls;
    /** The service rejects actions that carry a fence lower than one it has seen. */
    bool checksFence = false;

    const std::string &key() const { return this->name; }
    static ServiceEntry read(DocumentReader &reader);
    nlohmann::json toJson() const;
    bool operator==(const ServiceEntry &) const = default;
};

/** Everything that one release note puts in force. Entries are sorted by key. */
struct ReleaseState
{
    std::vector<ModelEntry> models;
    std::vector<AdapterEntry> adapters;
    std::vector<CustomerEntry> customers;
    std::vector<ServiceEntry> services;

    static ReleaseState read(DocumentReader &reader);
    /** Reports duplicate and dangling identifiers under the JSON pointer @p path. */
    void validate(std::string_view path, DocumentProblems &problems) const;
    nlohmann::json toJson() const;
    void sort();

    const CustomerEntry *findCustomerByKeyDigest(std::string_view keyDigest) const;
    bool operator==(const ReleaseState &) const = default;
};

/** A numbered set of changes with the full resulting state. */
struct ReleaseNote
{
    std::uint64_t number = 0;
    std::string author;
    /** Wall time at which the note was made. */
    absl::Time time;
    /** Changed entries as "<section>/<id>". */
    std::vector<std::string> added;
    std::vector<std::string> changed;
    std::vector<std::string> withdrawn;
    ReleaseState state;
    /** This note and those before it, newest first. */
    PublicationHistory history;

    /**
     * Parses and validates @p text. Unknown members are accepted, because during an upgrade an
     * older instance must be able to put a newer instance's note in force.
     * Error: DocumentInvalid, with every error in @p problems.
     */
    static Result<ReleaseNote> parse(std::string_view text, DocumentProblems &problems);
    /** Canonical JSON; equal notes give equal bytes. */
    std::string serialize() const;

    /** State of @p model at the wall time @p wallNow. */
    ModelState modelState(const ModelId &model, absl::Time wallNow) const;
    /** True when routing may send new work for @p model. */
    bool allowsNewWork(const ModelId &model, absl::Time wallNow) const;
};

} // namespace foxtailtally
