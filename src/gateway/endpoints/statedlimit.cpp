#include "gateway/endpoints/statedlimit.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

constexpr uint32_t ClearsToLift = 4;
constexpr double LeastPerSecond = 0.2;
constexpr uint32_t Tellings = 3;
constexpr DurationMs TellAgainAfter{300};
/// Interval of the reminders for daemons that lost all earlier updates.
constexpr DurationMs RemindPace{5000};

} // namespace

bool StatedLimit::hear(std::optional<RequestRate> stated, TimeMs sentAt, TimeMs now)
{
    if (!stated && sentAt < heardAt_)
        return false;
    const bool isNews = stated ? stated != limit_ || clears_ > 0 : limit_.has_value();
    if (stated) {
        set(stated, 0, now, now);
    } else {
        const uint32_t clears = clears_ + 1;
        set(clears < ClearsToLift ? limit_ : std::nullopt, clears, sentAt, now);
    }
    if (isNews) {
        tellAt_ = now;
        tellingsLeft_ = Tellings;
    }
    return isNews;
}

bool StatedLimit::learn(const LimitWord &word, TimeMs now)
{
    const TimeMs heardAt = now - word.age;
    if (heardAt <= heardAt_)
        return false;
    const bool isNews = word.limit != limit_ || (word.limit && word.clears != clears_);
    set(word.limit, word.clears, heardAt, now - word.standing);
    return isNews;
}

void StatedLimit::set(std::optional<RequestRate> limit, uint32_t clears, TimeMs heardAt, TimeMs standsSince)
{
    if (!limit_)
        standsSince_ = standsSince;
    limit_ = limit;
    clears_ = limit ? std::min(clears, ClearsToLift) : 0;
    heardAt_ = heardAt;
}

double StatedLimit::perSecond() const
{
    return limit_ ? std::ldexp(std::max(limit_->perSecond, LeastPerSecond), static_cast<int>(clears_)) : 0;
}

LimitWord StatedLimit::word(const EndpointLife &endpoint, TimeMs now) const
{
    return {endpoint, limit_, clears_, now - heardAt_, now - standsSince_};
}

bool StatedLimit::isTellingDue(bool reminds, TimeMs now)
{
    if ((tellingsLeft_ == 0 && !(reminds && limit_)) || now < tellAt_)
        return false;
    tellingsLeft_ -= std::min(tellingsLeft_, 1U);
    tellAt_ = now + (tellingsLeft_ > 0 ? TellAgainAfter : RemindPace);
    return true;
}

} // namespace cranberry
