#include "gateway/requests/admissionqueue.h"

#include <algorithm>
#include <tuple>

namespace cranberry {

void AdmissionQueue::add(const WaitingRequest &request)
{
    const auto isBefore = [](const WaitingRequest &a, const WaitingRequest &b) {
        return std::tie(a.priority, a.arrivedAt) < std::tie(b.priority, b.arrivedAt);
    };
    waiting_.insert(std::upper_bound(waiting_.begin(), waiting_.end(), request, isBefore), request);
}

void AdmissionQueue::remove(CallerId caller)
{
    std::erase_if(waiting_, [caller](const WaitingRequest &request) { return request.caller == caller; });
}

std::vector<CallerId> AdmissionQueue::inOrder(TimeMs now) const
{
    std::vector<CallerId> order;
    for (const bool inTime : {true, false}) {
        for (const WaitingRequest &request : waiting_) {
            if ((now <= request.inTimeUntil) == inTime)
                order.push_back(request.caller);
        }
    }
    return order;
}

} // namespace cranberry
