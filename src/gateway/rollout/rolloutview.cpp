#include "gateway/rollout/rolloutview.h"

#include <algorithm>

namespace cranberry {

double movingShare(double trialShare, DurationMs inStage)
{
    const double part = static_cast<double>(std::clamp<int64_t>(inStage.count, 0, MovingTime.count))
        / static_cast<double>(MovingTime.count);
    return trialShare + part * (1 - trialShare);
}

void RolloutView::update(const RolloutsKnown &known, TimeMs knownAt)
{
    knownAt_ = std::max(knownAt_, knownAt);
    if (known == known_)
        return;
    known_ = known;
    std::erase_if(suspected_, [this](const std::pair<const ServiceName, SoftwareVersion> &each) {
        const RolloutRecord *record = undecided(each.first);
        return !record || record->target != each.second;
    });
}

void RolloutView::recordListed(const ServiceName &service, const SoftwareVersion &version, TimeMs listedAt)
{
    listed_[service].try_emplace(version, listedAt);
}

void RolloutView::removeUnlisted(const std::map<ServiceName, std::set<SoftwareVersion>> &listed)
{
    for (std::pair<const ServiceName, std::map<SoftwareVersion, TimeMs>> &service : listed_) {
        const auto present = listed.find(service.first);
        std::erase_if(service.second, [&](const std::pair<const SoftwareVersion, TimeMs> &version) {
            return present == listed.end() || !present->second.contains(version.first);
        });
    }
}

void RolloutView::suspect(const ServiceName &service)
{
    if (const RolloutRecord *record = undecided(service))
        suspected_[service] = record->target;
}

const RolloutRecord *RolloutView::recordOf(const ServiceName &service) const
{
    const auto found = known_.records.find(service);
    return found == known_.records.end() ? nullptr : &found->second;
}

const RolloutRecord *RolloutView::undecided(const ServiceName &service) const
{
    const RolloutRecord *record = recordOf(service);
    return record && !isDecided(record->stage) ? record : nullptr;
}

// An order without a record, and a version first listed in a newer view than the known orders, may be the
// start of a roll-out. Their endpoints get no requests yet; otherwise they would take their full share of all
// requests until the first record arrives.
RolloutView::Rule RolloutView::rule(const ServiceName &service, int64_t wallMs) const
{
    Rule out;
    const RolloutRecord *record = recordOf(service);
    if (record)
        out.barred = record->barred;
    for (const RolloutOrder &order : known_.orders) {
        if (order.service == service && (!record || !belongsTo(*record, order, known_.era)))
            out.barred.insert(order.target);
    }
    const auto listed = listed_.find(service);
    if (listed != listed_.end() && listed->second.size() > 1) {
        for (const std::pair<const SoftwareVersion, TimeMs> &version : listed->second) {
            if (version.second > knownAt_)
                out.barred.insert(version.first);
        }
    }
    if (!record || isDecided(record->stage))
        return out;
    const bool isBarred = out.barred.contains(record->target) || suspected_.contains(service);
    if (isBarred || record->stage == RolloutStage::Starting) {
        out.barred.insert(record->target);
        return out;
    }
    out.target = record->target;
    switch (record->stage) {
    case RolloutStage::Loading:
        out.loadRequests = record->loadRequests;
        [[fallthrough]];
    case RolloutStage::Trial:
        out.targetShare = record->share;
        out.barred.insert(record->target);
        break;
    case RolloutStage::Moving:
        out.targetShare = movingShare(record->share, DurationMs{wallMs - record->stageWallMs});
        out.barred.insert(record->target);
        break;
    default:
        out.targetShare = 1;
        out.includesRetries = true;
    }
    return out;
}

bool RolloutView::isUnderWay(const ServiceName &service) const
{
    const RolloutRecord *record = recordOf(service);
    return undecided(service) != nullptr
        || std::any_of(known_.orders.begin(), known_.orders.end(), [&](const RolloutOrder &order) {
               return order.service == service && (!record || !belongsTo(*record, order, known_.era));
           });
}

std::map<ServiceName, std::set<SoftwareVersion>> RolloutView::outOfUse() const
{
    std::map<ServiceName, std::set<SoftwareVersion>> out;
    for (const RolloutOrder &order : known_.orders) {
        const RolloutRecord *record = recordOf(order.service);
        if (!record || !belongsTo(*record, order, known_.era))
            out[order.service].insert(order.target);
    }
    for (const std::pair<const ServiceName, RolloutRecord> &each : known_.records) {
        const RolloutRecord &record = each.second;
        out[each.first].insert(record.barred.begin(), record.barred.end());
        if (record.stage < RolloutStage::Moving)
            out[each.first].insert(record.target);
    }
    return out;
}

} // namespace cranberry
