#include "gateway/endpoints/partfetch.h"

#include "gateway/endpoints/endpointfleet.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Time to open a transfer, before the first byte moves.
constexpr double SetupMs = 5;
/// A transfer has to save at least this much time, since the source may have evicted the part.
constexpr double MinSavingMs = 20;
/// Between failure domains a transfer takes this many times as long.
constexpr double CrossDomainFactor = 2;
/// Share of a link's time that the transfers of all daemons may use together. The rest is left for migrated
/// generations, which have a deadline.
constexpr double LinkShare = 0.25;
/// Transfers may be booked this far ahead: a reclaimed engine's parts are to move within its notice period.
constexpr DurationMs BookAhead{4000};
/// Open transfers of all daemons on one link. It bounds the transfers from a source that does not respond.
constexpr size_t MaxOpenTransfers = 8;
/// In this time a part in use is requested at its new home by some daemon.
constexpr DurationMs NewHomeTime{10000};
/// Time without use after which a part is probably evicted.
constexpr DurationMs PartRetention{60000};
/// Bounds the memory of a daemon that sends very many different parts.
constexpr size_t MaxPartUses = 4096;
/// Bounds the cost of a decision for a part that many engines have cached.
constexpr size_t MaxSources = 4;

double waitMs(const FetchLink &link, TimeMs now)
{
    return static_cast<double>(std::max<int64_t>((link.busyUntil - now).count, 0));
}

} // namespace

bool FetchLink::maySend(size_t daemons, TimeMs now) const
{
    return open < std::max<size_t>(MaxOpenTransfers / daemons, 1) && bookedUntil <= now + BookAhead;
}

void FetchLink::start(double ms, size_t daemons, TimeMs now)
{
    ++open;
    busyUntil = std::max(busyUntil, now) + DurationMs{static_cast<int64_t>(ms)};
    bookedUntil = std::max(bookedUntil, now)
        + DurationMs{static_cast<int64_t>(ms * static_cast<double>(daemons) / LinkShare)};
}

void PartUses::record(const std::string &key, TimeMs now)
{
    if (lastUses_.size() >= MaxPartUses)
        std::erase_if(lastUses_, [now](const std::pair<const std::string, TimeMs> &use) {
            return now - use.second > PartRetention / 4;
        });
    if (lastUses_.size() < MaxPartUses)
        lastUses_[key] = now;
}

bool PartUses::wasUsedSince(const std::string &key, TimeMs since, TimeMs now) const
{
    const auto found = lastUses_.find(key);
    return found != lastUses_.end() && found->second >= since && now - found->second < PartRetention;
}

bool canFetchParts(const EngineFigures &engine)
{
    return engine.kvBytesPerToken > 0 && engine.linkMbps > 0;
}

double transferMs(const EngineFigures &engine, uint64_t tokens, bool sameDomain)
{
    const double kilobits = static_cast<double>(tokens) * engine.kvBytesPerToken * 8 / 1000;
    return kilobits / engine.linkMbps * (sameDomain ? 1 : CrossDomainFactor);
}

PartFetch::PartFetch(const EngineFigures *engine, const CallerRequest &request, const PartUses &uses,
                     size_t daemons, TimeMs now)
    : request_(request), uses_(uses), daemons_(std::max<size_t>(daemons, 1)), now_(now)
{
    if (!engine || !canFetchParts(*engine))
        return;
    key_ = sharedKey(request);
    engine_ = key_.empty() ? nullptr : engine;
    sharedTokens_ = sharedTokens(request);
    maxTokens_ = std::max<uint64_t>(request.promptTokens, 1) - 1;
}

bool PartFetch::isUsable(const FleetEndpoint &endpoint) const
{
    return endpoint.listed && endpoint.readable && !endpoint.gone && !endpoint.addressReused
        && endpoint.crashedUntil <= now_ && endpoint.avoidUntil <= now_
        && (!endpoint.leavesAt || *endpoint.leavesAt > now_);
}

// A part also has a new home when the weight of an engine has changed.
double PartFetch::weightBefore(const FleetEndpoint &endpoint) const
{
    const bool changedRecently
        = endpoint.homeWeightChangedAt.count > 0 && now_ - endpoint.homeWeightChangedAt <= NewHomeTime;
    return changedRecently ? endpoint.previousHomeWeight : endpoint.homeWeight;
}

