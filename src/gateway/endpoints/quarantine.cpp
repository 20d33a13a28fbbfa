#include "gateway/endpoints/quarantine.h"

#include "common/random.h"
#include "gateway/endpoints/quarantinelist.h"

#include <algorithm>
#include <utility>

namespace cranberry {

namespace {

/// Rows of 60 B, and 19 B for each part, in one datagram.
constexpr size_t MaxCrashesPerNotice = 256;
constexpr size_t MaxPartsPerNotice = 1500;
/// Crashes of the requests with most crashes. Kept small, since each serving daemon sends them to a new
/// daemon.
constexpr size_t MaxCrashesForNewDaemon = 64;
/// Number of times a quarantine is sent again. On links that lose half of all datagrams one in eight daemons
/// misses it, and reads it from the store.
constexpr uint32_t ResendCount = 3;
constexpr DurationMs ResendInterval{300};
/// Between two notices about a part that is about to be quarantined.
constexpr DurationMs CandidateInterval{50};
constexpr DurationMs MinObjectionTime{150};
/// Crashes after which a request is quarantined also if a suspected part of other requests was at all of
/// them.
constexpr size_t MinCrashesBesideParts = 5;
/// All daemons that have proof of a part answer a suspicion at a random time, the first one for all.
constexpr DurationMs ProofDelayPerDaemon{2};

} // namespace

const char *toText(QuarantineSource source)
{
    switch (source) {
    case QuarantineSource::Own:
        return "own";
    case QuarantineSource::Peer:
        return "peer";
    case QuarantineSource::Store:
        return "store";
    }
    return "";
}

// A crash under a request with a quarantined part needs no other explanation.
std::vector<RequestDigest> Quarantine::applyCrashes(const std::vector<EndpointCrash> &losses,
                                                    QuarantineSource source, TimeMs now)
{
    for (const EndpointCrash &crash : losses) {
        const bool isExplained = std::any_of(crash.parts.begin(), crash.parts.end(), [&](RequestDigest part) {
            return suspects_.isQuarantined(part, now);
        });
        if (isExplained)
            suspects_.forgive(parts_.explain({crash.endpoint}, now));
    }
    std::vector<RequestDigest> fresh;
    for (const EndpointCrash &crash : losses) {
        const std::optional<RequestDigest> part = parts_.recordCrash(crash, now);
        if (part && !suspects_.isQuarantined(*part, now)) {
            const bool isOwn = source == QuarantineSource::Own;
            candidates_.try_emplace(*part, Candidate{now + objectionTime_, now, isOwn});
        }
        if (parts_.isExplained(crash.endpoint) || !suspects_.recordCrash(crash, now))
            continue;
        const std::set<EndpointIncarnation> crashed = suspects_.endpointsOf(crash.request);
        if (crashed.size() < MinCrashesBesideParts && parts_.covers(crashed, crash.parts)) {
            suspects_.release(crash.request);
            continue;
        }
        fresh.push_back(crash.request);
        if (source == QuarantineSource::Own && resends_.size() < MaxQuarantinedSent)
            resends_.push_back({crash.request, now + ResendInterval, ResendCount});
    }
    return fresh;
}

// A daemon that restarted or rarely saw the part may lack the proof that others have. They get the time and
// the reason to tell it.
std::vector<RequestDigest> Quarantine::decide(TimeMs now)
{
    std::vector<RequestDigest> fresh;
    for (const std::pair<const RequestDigest, Candidate> &each : candidates_) {
        const bool isDecided = now >= each.second.decideAt || parts_.isOnProbation(each.first);
        if (!isDecided || !parts_.standsOut(each.first) || suspects_.isQuarantined(each.first, now))
            continue;
        quarantinePart(each.first, now);
        fresh.push_back(each.first);
        if (each.second.isOwn && resends_.size() < MaxQuarantinedSent)
            resends_.push_back({each.first, now + ResendInterval, ResendCount});
    }
    std::erase_if(candidates_, [&](const auto &each) {
        return now >= each.second.decideAt || !parts_.standsOut(each.first);
    });
    return fresh;
}

void Quarantine::quarantinePart(RequestDigest part, TimeMs now)
{
    const std::set<EndpointIncarnation> crashed = parts_.explainBy(part, now);
    suspects_.quarantine(part, now + CrashSuspects::QuarantineTime, now);
    suspects_.forgive(crashed);
}

std::vector<RequestDigest> Quarantine::applyQuarantined(const std::vector<QuarantinedRequest> &list,
                                                        int64_t wallOffset, TimeMs now)
{
    std::vector<RequestDigest> fresh;
    for (const QuarantinedRequest &each : list) {
        if (!suspects_.quarantine(each.request, {each.untilWallMs - wallOffset}, now))
            continue;
        fresh.push_back(each.request);
        if (parts_.isSuspected(each.request))
            suspects_.forgive(parts_.explainBy(each.request, now));
    }
    return fresh;
}

void Quarantine::onOwnAnswer(RequestDigest request, TimeMs now)
{
    if (suspects_.recordAnswer(request, now))
        answered_.push_back(request);
}

void Quarantine::onPeerAnswer(RequestDigest request, TimeMs now)
{
    if (suspects_.isQuarantined(request, now))
        parts_.acquit(request);
    suspects_.recordAnswer(request, now);
}

void Quarantine::onOwnProof(const std::vector<RequestDigest> &parts, const SoftwareVersion &version,
                            TimeMs now)
{
    parts_.recordProof(parts, version, now);
    for (const RequestDigest part : parts) {
        if (!suspects_.isQuarantined(part, now))
            continue;
        parts_.acquit(part);
        onOwnAnswer(part, now);
    }
}

void Quarantine::onPeerProof(const ProvenParts &proven, TimeMs now)
{
    parts_.recordProof(proven.parts, proven.version, now);
    for (const RequestDigest part : proven.parts) {
        dueProofs_.erase(part);
        // The objection came too late: it was for the version of the crashes.
        if (suspects_.isQuarantined(part, now))
            onPeerAnswer(part, now);
    }
}

void Quarantine::setServingDaemons(size_t count)
{
    proofDelay_ = ProofDelayPerDaemon * static_cast<int64_t>(count);
    objectionTime_ = MinObjectionTime + proofDelay_;
}

void Quarantine::answerSuspicion(const EndpointCrash &crash, Random &random, TimeMs now)
{
    for (const RequestDigest part : crash.parts) {
        if (!parts_.isProven(part, crash.version, now))
            continue;
        const DurationMs delay{static_cast<int64_t>(random.below(static_cast<uint64_t>(proofDelay_.count)))};
        dueProofs_.try_emplace(part, DueProof{crash.version, now + delay});
    }
}

std::vector<RequestDigest> Quarantine::unproven(const std::vector<RequestDigest> &parts,
                                                const SoftwareVersion &version, TimeMs now) const
{
    std::vector<RequestDigest> out;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(out),
                 [&](RequestDigest part) { return !parts_.isProven(part, version, now); });
    return out;
}

