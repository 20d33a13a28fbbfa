#include "gateway/endpointlimiter.h"

namespace cranberry {

bool EndpointLimiter::hear(std::optional<RequestRate> stated, TimeMs sentAt, TimeMs now)
{
    if (!stated && (!limit_ || sentAt < heardAt_))
        return false;
    const bool isNews = stated != limit_;
    limit_ = stated;
    heardAt_ = now;
    return isNews;
}

} // namespace cranberry
