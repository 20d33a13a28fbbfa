#include "gateway/eventstream.h"
#include "gateway/peerdatagrams.h"
#include "gateway/peertable.h"
#include "gateway/quotas.h"
#include "gateway/repeatbudget.h"
#include "gateway/usagewindows.h"

#include <doctest/doctest.h>

using namespace cranberry;

namespace {

ServedOrganisation makeOrganisation()
{
    ServedOrganisation organisation;
    organisation.name.value = "a";
    organisation.countsTokens = true;
    organisation.unstatedTokens = 200;
    organisation.ratePerSecond = 1000;
    organisation.burst = 1000;
    return organisation;
}

MemberEntry makeMember(const std::string &name, uint64_t incarnation)
{
    MemberEntry member;
    member.instance.value = name;
    member.incarnation.value = incarnation;
    member.callerAddress = {"10.0.0.9", static_cast<uint16_t>(incarnation)};
    return member;
}

PeerReport makeReport(uint64_t incarnation, uint64_t sequence)
{
    PeerReport report;
    report.incarnation.value = incarnation;
    report.sequence = sequence;
    report.ready = true;
    return report;
}

} // namespace

TEST_CASE("an organisation's limit: the burst at once, then the rate")
{
    Quotas quotas;
    const ServedOrganisation organisation = makeOrganisation();
    CHECK_FALSE(quotas.take(organisation, 600, {}, {0}));
    CHECK_FALSE(quotas.take(organisation, 400, {}, {0}));
    const std::optional<DurationMs> wait = quotas.take(organisation, 500, {}, {0});
    REQUIRE(wait);
    CHECK(wait->count == 500);
    CHECK_FALSE(quotas.take(organisation, 500, {}, {500}));
}

TEST_CASE("a request larger than the burst runs on a full bucket and is paid for afterwards")
{
    Quotas quotas;
    const ServedOrganisation organisation = makeOrganisation();
    CHECK_FALSE(quotas.take(organisation, 5000, {}, {0}));
    CHECK(quotas.take(organisation, 100, {}, {4000}));
    CHECK_FALSE(quotas.take(organisation, 100, {}, {4200}));
}

TEST_CASE("large prompts of an organisation far below its limit are not refused")
{
    // Every four seconds two prompts of 1,000 tokens, against a limit of 1,000 a second with a burst of
    // 1,000: in the mean 500 a second. The operators tolerate 2,000 tokens beyond the limit, so none needs to
    // be refused.
    Quotas quotas;
    quotas.setTolerance({0.1, 2000});
    const ServedOrganisation organisation = makeOrganisation();
    int refused = 0;
    for (int64_t ms = 0; ms < 40000; ms += 4000) {
        refused += quotas.take(organisation, 1000, {}, {ms}) ? 1 : 0;
        refused += quotas.take(organisation, 1000, {}, {ms + 1}) ? 1 : 0;
    }
    CHECK(refused == 0);
    // And pressed without pause it stays within what is tolerated in any window.
    double used = 0;
    for (int64_t ms = 60000; ms < 68000; ms += 10)
        used += quotas.take(organisation, 50, {}, {ms}) ? 0 : 50;
    CHECK(used <= (1000 * 8 + 1000) * 1.1 + 2000);
}

TEST_CASE("what other daemons use is taken from the bucket, what did not run is given back")
{
    Quotas quotas;
    const ServedOrganisation organisation = makeOrganisation();
    CHECK_FALSE(quotas.take(organisation, 100, {}, {0}));
    quotas.usedElsewhere(organisation.name, 900);
    CHECK(quotas.take(organisation, 100, {}, {0}));
    quotas.giveBack(organisation.name, 100);
    CHECK_FALSE(quotas.take(organisation, 100, {}, {0}));
    CHECK(quotas.uses({0}).at(0).units == 100);
}