// Answers are batched per tick: an engine that crashed without fault of a request had up to 64 requests, and
// most are answered soon. Quarantines are sent again, since peers reach the same result from the same crashes
// only if no datagram is lost.
std::optional<CrashNotice> Quarantine::dueNotice(int64_t wallOffset, TimeMs now)
{
    CrashNotice notice;
    notice.answered = std::exchange(answered_, {});
    for (const std::pair<const RequestDigest, DueProof> &due : dueProofs_) {
        if (now >= due.second.at)
            notice.proven.push_back({due.second.version, {due.first}});
    }
    std::erase_if(dueProofs_, [now](const auto &due) { return now >= due.second.at; });
    for (std::pair<const RequestDigest, Candidate> &each : candidates_) {
        if (!each.second.isOwn || now < each.second.tellAt)
            continue;
        each.second.tellAt = now + CandidateInterval;
        const std::vector<EndpointCrash> crashes = parts_.crashesOf(each.first);
        notice.crashes.insert(notice.crashes.end(), crashes.begin(), crashes.end());
    }
    for (Resend &each : resends_) {
        if (now < each.at)
            continue;
        --each.left;
        each.at = now + ResendInterval;
        const DurationMs left = suspects_.timeLeft(each.request, now);
        if (left.count > 0)
            notice.quarantined.push_back({each.request, (now + left).count + wallOffset});
    }
    std::erase_if(resends_, [](const Resend &each) { return each.left == 0; });
    if (notice.answered.empty() && notice.quarantined.empty() && notice.proven.empty()
        && notice.crashes.empty())
        return std::nullopt;
    return notice;
}

// Without the earlier crashes a new daemon would start its count at zero, and each request that crashes
// endpoints would crash two more there.
std::optional<CrashNotice> Quarantine::noticeForNewDaemon(int64_t wallOffset, TimeMs now)
{
    CrashNotice notice{suspects_.crashes(MaxCrashesForNewDaemon), {}, list(wallOffset, now)};
    for (EndpointCrash &crash : parts_.crashes(MaxCrashesForNewDaemon))
        notice.crashes.push_back(std::move(crash));
    if (notice.crashes.empty() && notice.quarantined.empty())
        return std::nullopt;
    return notice;
}

// Rebuilt only when the quarantines change, since the wall-clock offset moves slightly at each tick.
const std::vector<QuarantinedRequest> &Quarantine::list(int64_t wallOffset, TimeMs now)
{
    if (listVersion_ == suspects_.version())
        return list_;
    listVersion_ = suspects_.version();
    list_.clear();
    for (const CrashSuspects::Quarantined &each : suspects_.quarantined(MaxQuarantinedSent, now))
        list_.push_back({each.request, each.until.count + wallOffset});
    return list_;
}

std::vector<CrashNotice> crashNotices(const std::vector<EndpointCrash> &losses)
{
    std::vector<CrashNotice> notices;
    size_t parts = 0;
    for (const EndpointCrash &crash : losses) {
        parts += crash.parts.size();
        if (notices.empty() || notices.back().crashes.size() == MaxCrashesPerNotice
            || parts > MaxPartsPerNotice) {
            notices.emplace_back();
            parts = crash.parts.size();
        }
        notices.back().crashes.push_back(crash);
    }
    return notices;
}

} // namespace cranberry
