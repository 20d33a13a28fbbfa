#include "routing.h"

#include "safeguards.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace cranberry {

namespace {

constexpr DurationMs FirstPause{250};
constexpr uint32_t MaxPauseDoublings = 5;
constexpr double TokensPerBlock = PrefixIndex::BlockBytes / 4.0;

} // namespace

uint64_t predictedTokens(const std::string &text)
{
    return text.size() / 4 + 1;
}

std::vector<uint64_t> PrefixIndex::blockHashes(const std::string &prompt)
{
    std::vector<uint64_t> out;
    uint64_t hash = 0;
    for (size_t end = BlockBytes; end <= prompt.size(); end += BlockBytes) {
        hash = XXH3_64bits_withSeed(prompt.data() + end - BlockBytes, BlockBytes, hash);
        out.push_back(hash);
    }
    return out;
}

void PrefixIndex::store(const std::vector<uint64_t> &hashes, uint32_t endpoint)
{
    for (const uint64_t hash : hashes)
        slots_[hash % SlotCount] = {hash, endpoint};
}

size_t PrefixIndex::overlap(const std::vector<uint64_t> &hashes, uint32_t endpoint) const
{
    size_t count = 0;
    for (const uint64_t hash : hashes) {
        const Slot &slot = slots_[hash % SlotCount];
        if (slot.hash != hash || slot.endpoint != endpoint)
            break;
        ++count;
    }
    return count;
}

std::optional<uint32_t> PrefixIndex::longest(const std::vector<uint64_t> &hashes) const
{
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
        const Slot &slot = slots_[*hash % SlotCount];
        if (slot.hash == *hash)
            return slot.endpoint;
    }
    return std::nullopt;
}

// Endpoints that stay keep their state, so that a change of configuration elsewhere does not forget what is
// running. Prefix knowledge goes by index and is dropped if the order of endpoints changed.
void EndpointTable::configure(const Configuration &configuration)
{
    std::vector<EndpointState> next;
    for (const Service &service : configuration.services) {
        for (const Endpoint &endpoint : service.endpoints) {
            const std::optional<uint32_t> old = find(endpoint.name);
            EndpointState state = old ? endpoints_[*old] : EndpointState{};
            state.endpoint = endpoint;
            state.service = service.name;
            next.push_back(state);
        }
    }
    const bool sameOrder = std::equal(
        next.begin(), next.end(), endpoints_.begin(), endpoints_.end(),
        [](const EndpointState &a, const EndpointState &b) { return a.endpoint.name == b.endpoint.name; });
    if (!sameOrder)
        prefixes_ = PrefixIndex();
    endpoints_ = std::move(next);
}

std::optional<uint32_t> EndpointTable::find(const EndpointName &name) const
{
    for (uint32_t i = 0; i < endpoints_.size(); ++i) {
        if (endpoints_[i].endpoint.name == name)
            return i;
    }
    return std::nullopt;
}

// Predicted milliseconds until the first token, weighed: waiting behind own outstanding work, and prefill of
// the part of the prompt that the endpoint is not thought to hold.
double EndpointTable::cost(uint32_t index, const RoutingQuestion &question) const
{
    const EndpointState &state = endpoints_[index];
    const double perToken = 1000.0 / question.service.prefillTokensPerSecond;
    const double held = static_cast<double>(prefixes_.overlap(question.prefix, index)) * TokensPerBlock;
    const double uncached = std::max(0.0, static_cast<double>(question.workTokens) - held);
    const double waiting = static_cast<double>(state.outstandingTokens) / state.endpoint.slots;
    return perToken * (question.weights.latency * waiting + question.weights.recomputedTokens * uncached);
}

std::optional<uint32_t> EndpointTable::choose(const RoutingQuestion &question, const MarkTable &marks,
                                              TimeMs now, Random &random)
{
    // Step 1. Candidates: of this service, with a free slot, not leaving, not paused after a failure.
    // Failure that the mark guards against: the instance list lags, and the endpoint still answers while its
    // notice runs. Reading the mark at each choice is enough, since no other place starts work.
    std::vector<uint32_t> candidates;
    for (uint32_t i = 0; i < endpoints_.size(); ++i) {
        const EndpointState &state = endpoints_[i];
        if (state.service != question.service.name || state.running >= state.endpoint.slots)
            continue;
        if (state.avoidUntil > now || state.endpoint.name == question.avoid)
            continue;
        if (marks.isLeaving(state.endpoint.instance) && isOn(Safeguard::LeavingMarks))
            continue;
        candidates.push_back(i);
    }
    if (candidates.empty())
        return std::nullopt;

    // Step 2. Two at random and the one that holds most of the prompt; the cheapest wins.
    const std::optional<uint32_t> holder = prefixes_.longest(question.prefix);
    const size_t first = random.below(candidates.size());
    const size_t second = (first + 1 + random.below(candidates.size() - 1)) % candidates.size();
    std::vector<uint32_t> tried = {candidates[first], candidates[second]};
    if (holder && std::find(candidates.begin(), candidates.end(), *holder) != candidates.end())
        tried.push_back(*holder);
    uint32_t best = tried.front();
    double bestCost = std::numeric_limits<double>::max();
    for (const uint32_t index : tried) {
        const double price = cost(index, question);
        if (price < bestCost) {
            best = index;
            bestCost = price;
        }
    }
    return best;
}

void EndpointTable::started(uint32_t index, const RoutingQuestion &question)
{
    endpoints_[index].running += 1;
    endpoints_[index].outstandingTokens += question.workTokens;
    prefixes_.store(question.prefix, index);
}

void EndpointTable::finished(const EndpointName &name, uint64_t workTokens)
{
    const std::optional<uint32_t> index = find(name);
    if (!index)
        return;
    EndpointState &state = endpoints_[*index];
    state.running -= std::min(state.running, 1U);
    state.outstandingTokens -= std::min(state.outstandingTokens, workTokens);
}

void EndpointTable::succeeded(const EndpointName &name)
{
    const std::optional<uint32_t> index = find(name);
    if (index)
        endpoints_[*index].failures = 0;
}

void EndpointTable::failed(const EndpointName &name, TimeMs now)
{
    const std::optional<uint32_t> index = find(name);
    if (!index)
        return;
    EndpointState &state = endpoints_[*index];
    state.failures = std::min(state.failures + 1, MaxPauseDoublings);
    state.avoidUntil = now + FirstPause * (1 << (state.failures - 1));
}

uint32_t EndpointTable::usableSlots(const ServiceName &service, const MarkTable &marks) const
{
    uint32_t slots = 0;
    for (const EndpointState &state : endpoints_) {
        if (state.service == service && !marks.isLeaving(state.endpoint.instance))
            slots += state.endpoint.slots;
    }
    return slots;
}

uint32_t EndpointTable::running(const ServiceName &service) const
{
    uint32_t count = 0;
    for (const EndpointState &state : endpoints_) {
        if (state.service == service)
            count += state.running;
    }
    return count;
}

} // namespace cranberry
