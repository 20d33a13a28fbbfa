// The age of the endpoint list against the bound for endpoints that leave, and whether the store is to blame.

#include "gateway/store/storesync.h"

#include <algorithm>

namespace cranberry {

namespace {

/// A well store replies to one of this daemon's calls within a renewal's interval and this.
constexpr DurationMs ReplyAllowance{500};
/// A call that is open for this part of the bound (1/5) shows a store that is slow or cut off.
constexpr int64_t SlowCallsPerBound = 5;

} // namespace

// A daemon without a list sends nothing, so its list is not late.
ListAge StoreSync::endpointsAge(TimeMs now) const
{
    return newestEndpoints_.count == 0 ? ListAge::Usual
                                       : listAgeOf(now - newestEndpoints_, settings_.drainTime);
}

// In a large fleet lists are left to the readers: were each daemon to read them, the store's link would be
// busy for seconds. Only those that serve do, and only where no reader replies any more: readers that are
// merely slow would be slower still.
bool StoreSync::readsLateListItself(TimeMs now) const
{
    const bool hearsReaders = now - readerRepliedAt_ < settings_.drainTime / 2;
    return settings_.self.serving && !hearsReaders && endpointsAge(now) >= ListAge::Overdue;
}

void StoreSync::recordTrouble(TimeMs now)
{
    const DurationMs slow{settings_.drainTime.count / SlowCallsPerBound};
    const bool anySlow
        = std::any_of(open_.begin(), open_.end(), [&](const std::pair<const uint64_t, OpenCall> &each) {
              return now - each.second.sentAt > slow;
          });
    if (anySlow)
        troubledAt_ = now;
}

bool StoreSync::isStoreWell(TimeMs now) const
{
    const DurationMs usual{settings_.leaseTime.count / 3 + ReplyAllowance.count};
    return heardAt_.count != 0 && now - heardAt_ <= usual
        && (troubledAt_.count == 0 || now - troubledAt_ > settings_.drainTime);
}

// Names the step that takes the time: a silent source, a whole list in parts, a read of the own.
void StoreSync::logListAge(TimeMs now)
{
    const ListAge age = endpointsAge(now);
    if (age == loggedAge_)
        return;
    const bool wasUsual = std::exchange(loggedAge_, age) == ListAge::Usual;
    if (wasUsual)
        lateSince_ = now;
    const auto unanswered = source_ ? unanswered_.find(*source_) : unanswered_.end();
    log_.write(LogPriority::State, "endpoint_list_age",
               {{"age", toText(age)},
                {"age_ms", (now - newestEndpoints_).count},
                {"late_for_ms", wasUsual ? 0 : (now - lateSince_).count},
                {"source", source_ ? toText(*source_) : "store"},
                {"unanswered_queries", unanswered == unanswered_.end() ? 0 : unanswered->second.queries},
                {"parts_after", endpoints_.lastReceived().value},
                {"failed_differences", failedDifferences_},
                {"reading", tooManyOpen(Purpose::ReadEndpoints)},
                {"serving", settings_.self.serving},
                {"store_well", isStoreWell(now)}});
}

} // namespace cranberry
