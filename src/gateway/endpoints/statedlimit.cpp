#include "gateway/endpoints/statedlimit.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

constexpr uint32_t AnswersToLiftLimit = 4;
constexpr double MinPerSecond = 0.2;
constexpr uint32_t UpdateSends = 3;
constexpr DurationMs UpdateRepeatInterval{300};
/// Interval of the reminders for daemons that lost all earlier updates.
constexpr DurationMs ReminderInterval{5000};

} // namespace

bool StatedLimit::updateFromAnswer(std::optional<RequestRate> stated, TimeMs sentAt, TimeMs now)
{
    if (!stated && sentAt < updatedAt_)
        return false;
    const bool isChanged = stated ? stated != limit_ || answersWithoutLimit_ > 0 : limit_.has_value();
    if (stated) {
        set(stated, 0, now, now);
    } else {
        const uint32_t clears = answersWithoutLimit_ + 1;
        set(clears < AnswersToLiftLimit ? limit_ : std::nullopt, clears, sentAt, now);
    }
    if (isChanged) {
        nextUpdateAt_ = now;
        updatesLeft_ = UpdateSends;
    }
    return isChanged;
}

bool StatedLimit::updateFromPeer(const LimitUpdate &update, TimeMs now)
{
    const TimeMs heardAt = now - update.age;
    if (heardAt <= updatedAt_)
        return false;
    const bool isNews
        = update.limit != limit_ || (update.limit && update.responsesWithoutLimit != answersWithoutLimit_);
    set(update.limit, update.responsesWithoutLimit, heardAt, now - update.knownFor);
    return isNews;
}

void StatedLimit::set(std::optional<RequestRate> limit, uint32_t clears, TimeMs heardAt, TimeMs standsSince)
{
    if (!limit_)
        limitedSince_ = standsSince;
    limit_ = limit;
    answersWithoutLimit_ = limit ? std::min(clears, AnswersToLiftLimit) : 0;
    updatedAt_ = heardAt;
}

double StatedLimit::perSecond() const
{
    return limit_
        ? std::ldexp(std::max(limit_->perSecond, MinPerSecond), static_cast<int>(answersWithoutLimit_))
        : 0;
}

LimitUpdate StatedLimit::toUpdate(const EndpointIncarnation &endpoint, TimeMs now) const
{
    return {endpoint, limit_, answersWithoutLimit_, now - updatedAt_, now - limitedSince_};
}

bool StatedLimit::isUpdateDue(bool sendsReminders, TimeMs now)
{
    if ((updatesLeft_ == 0 && !(sendsReminders && limit_)) || now < nextUpdateAt_)
        return false;
    updatesLeft_ -= std::min(updatesLeft_, 1U);
    nextUpdateAt_ = now + (updatesLeft_ > 0 ? UpdateRepeatInterval : ReminderInterval);
    return true;
}

} // namespace cranberry
