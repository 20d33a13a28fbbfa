#include "onedaemon.h"

#include <fmt/format.h>

namespace cranberry {

namespace {

std::string configurationText(size_t endpointCount)
{
    std::string endpoints;
    for (size_t i = 0; i < endpointCount; ++i)
        endpoints += fmt::format(
            R"({}{{"name":"endpoint-{}","instance":"instance-{}","failureDomain":"leioa","address":"10.0.0.1:{}","slots":8}})",
            i == 0 ? "" : ",", i, i, i + 1);
    return fmt::format(
        R"({{"failureDomains":["leioa"],"services":[{{"name":"redactor","kind":"model",)"
        R"("progressTimeoutMs":800,"endpoints":[{}]}}],"organisations":[{{"name":"diputacion"}}]}})",
        endpoints);
}

DaemonOptions daemonOptions(DurationMs drainLimit)
{
    DaemonOptions out;
    out.drainLimit = drainLimit;
    out.member.incarnation = {7};
    out.member.instance = {"entry-0"};
    out.member.failureDomain = {"leioa"};
    return out;
}

} // namespace

OneDaemon::OneDaemon(DurationMs drainLimit, size_t endpoints) : daemon_(daemonOptions(drainLimit))
{
    step(Tick{});
    step(ConfigurationReceived{{1}, configurationText(endpoints)});
}

RequestSpec OneDaemon::specOf(const std::string &body)
{
    RequestSpec spec;
    spec.organisation = {"diputacion"};
    spec.service = {"redactor"};
    spec.body = body;
    spec.prompt = body;
    spec.maxTokens = 20;
    return spec;
}

CallerId OneDaemon::submit(const std::string &body, bool idempotent)
{
    const CallerId caller{++callers_};
    RequestSpec spec = specOf(body);
    spec.idempotent = idempotent;
    step(CallerSubmit{caller, std::move(spec)});
    return caller;
}

void OneDaemon::pass(DurationMs duration)
{
    for (const TimeMs until = now_ + duration; now_ < until;) {
        now_ = now_ + TickInterval;
        step(Tick{});
    }
}

void OneDaemon::takeOver(const std::string &body)
{
    RequestCopy copy;
    copy.purpose = CopyPurpose::Handover;
    copy.request = {{9}, ++copies_, {}};
    copy.spec = specOf(body);
    copy.spec.deadline = {60000};
    step(PeerInbound{{9}, {}, copy});
}

void OneDaemon::failAttempts(const std::string &body, size_t maxFailures, DurationMs duration)
{
    const size_t before = failedAttempts;
    for (const TimeMs until = now_ + duration; now_ < until;) {
        now_ = now_ + TickInterval;
        step(Tick{});
        for (const StartAttempt &attempt : std::exchange(started_, {})) {
            if (attempt.spec->body != body || failedAttempts - before == maxFailures) {
                started_.push_back(attempt);
                continue;
            }
            ++failedAttempts;
            failedEndpoints.push_back(attempt.endpoint);
            step(EndpointFailed{attempt.attempt, phase});
        }
    }
}

void OneDaemon::answerAll()
{
    for (const StartAttempt &attempt : std::exchange(started_, {})) {
        EndpointEnd end;
        end.attempt = attempt.attempt;
        end.status = 200;
        step(end);
    }
}

void OneDaemon::step(const Event &event)
{
    for (const Action &action : daemon_.step(now_, event)) {
        if (const StartAttempt *attempt = std::get_if<StartAttempt>(&action))
            started_.push_back(*attempt);
        else if (const CallerRefused *refused = std::get_if<CallerRefused>(&action))
            refusals[refused->caller] = refused->refusal;
        else if (const CallerEnd *end = std::get_if<CallerEnd>(&action))
            answered.insert(end->caller);
        else if (std::holds_alternative<Stopped>(action))
            stopped = true;
    }
}

} // namespace cranberry
