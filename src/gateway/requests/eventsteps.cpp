#include "gateway/requests/eventsteps.h"

namespace cranberry {

void EventSteps::record(const ServiceName &service, uint64_t step)
{
    Step &known = steps_.try_emplace(service, Step{step, false}).first->second;
    known.differs = known.differs || known.step != step;
}

std::optional<uint64_t> EventSteps::usual(const ServiceName &service) const
{
    const auto found = steps_.find(service);
    if (found == steps_.end() || found->second.differs)
        return std::nullopt;
    return found->second.step;
}

} // namespace cranberry
