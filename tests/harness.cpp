#include "simulation.h"

#include <fmt/format.h>

namespace harness {

namespace {

struct FaultName {
    Fault fault;
    const char *name;
    bool announced;
};

constexpr std::array<FaultName, static_cast<size_t>(Fault::Count)> FaultNames = {{
    {Fault::None, "none", true},
    {Fault::LoseMessage, "message lost", false},
    {Fault::DoubleMessage, "message doubled", false},
    {Fault::DelayMessage, "message delayed", false},
    {Fault::KillDaemon, "daemon killed", false},
    {Fault::FreezeShort, "daemon frozen 1 s", false},
    {Fault::FreezeLong, "daemon frozen 4 s", false},
    {Fault::CutOff, "daemon cut off 2 s", false},
    {Fault::DrainPlanned, "daemon drained", true},
    {Fault::ReclaimDaemon, "daemon reclaimed", true},
    {Fault::ReclaimThenKill, "reclaimed, killed in the middle", false},
    {Fault::ReclaimSuccessorToo, "reclaimed, successors too", true},
    {Fault::ReclaimDomain, "failure domain reclaimed", true},
    {Fault::ReclaimEndpoint, "endpoint reclaimed", true},
    {Fault::KillEndpoint, "endpoint killed", false},
    {Fault::SilentEndpoint, "endpoint's connections silent", false},
    {Fault::PlatformDown, "platform down 3 s", false},
    {Fault::PlatformLosesAnswer, "platform loses an answer", false},
}};

std::vector<Scenario> makeScenarios()
{
    std::vector<Scenario> out;
    Scenario streams;
    streams.name = "streams";
    for (size_t i = 0; i < 4; ++i)
        streams.jobs.push_back({JobKind::Chat, TimeMs{2500 + static_cast<int64_t>(i) * 20}, i,
                                fmt::format("chat{}", i), 12, false});
    out.push_back(streams);

    Scenario once;
    once.name = "once";
    once.jobs = {{JobKind::OnceSession, TimeMs{2500}, 0, "once0", 1, false},
                 {JobKind::OnceSession, TimeMs{2510}, 1, "once1", 1, true},
                 {JobKind::OnceBare, TimeMs{2520}, 2, "bare0", 1, true},
                 {JobKind::OnceUnmarked, TimeMs{2530}, 3, "plain0", 1, false},
                 {JobKind::OnceSession, TimeMs{2560}, 4, "once2", 1, true},
                 {JobKind::LookUp, TimeMs{2540}, 5, "look0", 1, false}};
    out.push_back(once);

    Scenario operators;
    operators.name = "operators";
    operators.changes = {TimeMs{2500}, TimeMs{2503}, TimeMs{2620}};
    operators.jobs = {{JobKind::Chat, TimeMs{2500}, 0, "chat0", 10, false},
                      {JobKind::LookUp, TimeMs{2550}, 3, "look0", 1, false}};
    out.push_back(operators);

    // Longer than a notice, so that open streams have to move.
    Scenario longStreams;
    longStreams.name = "long streams";
    for (size_t i = 0; i < 3; ++i)
        longStreams.jobs.push_back({JobKind::Chat, TimeMs{2500 + static_cast<int64_t>(i) * 15}, i,
                                    fmt::format("long{}", i), 260, false});
    longStreams.stride = 23;
    out.push_back(longStreams);

    Scenario steady;
    steady.name = "steady";
    for (size_t i = 0; i < 45; ++i) {
        const JobKind kind = i % 3 == 0 ? JobKind::LookUp : i % 3 == 1 ? JobKind::Chat : JobKind::OnceSession;
        steady.jobs.push_back({kind, TimeMs{2500 + static_cast<int64_t>(i) * 100}, i % 8,
                               fmt::format("steady{}", i), 6, false});
    }
    steady.stride = 29;
    out.push_back(steady);
    return out;
}

} // namespace

const char *toText(Fault fault)
{
    return FaultNames[static_cast<size_t>(fault)].name;
}

bool isAnnounced(Fault fault)
{
    return FaultNames[static_cast<size_t>(fault)].announced;
}

Report run(const Scenario &scenario, const std::vector<FaultAt> &faults, uint64_t seed)
{
    return Simulation(scenario, faults, seed).run();
}

Report run(const Scenario &scenario, Fault fault, uint64_t at, uint64_t seed)
{
    return run(scenario, {FaultAt{fault, at}}, seed);
}

const std::vector<Scenario> &scenarios()
{
    static const std::vector<Scenario> all = makeScenarios();
    return all;
}

} // namespace harness
