#include "load/workload/trace.h"

#include "core/hash.h"
#include "core/random.h"
#include "core/text.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

namespace foxtailtally {

namespace {

constexpr std::size_t kBytesPerToken = 5;
/** Maximum delay between a request and its repetition by the caller. */
constexpr absl::Duration kMaxRepeatDelay = absl::Seconds(10);

double uniformIn(Random &random, double low, double high)
{
    return low + (high - low) * random.uniform();
}

/** Draws from a bounded Pareto distribution by inverse transform sampling. */
std::int64_t promptLength(const RequestKind &kind, double scale, Random &random)
{
    const auto low = static_cast<double>(kind.minPromptTokens);
    const auto high = static_cast<double>(kind.maxPromptTokens);
    const double ratio = std::pow(low / high, kind.paretoShape);
    const double length =
        low / std::pow(1.0 - random.uniform() * (1.0 - ratio), 1.0 / kind.paretoShape);
    return std::max<std::int64_t>(1, std::llround(std::min(length, high) * scale));
}

/** Index drawn with probability proportional to @p weights. */
std::size_t drawIndex(const std::vector<double> &weights, Random &random)
{
    double total = 0;
    for (const double weight : weights)
        total += weight;
    double point = random.uniform() * total;
    for (std::size_t i = 0; i + 1 < weights.size(); ++i) {
        point -= weights[i];
        if (point < 0)
            return i;
    }
    return weights.size() - 1;
}

/** Ratio of the rate at @p progress (0 to 1) of the trace to the peak rate. */
double rateFactor(RateShape shape, double progress)
{
    if (shape == RateShape::Steady)
        return 1;
    return std::clamp(progress * 3 - 1, 0.0, 1.0);
}

class TraceGenerator
{
public:
    explicit TraceGenerator(const TraceOptions &options)
        : options(options)
        , deployment(*options.deployment)
        , random(options.seed)
    {
        for (const RequestKind &kind : this->deployment.kinds) {
            const bool isAction = !kind.service.empty();
            this->kindWeights.push_back(isAction && !options.withActions ? 0 : kind.weight);
        }
        for (int i = 0; i < this->deployment.customers; ++i)
            this->customerWeights.push_back(1.0 / (i + 1));
    }

    std::vector<TracedRequest> run()
    {
        absl::Duration at;
        while (true) {
            at += absl::Seconds(-std::log(1.0 - this->random.uniform())
                                / this->options.requestsPerSecond);
            if (at >= this->options.length)
                break;
            // Thinning: each arrival at the peak rate is kept with probability rateFactor().
            const double factor =
                rateFactor(this->options.shape, absl::FDivDuration(at, this->options.length));
            if (this->random.uniform() < factor)
                this->addRequest(at);
        }
        this->sortBySendTime();
        return std::move(this->requests);
    }

private:
    void addRequest(absl::Duration at)
    {
        TracedRequest request;
        request.sendAt = at;
        request.kind = drawIndex(this->kindWeights, this->random);
        request.original = this->requests.size();
        const RequestKind &kind = this->deployment.kinds[request.kind];
        const std::size_t customer = drawIndex(this->customerWeights, this->random);
        RequestProfile &profile = request.profile;
        profile.id = RequestId(absl::StrCat("r", request.original));
        profile.customer = CustomerId(absl::StrCat("customer-", customer));
        profile.model = ModelId(std::string(this->deployment.model));
        profile.requestClass = kind.requestClass;
        profile.promptTokens = promptLength(kind, this->options.promptScale, this->random);
        profile.maxNewTokens =
            std::llround(uniformIn(this->random, static_cast<double>(kind.minNewTokens),
                                   static_cast<double>(kind.maxNewTokens)));
        request.deadline = kind.deadline;
        request.isSlowReader = this->random.uniform() < this->deployment.slowReaderRatio;
        this->addPrefix(profile, kind, this->random.next());
        this->requests.push_back(request);
        if (this->random.uniform() >= this->deployment.repeatedSendRatio)
            return;
        request.sendAt += kMaxRepeatDelay * this->random.uniform();
        if (request.sendAt >= this->options.length)
            return;
        request.profile.id = RequestId(absl::StrCat("r", this->requests.size()));
        this->requests.push_back(std::move(request));
    }

