#include "gatewayfixture.h"

using namespace cranberry;

namespace {

constexpr const char *Order = "/order/1";

void reportSpare(GatewayFixture &fixture)
{
    PeerReport report;
    report.incarnation.value = 2;
    report.sequence = 1;
    report.balances = {{{"a"}, 4}};
    report.ready = true;
    fixture.gateway.onPeerReport(report, fixture.now);
}

/// Two daemons share a limit with a burst of 10 requests and a rate of 1/s. The other one can spare 4 units.
void shareLimit(GatewayFixture &fixture, bool peerReported = true)
{
    std::shared_ptr<ServingConfiguration> limited = fixture.makeConfiguration(2);
    limited->organisations[0].ratePerSecond = 1;
    limited->organisations[0].burst = 10;
    fixture.gateway.onMembers(
        {{{"entry-1"}, {1}, {"north"}, {}, {}}, {{"entry-2"}, {2}, {"south"}, {}, {"10.0.0.2", 90}}},
        fixture.now);
    if (peerReported)
        reportSpare(fixture);
    fixture.configure(limited);
}

} // namespace

TEST_CASE_FIXTURE(GatewayFixture,
                  "a request beyond this daemon's share of a limit waits for units of another daemon")
{
    // This daemon's balance is used up, but the organisation is within its limit over all daemons. The
    // request waits some milliseconds for units of another daemon and is served.
    shareLimit(*this);
    CHECK(statusOf(request(Order)) == 0);
    const size_t before = sent.size();
    const CallerId waiting = request(Order);
    CHECK(sent.size() == before);
    REQUIRE(asks.size() == 1);
    CHECK(asks[0].first.host == "10.0.0.2");
    const QuotaTransfer transfer{{2}, asks[0].second.number, {"a"}, 1};
    gateway.onQuotaTransfer(transfer, now);
    drainActions();
    CHECK(sent.size() == before + 1);
    CHECK(statusOf(waiting) == 0);
    // A duplicated transfer counts once.
    gateway.onQuotaTransfer(transfer, now);
    gateway.onQuotaTransfer(transfer, now);
    request(Order);
    CHECK(sent.size() == before + 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "a request whose transfer is lost is refused soon, with Retry-After")
{
    shareLimit(*this);
    request(Order);
    const CallerId waiting = request(Order);
    REQUIRE(asks.size() == 1);
    pass({200});
    CHECK(statusOf(waiting) == 429);
    CHECK(!headerOfAnswer(waiting, "Retry-After").empty());
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "a daemon that has just started asks the others before it refuses for a limit")
{
    // All daemons were killed and restart with a fraction of their balances. The first one has no reports of
    // the others yet. A request beyond its own balance, but within the whole limit, waits for the first
    // reports and then for a transfer.
    startAgain();
    shareLimit(*this, false);
    listEndpoints();
    request(Order);
    const CallerId waiting = request(Order);
    CHECK(asks.empty());
    CHECK(statusOf(waiting) == 0);
    reportSpare(*this);
    pass({175});
    REQUIRE(asks.size() == 1);
    gateway.onQuotaTransfer({{2}, asks[0].second.number, {"a"}, 1}, now);
    drainActions();
    CHECK(sent.size() == 2);

    // If no reports arrive, the request is refused long before the caller's deadline.
    startAgain();
    shareLimit(*this, false);
    listEndpoints();
    request(Order);
    const CallerId refused = request(Order);
    pass({800});
    CHECK(statusOf(refused) == 429);
}

TEST_CASE_FIXTURE(GatewayFixture, "a request beyond the whole limit is refused at once")
{
    shareLimit(*this);
    PeerReport report;
    report.incarnation.value = 2;
    report.sequence = 2;
    gateway.onPeerReport(report, now);
    request(Order);
    const CallerId refused = request(Order);
    CHECK(asks.empty());
    CHECK(statusOf(refused) == 429);
}