TEST_CASE("both sides of a partition together stay within a limit")
{
    // Four daemons, cut two and two. Callers of one organisation press on both sides without pause. Each side
    // counts only what it hears, so each may use only its share.
    const ServedOrganisation organisation = makeOrganisation();
    Quotas left;
    Quotas right;
    double used = 0;
    for (int64_t ms = 0; ms < 8000; ms += 10) {
        used += left.take(organisation, 50, {0.5, 0.25}, {ms}) ? 0 : 50;
        used += right.take(organisation, 50, {0.5, 0.25}, {ms}) ? 0 : 50;
    }
    CHECK(used <= 1000 + 8 * 1000);
    CHECK(used > 7000);
}

TEST_CASE("a partition does not start with a full bucket on each side")
{
    // The limit was not used for a while, so every daemon's bucket is full. Then each daemon hears only
    // itself, and callers press on all four. Together they may use one burst, not four.
    const ServedOrganisation organisation = makeOrganisation();
    double used = 0;
    for (int daemon = 0; daemon < 4; ++daemon) {
        Quotas quotas;
        CHECK_FALSE(quotas.take(organisation, 0, {1}, {0}));
        for (int64_t ms = 10000; ms < 10100; ms += 10)
            used += quotas.take(organisation, 50, {0.25}, {ms}) ? 0 : 50;
    }
    CHECK(used <= 1100);
}

TEST_CASE("daemons under one rush stay near the limit, since large use is told at once")
{
    // One organisation rushes at six daemons in the same moment. Each takes from its own bucket and tells the
    // others when it used more than a little; a report arrives one step later.
    const ServedOrganisation organisation = makeOrganisation();
    std::vector<Quotas> daemons(6);
    std::vector<double> told(6);
    double used = 0;
    for (int64_t ms = 0; ms < 8000; ms += 25) {
        for (Quotas &daemon : daemons)
            used += daemon.take(organisation, 25, {}, {ms}) ? 0 : 25;
        for (size_t i = 0; i < daemons.size(); ++i) {
            if (!daemons[i].reportIsDue() && ms % 200 != 0)
                continue;
            daemons[i].reported();
            const std::vector<OrganisationUse> own = daemons[i].uses({ms});
            const double now = own.empty() ? 0 : own[0].units;
            for (size_t j = 0; j < daemons.size(); ++j) {
                if (j != i)
                    daemons[j].usedElsewhere(organisation.name, now - told[i]);
            }
            told[i] = now;
        }
    }
    CHECK(used <= 9000 + 400);
    CHECK(used >= 8500);
}

TEST_CASE("a restarted daemon does not bring a full bucket along")
{
    // An organisation has used up its burst. One of four daemons is killed and starts again; callers turn to
    // it at once. It may use its own fourth of the burst and what the others have left, no more.
    PeerTable peers({"entry-1"});
    peers.setMembers({makeMember("entry-1", 1), makeMember("entry-2", 2), makeMember("entry-3", 3),
                      makeMember("entry-4", 4)});
    Quotas quotas;
    const ServedOrganisation organisation = makeOrganisation();
    for (uint64_t i = 2; i <= 4; ++i) {
        PeerReport report = makeReport(i, 1);
        report.heard = 3;
        report.uses = {{organisation.name, 5000, 30}};
        peers.take(report, quotas, {0});
    }
    CHECK(quotas.take(organisation, 300, peers.quotaScope({0}), {0}));
    CHECK_FALSE(quotas.take(organisation, 270, peers.quotaScope({0}), {0}));
}

TEST_CASE("when all daemons start again, an organisation has its whole burst")
{
    // All daemons were killed and start in the same moment; each knows only itself and has a fourth of the
    // burst. As they hear each other, the fourths add up: a request larger than one of them runs.
    const ServedOrganisation organisation = makeOrganisation();
    PeerTable peers({"entry-1"});
    peers.setMembers({makeMember("entry-1", 1), makeMember("entry-2", 2), makeMember("entry-3", 3),
                      makeMember("entry-4", 4)});
    Quotas quotas;
    CHECK(quotas.take(organisation, 251, peers.quotaScope({0}), {0}));
    for (uint64_t i = 2; i <= 4; ++i) {
        PeerReport report = makeReport(i, 1);
        report.uses = {{organisation.name, 0, 250}};
        peers.take(report, quotas, {0});
    }
    CHECK_FALSE(quotas.take(organisation, 1000, peers.quotaScope({0}), {0}));
}

