#include "harness.h"

#include "daemon/safeguards.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace harness;

namespace {

constexpr uint64_t Seed = 20261202;

constexpr uint64_t MaxLossStep
    = 70; ///< The message is lost at a step below this one; by then all requests are accepted.

enum ScenarioIndex : size_t { Streams, Once, Operators, LongStreams, Steady };

/// Disables one safeguard during its lifetime.
class DisabledSafeguard
{
public:
    explicit DisabledSafeguard(Safeguard safeguard) : safeguard_(safeguard)
    {
        setSafeguard(safeguard, false);
    }
    ~DisabledSafeguard() { setSafeguard(safeguard_, true); }
    DisabledSafeguard(const DisabledSafeguard &) = delete;
    DisabledSafeguard &operator=(const DisabledSafeguard &) = delete;

private:
    Safeguard safeguard_;
};

// Runs the scenario with `faults`, the last of them at every `stride`-th step and the others at their fixed
// steps. Returns the first breach that contains `expectedText`, or an empty string.
std::string firstBreach(ScenarioIndex scenario, std::vector<FaultAt> faults, const std::string &expectedText,
                        uint64_t stride)
{
    const uint64_t steps = std::min<uint64_t>(run(scenarios()[scenario], Fault::None, 0, Seed).steps, 400);
    for (uint64_t at = 0; at < steps; at += stride) {
        faults.back().at = at;
        for (const std::string &breach : run(scenarios()[scenario], faults, Seed).breaches) {
            if (breach.find(expectedText) != std::string::npos)
                return breach;
        }
    }
    return "";
}

// Proves that the check behind a safeguard can fail: with the safeguard no run has a breach, without it at
// least one run has the expected breach.
void checkSafeguardNeeded(Safeguard safeguard, ScenarioIndex scenario, const std::vector<FaultAt> &faults,
                          const std::string &wanted, uint64_t stride = 1)
{
    CHECK(firstBreach(scenario, faults, "", stride).empty());
    const DisabledSafeguard without(safeguard);
    const std::string breach = firstBreach(scenario, faults, wanted, stride);
    fmt::print("safeguard {} disabled: {}\n", static_cast<int>(safeguard), breach);
    CHECK_FALSE(breach.empty());
}

} // namespace

// Two entries receive the same key at once. Without the register both dispatch it, and the call is executed
// twice.
TEST_CASE("without the register a duplicated call runs twice")
{
    checkSafeguardNeeded(Safeguard::RegisterBeforeDispatch, Once, {{Fault::None, 0}}, "ran 2 times");
}

// The endpoint executes the call, and its connection goes silent before the answer. Without the safeguard the
// entry sends the call to the next endpoint, which executes it again.
TEST_CASE("without the rule against resending a call runs at two endpoints")
{
    checkSafeguardNeeded(Safeguard::NoResendAfterSend, Once, {{Fault::SilentEndpoint, 0}}, "ran 2 times");
}

// After its notice an endpoint still answers, and the endpoint list lags behind. Without marks the endpoint
// gets new work until it is gone.
TEST_CASE("without marks a leaving endpoint still gets new work")
{
    CHECK(run(scenarios()[Steady], Fault::ReclaimEndpoint, 10, Seed).breaches.empty());
    const DisabledSafeguard without(Safeguard::AvoidLeavingEndpoints);
    DurationMs last;
    for (uint64_t at = 0; at < 100; at += 10)
        last = std::max(last, run(scenarios()[Steady], Fault::ReclaimEndpoint, at, Seed).lastWorkAfterNotice);
    fmt::print("safeguard {} disabled: last new work {} ms after the notice\n",
               static_cast<int>(Safeguard::AvoidLeavingEndpoints), last.count);
    CHECK(last > DurationMs{1500});
}

// Two reads of the service are reordered. Without the rule the older configuration replaces the newer one.
TEST_CASE("without the rule on revisions a daemon reverts to an older one")
{
    checkSafeguardNeeded(Safeguard::MonotonicRevision, Operators, {{Fault::None, 0}}, "went back");
}

// The copy to the witness is lost, and the entry crashes after it reported "accepted" to the caller. Without
// waiting for the witness's acknowledgement, the caller holds the id of a request that no daemon knows.
TEST_CASE("without the witness an accepted request is lost with its entry")
{
    std::string found;
    const DisabledSafeguard without(Safeguard::WitnessBeforeAccept);
    for (uint64_t lost = 0; lost < MaxLossStep && found.empty(); ++lost) {
        for (uint64_t killed = lost + 1; killed < lost + 16 && found.empty(); ++killed) {
            const Report report
                = run(scenarios()[Streams], {{Fault::LoseMessage, lost}, {Fault::KillDaemon, killed}}, Seed);
            found = report.breaches.empty() ? "" : report.breaches.front();
        }
    }
    fmt::print("safeguard {} disabled: {}\n", static_cast<int>(Safeguard::WitnessBeforeAccept), found);
    CHECK(found.find("was lost") != std::string::npos);
}

