#include "gateway/endpoints/endpointprobes.h"

#include <utility>

namespace cranberry {

bool EndpointQuestions::add(const EndpointLife &life, BrokenAttempt broken, TimeMs now)
{
    const auto [question, isNew] = open_.try_emplace(life, Question{now, {}});
    question->second.broken.push_back(std::move(broken));
    return isNew;
}

// A reply from a process that started later shows that the probed one has exited.
std::optional<EndpointQuestions::Answered> EndpointQuestions::take(const EngineProbed &event)
{
    const auto found = open_.lower_bound({event.endpoint, {}});
    if (found == open_.end() || found->first.id != event.endpoint)
        return std::nullopt;
    Answered out{found->first, found->second.askedAt, std::move(found->second.broken), event.process};
    open_.erase(found);
    if (event.answered && event.start > out.life.start)
        out.process = EndpointProcess::Ended;
    return out;
}

} // namespace cranberry
