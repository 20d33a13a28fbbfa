#include "gateway/endpoints/endpointprobes.h"

#include <utility>

namespace cranberry {

bool EndpointProbes::add(const EndpointIncarnation &incarnation, InterruptedAttempt attempt, TimeMs now)
{
    const auto [probe, isNew] = pending_.try_emplace(incarnation, PendingProbe{now, {}});
    probe->second.attempts.push_back(std::move(attempt));
    return isNew;
}

// A reply from a process that started later shows that the probed one has exited.
std::optional<EndpointProbes::ProbeResult> EndpointProbes::take(const EngineProbed &event)
{
    const auto found = pending_.lower_bound({event.endpoint, {}});
    if (found == pending_.end() || found->first.id != event.endpoint)
        return std::nullopt;
    ProbeResult out{found->first, found->second.askedAt, std::move(found->second.attempts), event.process};
    pending_.erase(found);
    if (event.answered && event.start > out.incarnation.start)
        out.process = EndpointProcess::Exited;
    return out;
}

} // namespace cranberry
