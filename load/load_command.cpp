#include "core/text.h"
#include "load/commands.h"
#include "load/generator/load_generator.h"
#include "load/report/report_file.h"

#include <absl/strings/str_split.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

/** Parses pairs "customer=token" into @p options; returns false if a pair has no "=". */
bool readCustomerTokens(const std::vector<std::string> &pairs, GeneratorOptions &options)
{
    for (const std::string &pair : pairs) {
        const std::vector<std::string> parts = absl::StrSplit(pair, absl::MaxSplits('=', 1));
        if (parts.size() != 2)
            return false;
        options.customerTokens[parts[0]] = parts[1];
    }
    return true;
}

} // namespace

CommandStatus runLoad(const LoadCommand &command)
{
    const auto trace = TraceOptionsBuilder()
                           .setDeployment(command.deployment)
                           .setRate(command.requestsPerSecond)
                           .setLength(absl::Seconds(command.seconds))
                           .setShape(command.isSurge ? RateShape::Surge : RateShape::Steady)
                           .setWithActions(command.withActions)
                           .setPromptScale(command.promptScale)
                           .setSeed(command.seed)
                           .build();
    GeneratorOptions options;
    options.entries = command.entries;
    options.token = command.token;
    options.model = command.model;
    options.threads = command.threads;
    const bool hasTokens = readCustomerTokens(command.customerTokens, options);
    if (!trace || options.entries.empty() || !hasTokens) {
        std::cerr << "load: needs an entry URL, a known deployment, a rate and a length above 0, a "
                     "prompt scale above 0 and at most 1, and customer tokens as customer=token\n";
        return CommandStatus::BadInput;
    }
    options.trace = *trace;
    const std::vector<LoadRecord> records = LoadGenerator(options).run();
    std::string lines;
    for (const LoadRecord &record : records)
        lines += toJson(record).dump() + "\n";
    const LoadSummary summary = summarize(records);
    std::cout << toText(summary, records);
    const bool isWritten = writeReportFile(command.linesFile, lines)
        && writeReportFile(command.summaryFile, toJson(summary, records).dump(2) + "\n");
    if (!isWritten)
        return CommandStatus::Failed;
    return summary.isFaultless() ? CommandStatus::Done : CommandStatus::FaultFound;
}

} // namespace foxtailtally