TEST_CASE("with the witness the same pairs of faults lose nothing")
{
    for (uint64_t lost = 0; lost < MaxLossStep; ++lost) {
        for (uint64_t killed = lost + 1; killed < lost + 16; ++killed)
            CHECK(run(scenarios()[Streams], {{Fault::LoseMessage, lost}, {Fault::KillDaemon, killed}}, Seed)
                      .breaches.empty());
    }
}

// An entry is reclaimed while it has open streams that outlast its notice. With the handover the streams
// continue, and no token is generated twice; without it their witnesses start again when the notice expires.
TEST_CASE("without the handover a reclaim generates open streams again")
{
    const auto maxGeneratedTokens = [] {
        uint64_t maxTokens = 0;
        for (uint64_t at = 0; at < 400; at += 23) {
            const Report report = run(scenarios()[LongStreams], Fault::ReclaimDaemon, at, Seed);
            CHECK(report.breaches.empty());
            maxTokens = std::max(maxTokens, report.generatedTokens);
        }
        return maxTokens;
    };
    constexpr uint64_t RequestedTokens = 780; // Three streams of 260 tokens.
    const uint64_t withHandover = maxGeneratedTokens();
    const DisabledSafeguard without(Safeguard::HandoverOnReclaim);
    const uint64_t withoutHandover = maxGeneratedTokens();
    fmt::print("safeguard {} disabled: {} tokens generated for {} requested; with it {}\n",
               static_cast<int>(Safeguard::HandoverOnReclaim), withoutHandover, RequestedTokens,
               withHandover);
    CHECK(withHandover <= RequestedTokens + 3);
    CHECK(withoutHandover > RequestedTokens + 100);
}

namespace {

// A daemon takes a request over after three bytes and generates further text; then a caller resumes with five
// bytes of the first generation. Returns the offset at which the caller continues to read.
uint64_t offsetForLateCaller()
{
    DaemonOptions options;
    options.member = {{7}, {"entry"}, {"leioa"}, {"10.0.0.1", 1}, {"10.0.0.1", 2}, 1, {0}};
    Daemon daemon(options);
    const std::string text
        = R"({"failureDomains":["leioa"],"organisations":[{"name":"o"}],"services":[{"name":"s","kind":"model",)"
          R"("endpoints":[{"name":"e","instance":"i","failureDomain":"leioa","address":"10.0.0.2:1"}]}]})";
    daemon.step(TimeMs{1000}, ConfigurationReceived{{1}, text});
    RequestCopy copy;
    copy.purpose = CopyPurpose::Handover;
    copy.request = {{9}, 1, {}};
    copy.spec.organisation = {"o"};
    copy.spec.service = {"s"};
    copy.spec.deadline = {60000};
    copy.text = "abc";
    AttemptId attempt;
    for (const Action &action : daemon.step(TimeMs{1001}, PeerInbound{{9}, {7}, copy})) {
        if (const StartAttempt *start = std::get_if<StartAttempt>(&action))
            attempt = start->attempt;
    }
    daemon.step(TimeMs{1002}, EndpointData{attempt, "DEFGH", 5});
    for (const Action &action : daemon.step(TimeMs{1003}, CallerResume{{1}, copy.request, 5, 0})) {
        if (const CallerData *data = std::get_if<CallerData>(&action))
            return data->offset;
    }
    return ~0ULL;
}

} // namespace

// The owner generated more text after it sent its copy, and the caller has that text; the new owner generated
// different text from the end of the copy. Without the cut the caller appends the new text to the old one and
// gets an answer that no engine generated.
TEST_CASE("without the cut at the branch a late caller gets a mixed answer")
{
    CHECK(offsetForLateCaller() == 3);
    const DisabledSafeguard without(Safeguard::ResumeAtCommonText);
    CHECK(offsetForLateCaller() == 5);
}

TEST_CASE("without confirmation a change is accepted that only one daemon knows")
{
    checkSafeguardNeeded(Safeguard::ConfirmBeforeAccepted, Operators, {{Fault::None, 0}},
                         "was accepted with");
}

// The write takes effect and its answer is lost. Without reading back, the operator gets a conflict reported.
TEST_CASE("without reading back a written change is reported as a conflict")
{
    checkSafeguardNeeded(Safeguard::ReadBackAfterLostReply, Operators, {{Fault::PlatformLosesAnswer, 0}},
                         "told a conflict");
}