TEST_CASE("use while a daemon was not heard is not counted when it is heard again")
{
    // Two daemons are cut apart for ten seconds; each keeps to its share. When they hear each other again,
    // what the other used meanwhile must not shut the organisation out here.
    PeerTable peers({"entry-1"});
    Quotas quotas;
    const ServedOrganisation organisation = makeOrganisation();
    CHECK_FALSE(quotas.take(organisation, 0, {}, {0}));
    PeerReport report = makeReport(2, 1);
    report.uses = {{organisation.name, 100, 1000}};
    peers.take(report, quotas, {0});
    report.sequence = 2;
    report.uses = {{organisation.name, 5100, 900}};
    peers.take(report, quotas, {10000});
    CHECK_FALSE(quotas.take(organisation, 900, {}, {10000}));
}

TEST_CASE("requests that state no tokens count by the configured weight")
{
    ServedOrganisation organisation = makeOrganisation();
    CHECK(quotaUnits(organisation, false, 0) == 200);
    CHECK(quotaUnits(organisation, true, 50) == 50);
    organisation.countsTokens = false;
    CHECK(quotaUnits(organisation, true, 50) == 1);
}

TEST_CASE("repeats are bounded by the requests of the window and a share of the slack")
{
    // All endpoints of a service fail. Without a bound every request would be sent again, and the failing
    // service would get twice its load.
    RepeatBudget budget;
    budget.setLimits({0.2, 40, {10000}});
    const ServiceName service{"plain"};
    for (int i = 0; i < 100; ++i)
        budget.request(service, {int64_t{10} * i});
    int taken = 0;
    for (int i = 0; i < 100; ++i)
        taken += budget.take(service, 8, {1000}) ? 1 : 0;
    CHECK(taken <= 25);
    CHECK(taken >= 15);
    CHECK(budget.take(service, 8, {20000}));
}

TEST_CASE("peers: doubled and late reports change nothing, lost ones are made up for")
{
    // Datagrams may be doubled, reordered or lost. Use counters are cumulative, so the next report says it
    // all.
    PeerTable peers({"entry-1"});
    peers.setMembers({makeMember("entry-1", 1), makeMember("entry-2", 2)});
    Quotas quotas;
    const ServedOrganisation organisation = makeOrganisation();
    CHECK_FALSE(quotas.take(organisation, 0, peers.quotaScope({0}), {0}));
    PeerReport report = makeReport(2, 1);
    report.uses = {{organisation.name, 100, 500}};
    CHECK(peers.take(report, quotas, {0}));
    report.sequence = 3;
    report.uses = {{organisation.name, 900, 1000}};
    CHECK(peers.take(report, quotas, {0}));
    CHECK_FALSE(peers.take(report, quotas, {0}));
    report.sequence = 2;
    report.uses = {{organisation.name, 500, 1000}};
    CHECK_FALSE(peers.take(report, quotas, {0}));
    CHECK(quotas.take(organisation, 300, peers.quotaScope({0}), {0}));
    CHECK_FALSE(quotas.take(organisation, 200, peers.quotaScope({0}), {0}));
}

TEST_CASE("peers: the scope of limits follows who is heard, and callers are sent to ready daemons alone")
{
    PeerTable peers({"entry-1"});
    peers.setMembers({makeMember("entry-1", 1), makeMember("entry-2", 2), makeMember("entry-3", 3),
                      makeMember("entry-4", 4)});
    Quotas quotas;
    peers.take(makeReport(2, 1), quotas, {0});
    PeerReport leaving = makeReport(3, 1);
    leaving.leaving = true;
    peers.take(leaving, quotas, {0});
    CHECK(peers.quotaScope({100}).share == doctest::Approx(0.75));
    CHECK(peers.readyAddresses({100}).size() == 1);
    CHECK(peers.readyAddresses({5000}).empty());
    CHECK(peers.quotaScope({5000}).share == doctest::Approx(0.25));
}

