#include "gateway/requests/admissionqueue.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>

namespace cranberry {

namespace {

/// Position of a waiting request in the order.
struct Rank {
    bool isNew = true;
    bool isLate = false;
    uint32_t priority = 0;
    double startTag = 0; ///< Its organisation's served work and waiting work before it, by weight.

    std::partial_ordering operator<=>(const Rank &) const = default;
};

struct RankedRequest {
    Rank rank;
    const WaitingRequest *request = nullptr;
};

/// Computes start tags while the requests are traversed by class and arrival time.
class StartTags
{
public:
    StartTags(const FairShares &shares, TimeMs now) : shares_(shares), now_(now) { }

    double next(const WaitingRequest &request)
    {
        const auto [entry, isNew] = flows_.try_emplace(&request.flow);
        Flow &flow = entry->second;
        if (isNew)
            flow = {shares_.served(request.flow, now_), shares_.weight(request.flow.organisation)};
        const double tag = flow.tag;
        flow.tag += request.work / flow.weight;
        return tag;
    }

private:
    struct Flow {
        double tag = 0;
        double weight = 1;
    };
    struct FlowHash {
        size_t operator()(const RequestFlow *flow) const { return NameHash()(flow->organisation); }
    };
    struct SameFlow {
        bool operator()(const RequestFlow *a, const RequestFlow *b) const { return *a == *b; }
    };
    const FairShares &shares_;
    TimeMs now_;
    std::unordered_map<const RequestFlow *, Flow, FlowHash, SameFlow> flows_;
};

bool isBefore(const WaitingRequest &a, const WaitingRequest &b)
{
    return std::tie(a.priority, a.arrivedAt) < std::tie(b.priority, b.arrivedAt);
}

/// Sorts requests that are sorted by priority and arrival time into the order in which they are served.
std::vector<RankedRequest> ranked(const std::vector<const WaitingRequest *> &waiting, TimeMs now,
                                  const FairShares &shares)
{
    std::vector<RankedRequest> out;
    out.reserve(waiting.size());
    StartTags tags(shares, now);
    for (const bool isLate : {false, true}) {
        for (const WaitingRequest *request : waiting) {
            if ((now > request->inTimeUntil) == isLate)
                out.push_back(
                    {{!request->isResumption, isLate, request->priority, tags.next(*request)}, request});
        }
    }
    std::stable_sort(out.begin(), out.end(),
                     [](const RankedRequest &a, const RankedRequest &b) { return a.rank < b.rank; });
    return out;
}

} // namespace

void AdmissionQueue::add(const WaitingRequest &request)
{
    waiting_.insert(std::upper_bound(waiting_.begin(), waiting_.end(), request, isBefore), request);
}

void AdmissionQueue::remove(CallerId caller)
{
    std::erase_if(waiting_, [caller](const WaitingRequest &request) { return request.caller == caller; });
}

std::vector<CallerId> AdmissionQueue::inOrder(TimeMs now, const FairShares &shares) const
{
    std::vector<const WaitingRequest *> requests;
    requests.reserve(waiting_.size());
    for (const WaitingRequest &request : waiting_)
        requests.push_back(&request);
    std::vector<CallerId> order;
    order.reserve(requests.size());
    for (const RankedRequest &request : ranked(requests, now, shares))
        order.push_back(request.request->caller);
    return order;
}

std::vector<const WaitingRequest *> AdmissionQueue::ahead(const WaitingRequest &request, TimeMs now,
                                                          const FairShares &shares) const
{
    std::vector<const WaitingRequest *> requests;
    for (const WaitingRequest &other : waiting_) {
        if (other.flow.service == request.flow.service)
            requests.push_back(&other);
    }
    const auto place
        = std::upper_bound(requests.begin(), requests.end(), &request,
                           [](const WaitingRequest *a, const WaitingRequest *b) { return isBefore(*a, *b); });
    requests.insert(place, &request);
    std::vector<const WaitingRequest *> out;
    for (const RankedRequest &other : ranked(requests, now, shares)) {
        if (other.request == &request)
            break;
        out.push_back(other.request);
    }
    return out;
}

} // namespace cranberry
