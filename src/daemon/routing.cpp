#include "daemon/routing.h"

#include "daemon/safeguards.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace cranberry {

namespace {

constexpr DurationMs InitialPause{250};
constexpr uint32_t MaxPauseDoublings = 5;
constexpr uint32_t SampleTries = 16;
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

// Endpoints that remain keep their state, so that a configuration change does not lose the attempts in
// progress. The prefix index refers to endpoints by position and is cleared if their order changed.
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
    byName_.clear();
    services_.clear();
    for (uint32_t i = 0; i < endpoints_.size(); ++i) {
        byName_[endpoints_[i].endpoint.name] = i;
        ServiceIndex &service = services_[endpoints_[i].service];
        service.endpoints.push_back(i);
        service.running += endpoints_[i].running;
    }
}

std::optional<uint32_t> EndpointTable::find(const EndpointName &name) const
{
    auto found = byName_.find(name);
    return found == byName_.end() ? std::nullopt : std::optional<uint32_t>(found->second);
}

// Returns a weighted prediction of the time to first token in milliseconds: the wait behind this daemon's
// outstanding work, plus prefill of the tokens that the endpoint is not expected to have cached.
double EndpointTable::cost(uint32_t index, const RoutingQuery &query) const
{
    const EndpointState &state = endpoints_[index];
    const double perToken = 1000.0 / query.service.prefillTokensPerSecond;
    const double cachedPrefixTokens
        = static_cast<double>(prefixes_.overlap(query.prefix, index)) * TokensPerBlock;
    const double uncached = std::max(0.0, static_cast<double>(query.workTokens) - cachedPrefixTokens);
    const double waiting = static_cast<double>(state.outstandingTokens) / state.endpoint.slots;
    return perToken * (query.weights.latency * waiting + query.weights.recomputedTokens * uncached);
}

// The mark excludes a leaving endpoint that still responds during its notice while the instance list lags
// behind. Checking the mark at each selection is sufficient, since attempts start nowhere else.
bool EndpointTable::isUsable(uint32_t index, const RoutingQuery &query, const MarkTable &marks,
                             TimeMs now) const
{
    const EndpointState &state = endpoints_[index];
    const bool leaving = marks.isLeaving(state.endpoint.instance) && isOn(Safeguard::AvoidLeavingEndpoints);
    return state.service == query.service.name && state.running < state.endpoint.slots
        && state.avoidUntil <= now && state.endpoint.name != query.avoidEndpoint && !leaving;
}

bool EndpointTable::hasAlternative(const RoutingQuery &query, const MarkTable &marks) const
{
    auto service = services_.find(query.service.name);
    if (service == services_.end())
        return false;
    const std::vector<uint32_t> &all = service->second.endpoints;
    return std::any_of(all.begin(), all.end(), [&](uint32_t index) {
        const Endpoint &endpoint = endpoints_[index].endpoint;
        return endpoint.name != query.avoidEndpoint && !marks.isLeaving(endpoint.instance);
    });
}

// Returns two usable endpoints drawn at random, which takes few draws if most endpoints are usable. If
// SampleTries draws don't find two, or in a small service, returns all usable endpoints.
std::vector<uint32_t> EndpointTable::candidates(const RoutingQuery &query, const MarkTable &marks, TimeMs now,
                                                Random &random) const
{
    auto service = services_.find(query.service.name);
    if (service == services_.end())
        return {};
    const std::vector<uint32_t> &all = service->second.endpoints;
    std::vector<uint32_t> out;
    for (uint32_t i = 0; all.size() > SampleTries && i < SampleTries && out.size() < 2; ++i) {
        const uint32_t index = all[random.below(all.size())];
        if ((out.empty() || out.front() != index) && isUsable(index, query, marks, now))
            out.push_back(index);
    }
    if (out.size() == 2)
        return out;
    out.clear();
    for (const uint32_t index : all) {
        if (isUsable(index, query, marks, now))
            out.push_back(index);
    }
    return out;
}

// A retry may return to the endpoint that failed if the service has no other one. Otherwise it would wait
// until its deadline, although that endpoint serves other requests. The pause after a failure still applies.
std::optional<uint32_t> EndpointTable::choose(const RoutingQuery &query, const MarkTable &marks, TimeMs now,
                                              Random &random)
{
    // Step 1. Collect candidates of this service with a free slot, not leaving and not paused after a
    // failure.
    const std::vector<uint32_t> usable = candidates(query, marks, now, random);
    if (usable.empty()) {
        if (query.avoidEndpoint.value.empty() || hasAlternative(query, marks))
            return std::nullopt;
        RoutingQuery anyEndpoint = query;
        anyEndpoint.avoidEndpoint = {};
        return choose(anyEndpoint, marks, now, random);
    }

    // Step 2. Compare two random candidates and the endpoint with the longest known prefix; the lowest cost
    // wins.
    const std::optional<uint32_t> holder = prefixes_.longest(query.prefix);
    const size_t first = random.below(usable.size());
    const size_t second = (first + 1 + random.below(usable.size() - 1)) % usable.size();
    std::vector<uint32_t> finalists = {usable[first], usable[second]};
    if (holder && isUsable(*holder, query, marks, now))
        finalists.push_back(*holder);
    uint32_t best = finalists.front();
    double bestCost = std::numeric_limits<double>::max();
    for (const uint32_t index : finalists) {
        const double candidateCost = cost(index, query);
        if (candidateCost < bestCost) {
            best = index;
            bestCost = candidateCost;
        }
    }
    return best;
}

void EndpointTable::started(uint32_t index, const RoutingQuery &query)
{
    endpoints_[index].running += 1;
    services_[endpoints_[index].service].running += 1;
    endpoints_[index].outstandingTokens += query.workTokens;
    prefixes_.store(query.prefix, index);
}

void EndpointTable::finished(const EndpointName &name, uint64_t workTokens)
{
    const std::optional<uint32_t> index = find(name);
    if (!index)
        return;
    EndpointState &state = endpoints_[*index];
    if (state.running > 0) {
        --state.running;
        --services_[state.service].running;
    }
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
    state.avoidUntil = now + InitialPause * (1 << (state.failures - 1));
}

uint32_t EndpointTable::usableSlots(const ServiceName &service, const MarkTable &marks) const
{
    auto found = services_.find(service);
    if (found == services_.end())
        return 0;
    const ServiceIndex &index = found->second;
    if (index.marksSeen != marks.size()) {
        index.marksSeen = marks.size();
        index.usableSlots = 0;
        for (const uint32_t i : index.endpoints)
            index.usableSlots
                += marks.isLeaving(endpoints_[i].endpoint.instance) ? 0 : endpoints_[i].endpoint.slots;
    }
    return index.usableSlots;
}

uint32_t EndpointTable::running(const ServiceName &service) const
{
    auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.running;
}

} // namespace cranberry