void PartFetch::setPreviousHome(double rank, const FleetEndpoint *usable, bool maySend)
{
    if (rank < previousRank_)
        return;
    previousHome_ = usable;
    previousRank_ = rank;
    previousHomeMaySend_ = usable && maySend;
    wasInUse_ = usable && uses_.wasUsedSince(key_, usable->knownSince, now_);
}

// An engine that restarted was the home under the same id, but its new process has nothing cached.
void PartFetch::consider(const FleetEndpoint &endpoint, bool isSilent,
                         const std::set<EndpointIncarnation> &excluded)
{
    const bool usable = !isSilent && isUsable(endpoint);
    const bool maySend = usable && endpoint.link.maySend(daemons_, now_)
        && (excluded.empty() || !excluded.contains(endpoint.incarnation()));
    const bool isNew = endpoint.knownSince.count > 0 && now_ - endpoint.knownSince <= NewHomeTime;
    if (!isNew || endpoint.restartedAt.count > 0)
        setPreviousHome(weightedRank(key_, endpoint.entry.id, weightBefore(endpoint)),
                        usable && !isNew ? &endpoint : nullptr, maySend);
    const uint64_t tokens = maySend ? cachedTokens(endpoint, request_) : 0;
    if (tokens == 0)
        return;
    const Source source{&endpoint, tokens, rendezvousWeight(request_.id, endpoint.entry.id)};
    const auto isBetter = [](const Source &left, const Source &right) {
        return std::pair(left.tokens, left.rank) > std::pair(right.tokens, right.rank);
    };
    sources_.insert(std::upper_bound(sources_.begin(), sources_.end(), source, isBetter), source);
    if (sources_.size() > MaxSources)
        sources_.pop_back();
}

// Engines of different versions may lay out their caches differently.
bool PartFetch::canFetch(const Source &source, const FleetEndpoint &target, uint64_t cached) const
{
    return source.endpoint != &target && std::min(source.tokens, maxTokens_) > cached
        && source.endpoint->entry.version == target.entry.version;
}

double PartFetch::durationMs(const Source &source, const FleetEndpoint &target, uint64_t tokens) const
{
    const bool sameDomain = source.endpoint->entry.failureDomain == target.entry.failureDomain;
    return SetupMs + std::max(waitMs(source.endpoint->link, now_), waitMs(target.link, now_))
        + transferMs(*engine_, tokens, sameDomain);
}

void PartFetch::considerRemoved(const EndpointId &id, TimeMs removedAt)
{
    if (now_ - removedAt <= NewHomeTime)
        setPreviousHome(weightedRank(key_, id, 1), nullptr, false);
}

std::optional<KvFetch> PartFetch::plan(const FleetEndpoint &target, bool isPreferred, uint64_t cached,
                                       double tokensPerMs) const
{
    const bool hasNewHome = previousHome_ && previousHome_ != &target;
    if (!engine_ || (isPreferred && !hasNewHome) || !target.link.maySend(daemons_, now_))
        return std::nullopt;
    const FleetEndpoint *best = nullptr;
    uint64_t bestTokens = 0;
    double bestMs = 0;
    double bestSaving = MinSavingMs;
    const auto compare = [&](const Source &source) {
        if (!canFetch(source, target, cached))
            return;
        const uint64_t tokens = std::min(source.tokens, maxTokens_) - cached;
        const double ms = durationMs(source, target, tokens);
        const double saving = static_cast<double>(tokens) / tokensPerMs - ms;
        const std::optional<TimeMs> &leavesAt = source.endpoint->leavesAt;
        if (saving <= bestSaving || (leavesAt && now_ + DurationMs{static_cast<int64_t>(ms)} >= *leavesAt))
            return;
        best = source.endpoint;
        bestTokens = tokens;
        bestMs = ms;
        bestSaving = saving;
    };
    for (const Source &source : sources_)
        compare(source);
    if (previousHomeMaySend_ && (isPreferred || wasInUse_))
        compare({previousHome_, sharedTokens_, 0});
    return best ? std::optional<KvFetch>({best->incarnation(), bestTokens, bestMs}) : std::nullopt;
}

} // namespace cranberry