    void addPrefix(RequestProfile &profile, const RequestKind &kind, std::uint64_t unique) const
    {
        const std::string shared = absl::StrCat(profile.customer.str(), "/", asAbsl(kind.name));
        std::uint64_t chain = stableHash(shared);
        const auto sharedTokens =
            std::llround(static_cast<double>(kind.sharedPrefixTokens) * this->options.promptScale);
        for (std::int64_t end = kPrefixBlockTokens; end <= profile.promptTokens;
             end += kPrefixBlockTokens) {
            const std::uint64_t content =
                end <= sharedTokens ? static_cast<std::uint64_t>(end) : unique;
            chain = stableHash(absl::StrCat(chain, ".", content));
            profile.prefixBlocks.push_back(chain);
        }
        profile.fingerprint = fingerprintOf(absl::StrCat(shared, "/", unique));
    }

    void sortBySendTime()
    {
        std::vector<std::size_t> order(this->requests.size());
        for (std::size_t i = 0; i < order.size(); ++i)
            order[i] = i;
        std::stable_sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
            return this->requests[a].sendAt < this->requests[b].sendAt;
        });
        std::vector<std::size_t> newIndex(order.size());
        std::vector<TracedRequest> sorted;
        sorted.reserve(order.size());
        for (std::size_t i = 0; i < order.size(); ++i) {
            newIndex[order[i]] = i;
            sorted.push_back(std::move(this->requests[order[i]]));
        }
        for (TracedRequest &request : sorted)
            request.original = newIndex[request.original];
        this->requests = std::move(sorted);
    }

    const TraceOptions &options;
    const Deployment &deployment;
    Random random;
    std::vector<double> kindWeights;
    std::vector<double> customerWeights;
    std::vector<TracedRequest> requests;
};

} // namespace

TraceOptionsBuilder &TraceOptionsBuilder::setDeployment(std::string_view name)
{
    this->options.deployment = findDeployment(name);
    return *this;
}

TraceOptionsBuilder &TraceOptionsBuilder::setRate(double requestsPerSecond)
{
    this->options.requestsPerSecond = requestsPerSecond;
    return *this;
}

TraceOptionsBuilder &TraceOptionsBuilder::setLength(absl::Duration length)
{
    this->options.length = length;
    return *this;
}

TraceOptionsBuilder &TraceOptionsBuilder::setShape(RateShape shape)
{
    this->options.shape = shape;
    return *this;
}

TraceOptionsBuilder &TraceOptionsBuilder::setWithActions(bool withActions)
{
    this->options.withActions = withActions;
    return *this;
}

TraceOptionsBuilder &TraceOptionsBuilder::setPromptScale(double scale)
{
    this->options.promptScale = scale;
    return *this;
}

TraceOptionsBuilder &TraceOptionsBuilder::setSeed(std::uint64_t seed)
{
    this->options.seed = seed;
    return *this;
}

Result<TraceOptions> TraceOptionsBuilder::build() const
{
    const bool isValid = this->options.deployment != nullptr && this->options.requestsPerSecond > 0
        && this->options.length > absl::ZeroDuration() && this->options.promptScale > 0
        && this->options.promptScale <= 1;
    if (!isValid)
        return Error::SettingsInvalid;
    return this->options;
}

std::vector<TracedRequest> generateTrace(const TraceOptions &options)
{
    return TraceGenerator(options).run();
}

std::string promptText(const TracedRequest &request)
{
    const std::size_t length =
        static_cast<std::size_t>(request.profile.promptTokens) * kBytesPerToken;
    std::string text;
    text.reserve(length + 2 * kBytesPerToken);
    // Each block is filled with its chained hash, so that the common prefix of two prompts ends
    // where their block hashes differ.
    for (const std::uint64_t block : request.profile.prefixBlocks) {
        const std::string unit = absl::StrCat(absl::Hex(block, absl::kZeroPad16), " ");
        const std::size_t end = text.size() + kPrefixBlockTokens * kBytesPerToken;
        while (text.size() < end)
            text += unit;
        text.resize(end);
    }
    std::uint64_t tail = 0;
    for (const std::uint8_t byte : request.profile.fingerprint)
        tail = tail * 31 + byte;
    while (text.size() < length)
        absl::StrAppend(&text, absl::Hex(tail, absl::kZeroPad16), " ");
    text.resize(length);
    return text;
}

} // namespace foxtailtally