TEST_CASE("the middle of all clocks is not moved by one that jumps")
{
    PeerTable peers({"entry-1"});
    Quotas quotas;
    for (uint64_t i = 2; i <= 4; ++i) {
        PeerReport report = makeReport(i, 1);
        report.wallMs = 1'000'000;
        peers.take(report, quotas, {500});
    }
    CHECK(peers.medianWallOffset(999'500 + 2400, {500}) == 999'500);
}

TEST_CASE("usage is counted by windows of the time of day")
{
    UsageWindows usage({5000});
    usage.setOffset(1'000'000);
    usage.count({"a"}, {0});
    usage.count({"a"}, {4999});
    usage.count({"a"}, {5000});
    CHECK(usage.counts().at(200).at({"a"}) == 2);
    CHECK(usage.counts().at(201).at({"a"}) == 1);
    CHECK(usage.endOf(200).count == 5000);
}

TEST_CASE("a peer's report survives its way, and what is no datagram is dropped")
{
    PeerReport report = makeReport(9, 4);
    report.instance.value = "entry-\"2\"";
    report.wallMs = 1'700'000'000'000;
    report.loads = {{{"i-1"}, 3, 4000}};
    report.uses = {{{"a"}, 1.5, 2.5}};
    report.windows = {{7, {"a"}, 12}};
    report.demands = {{{"model"}, 100.5, 2}};
    const std::optional<PeerDatagram> datagram = decodeDatagram(encodeDatagram(report));
    REQUIRE(datagram);
    const PeerReport &read = std::get<PeerReport>(*datagram);
    CHECK(read.instance == report.instance);
    CHECK(read.wallMs == report.wallMs);
    CHECK(read.loads[0].prefillTokens == 4000);
    CHECK(read.uses[0].left == 2.5);
    CHECK(read.windows[0].count == 12);
    CHECK(read.demands[0].prefillTokensPerSecond == 100.5);
    for (const char *text : {"", "{", "[]", "{}", "{\"kind\":\"report\"}", "{\"kind\":1}", "\xff\xfe"})
        CHECK_FALSE(decodeDatagram(text));
    std::string cut = encodeDatagram(report);
    cut.resize(cut.size() - 5);
    CHECK_FALSE(decodeDatagram(cut));
}

TEST_CASE("questions and answers about freshness survive their way")
{
    const FreshnessQuestion question{{77}, 5, 1234567890123456789ULL};
    const std::optional<PeerDatagram> asked = decodeDatagram(encodeDatagram(question));
    REQUIRE(asked);
    CHECK(std::get<FreshnessQuestion>(*asked).endpointsDigest == question.endpointsDigest);
    FreshnessAnswer answer;
    answer.number = 5;
    answer.sharedAge = {300};
    answer.hasEndpoints = true;
    EndpointEntry entry;
    entry.id.value = "i-1";
    entry.address = {"10.0.0.1", 80};
    entry.leaving = true;
    entry.leavesAfter = DurationMs{2000};
    answer.endpoints = {entry};
    const std::optional<PeerDatagram> answered = decodeDatagram(encodeDatagram(answer));
    REQUIRE(answered);
    const FreshnessAnswer &read = std::get<FreshnessAnswer>(*answered);
    CHECK(read.sharedAge.count == 300);
    REQUIRE(read.endpoints.size() == 1);
    CHECK(read.endpoints[0].leavesAfter->count == 2000);
}

TEST_CASE("events are cut by blank lines, whatever the line ends")
{
    EventSplitter splitter;
    splitter.append("id: 7\r\ndata: x\r\n\r\nid:8\ndata: y\n\ndata: no id\n\nid: 9");
    CHECK(splitter.next()->id == 7);
    CHECK(splitter.next()->id == 8);
    CHECK_FALSE(splitter.next()->id);
    CHECK_FALSE(splitter.next());
    CHECK(splitter.holdsPartial());
}
