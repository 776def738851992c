#pragma once

#include "load/generator/load_record.h"
#include "load/workload/trace.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

/** Options of one run against real entry instances. */
struct GeneratorOptions
{
    /** Base URLs of entry instances or of a load balancer, used in turn. */
    std::vector<std::string> entries;
    TraceOptions trace;
    /** Bearer token for customers without one of their own. */
    std::string token;
    /** Bearer tokens by customer. */
    absl::flat_hash_map<std::string, std::string> customerTokens;
    /** Names model requests use instead of the deployment's; empty keeps it. */
    std::string model;
    /** Slow readers take this many bytes each second. */
    std::int64_t slowReaderBytes = 256;
    int threads = 2;
};

/**
 * Open-loop load: each request is sent at its intended time whether or not earlier ones have ended,
 * and its times count from that intended time. A generator that waits for responses would send less
 * exactly when the system is slow.
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
