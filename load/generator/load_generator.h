#pragma once

#include "load/generator/load_record.h"
#include "load/workload/trace.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

/** Options of one run against running entry instances. */
struct GeneratorOptions
{
    /** Base URLs of entry instances or of a load balancer, used in turn. */
    std::vector<std::string> entries;
    TraceOptions trace;
    /** Bearer token for customers that customerTokens does not name. */
    std::string token;
    /** Bearer tokens by customer. */
    absl::flat_hash_map<std::string, std::string> customerTokens;
    /** Model of the requests; empty for the model of the deployment. */
    std::string model;
    /** Bytes per second that slow readers read. */
    std::int64_t slowReaderBytes = 256;
    int threads = 2;
};

/**
 * Open-loop load generator: sends each request at its intended time whether or not earlier requests
 * have ended, and measures its times from that intended time. A closed loop, which waits for
 * responses, would send fewer requests exactly when the system is slow.
 */
class LoadGenerator
{
public:
    explicit LoadGenerator(GeneratorOptions options);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    /** Sends the whole trace and waits for the end of all requests. */
    std::vector<LoadRecord> run();

private:
    class Call;
    class Calls;

    GeneratorOptions options;
    std::unique_ptr<Calls> calls;
};

} // namespace foxtailtally
