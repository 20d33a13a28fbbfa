#include "daemon/budgets.h"
#include "daemon/configuration.h"
#include "daemon/membership.h"
#include "daemon/request.h"
#include "daemon/routing.h"
#include "daemon/settings.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace cranberry;

namespace {

constexpr const char *GoodText
    = R"({"failureDomains":["leioa","deusto"],"organisations":[{"name":"diputacion"}],"services":[
  {"name":"redactor","kind":"model","dependsOn":["portal"],
   "endpoints":[{"name":"r1","instance":"i1","failureDomain":"leioa","address":"127.0.0.1:9001","slots":2}]},
  {"name":"portal","kind":"plain",
   "endpoints":[{"name":"p1","instance":"i2","failureDomain":"deusto","address":"127.0.0.1:9002"}]}]})";

std::string replaced(const std::string &what, const std::string &with)
{
    std::string text = GoodText;
    return text.replace(text.find(what), what.size(), with);
}

// Returns the text of the parse error, or "ok".
template <typename Parse>
std::string outcomeOf(const Parse &parse)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parse());
            return std::string("ok");
        },
        [](const FieldError &error) { return toText(error); }, [] { return std::string("?"); });
}

std::string configurationOutcome(const std::string &text)
{
    return outcomeOf([&text] { return parseConfiguration(text); });
}

} // namespace

TEST_CASE("parse errors of a configuration name the field")
{
    CHECK(configurationOutcome(GoodText) == "ok");
    CHECK(configurationOutcome(replaced("\"slots\":2", "\"slot\":2"))
          == "services[0].endpoints[0].slot: is not a known field");
    CHECK(configurationOutcome(replaced("\"slots\":2", "\"slots\":\"2\""))
          == "services[0].endpoints[0].slots: must be a number");
    CHECK(configurationOutcome(replaced("\"slots\":2", "\"slots\":0"))
          == "services[0].endpoints[0].slots: must be from 1 to 65536");
    CHECK(configurationOutcome(replaced("\"model\"", "\"modell\""))
          == "services[0].kind: must be model or plain");
    CHECK(configurationOutcome(replaced("[\"portal\"]", "[\"porta\"]"))
          == "services[0].dependsOn[0]: unknown service porta");
    CHECK(configurationOutcome(replaced("[\"portal\"]", "[\"redactor\"]"))
          == "services[0].dependsOn: closes a cycle");
    CHECK(configurationOutcome(replaced("\"failureDomain\":\"leioa\"", "\"failureDomain\":\"x\""))
          == "services[0].endpoints[0].failureDomain: unknown failure domain x");
    CHECK(configurationOutcome(replaced("127.0.0.1:9001", "127.0.0.1"))
          == "services[0].endpoints[0].address: must be IP:PORT");
    CHECK(configurationOutcome(replaced("\"name\":\"p1\"", "\"name\":\"r1\""))
          == "services[1].endpoints[0].name: duplicate name r1");
    CHECK(configurationOutcome(replaced("\"kind\":\"plain\",", "")) == "services[1].kind: is missing");
    CHECK(configurationOutcome("{\n\n  oops") == "line 3: syntax error");
    CHECK(configurationOutcome("[]") == "must be an object");
}

TEST_CASE("parse errors of the settings name the field")
{
    const std::string good
        = R"({"instance":"i","failureDomain":"leioa","callerAddress":"127.0.0.1:1","adminAddress":
        "127.0.0.1:2","peerAddress":"127.0.0.1:3","platformAddress":"127.0.0.1:4","peers":["127.0.0.1:5"]})";
    const auto outcome
        = [](const std::string &text) { return outcomeOf([&text] { return parseSettings(text); }); };
    CHECK(outcome(good) == "ok");
    CHECK(outcome("{}") == "instance: is missing");
    std::string bad = good;
    CHECK(outcome(bad.replace(bad.find("127.0.0.1:5"), 11, "somewhere")) == "peers[0]: must be IP:PORT");
    bad = good;
    CHECK(outcome(bad.replace(bad.find("\"peers\""), 7, "\"pears\"")) == "pears: is not a known field");
}

TEST_CASE("a configuration diff lists each changed field")
{
    const std::vector<std::string> lines
        = diffConfigurations(GoodText, replaced("\"slots\":2", "\"slots\":3"));
    REQUIRE(lines.size() == 1);
    CHECK(lines.front() == "services[0].endpoints[0].slots: 2 -> 3");
    CHECK(diffConfigurations(GoodText, GoodText).empty());
}

TEST_CASE("request ids and addresses round-trip through text")
{
    const RequestId id{{0xabcdef}, 77, {0x123}};
    const std::optional<RequestId> parsed = requestIdFromText(toText(id));
    REQUIRE(parsed);
    CHECK(*parsed == id);
    CHECK(parsed->witness == id.witness);
    for (const char *invalid : {"", "1", "1-2", "1-2-", "x-1-2", "1--2", "1-2-3-4"})
        CHECK_FALSE(requestIdFromText(invalid));
    CHECK(addressFromText("127.0.0.1:80") == Address{"127.0.0.1", 80});
    for (const char *invalid : {"", ":80", "h:", "h:0", "h:65536", "h:8x"})
        CHECK_FALSE(addressFromText(invalid));
}

TEST_CASE("a caller resumes at the end of the text that all later generations share")
{
    const std::vector<Branch> branches = {{5, 30}, {6, 10}, {7, 50}};
    CHECK(commonOffset(branches, 0, 40) == 10);
    CHECK(commonOffset(branches, 5, 40) == 10);
    CHECK(commonOffset(branches, 6, 40) == 40);
    CHECK(commonOffset(branches, 6, 60) == 50);
    CHECK(commonOffset(branches, 7, 60) == 60);
    CHECK(commonOffset(branches, 99, 60) == 0);
    CHECK(commonOffset({}, 0, 60) == 60);
}

TEST_CASE("marks are never removed, and the result does not depend on their order")
{
    const std::vector<Mark> marks = {{MarkKind::EndpointLeaving, {"a"}, {}, {}},
                                     {MarkKind::DaemonLeaving, {}, {1}, {}},
                                     {MarkKind::DaemonMoved, {}, {1}, {2}},
                                     {MarkKind::DaemonMoved, {}, {2}, {3}}};
    MarkTable forwards;
    MarkTable backwards;
    for (const Mark &mark : marks)
        CHECK(forwards.add(mark, TimeMs{0}));
    for (auto mark = marks.rbegin(); mark != marks.rend(); ++mark)
        CHECK(backwards.add(*mark, TimeMs{0}));
    CHECK(forwards.digest() == backwards.digest());
    CHECK(forwards.resolve({1}) == Incarnation{3});
    CHECK(forwards.isLeaving(InstanceName{"a"}));
    CHECK_FALSE(forwards.isLeaving(InstanceName{"b"}));
    CHECK_FALSE(forwards.add(marks.front(), TimeMs{0}));
    CHECK_FALSE(forwards.add({MarkKind::DaemonMoved, {}, {1}, {9}},
                             TimeMs{0})); // The successor of a daemon is set only once.
    CHECK(forwards.resolve({1}) == Incarnation{3});
}

TEST_CASE("a refused organisation is admitted after exactly the returned wait")
{
    OrganisationLimits limits;
    const Organisation organisation{{"o"}, 1000};
    CHECK_FALSE(limits.take(organisation, 2000, 1, TimeMs{0}));
    const std::optional<DurationMs> wait = limits.take(organisation, 500, 1, TimeMs{0});
    REQUIRE(wait);
    CHECK(wait->count == 500);
    CHECK(limits.take(organisation, 500, 1, TimeMs{wait->count - 1}));
    CHECK_FALSE(limits.take(organisation, 500, 1, TimeMs{wait->count}));
    CHECK_FALSE(
        limits.take({{"p"}, 1000}, 1'000'000, 1, TimeMs{0})); // Larger than the burst, with a full bucket.
}

TEST_CASE("the retry budget is a fraction of the successes")
{
    RetryBudget budget;
    const TimeMs now{100'000};
    int taken = 0;
    while (budget.take(now))
        ++taken;
    CHECK(taken == 20);
    for (int i = 0; i < 100; ++i)
        budget.succeeded();
    taken = 0;
    while (budget.take(now))
        ++taken;
    CHECK(taken >= 9);
    CHECK(taken <= 10);
}

// Guards against retries that wait for their deadlines because no other work succeeds any more.
TEST_CASE("the retry budget refills by one a second without successes, up to its burst")
{
    RetryBudget budget;
    const TimeMs emptyAt{100'000};
    while (budget.take(emptyAt)) { }
    CHECK_FALSE(budget.take(emptyAt + DurationMs{999}));
    CHECK(budget.take(emptyAt + DurationMs{1001}));
    CHECK_FALSE(budget.take(emptyAt + DurationMs{1001}));
    const TimeMs later{1'000'000};
    int taken = 0;
    while (budget.take(later))
        ++taken;
    CHECK(taken == 20);
}

TEST_CASE("selection prefers the endpoint that has cached the prefix unless its backlog is long")
{
    std::string text
        = R"({"failureDomains":["d"],"organisations":[{"name":"o"}],"services":[{"name":"s","kind":"model",
        "prefillTokensPerSecond":1000,"endpoints":[)";
    for (int i = 0; i < 8; ++i)
        text += fmt::format(
            R"({}{{"name":"e{}","instance":"i{}","failureDomain":"d","address":"10.0.0.1:{}","slots":4}})",
            i ? "," : "", i, i, i + 1);
    text += "]}]}";
    const Configuration configuration = *parseConfiguration(text);
    EndpointTable table;
    table.configure(configuration);
    const std::string prompt(4096, 'x');
    RoutingQuery query{
        configuration.services[0], {}, PrefixIndex::blockHashes(prompt), predictedTokens(prompt), {}};
    CHECK(query.prefix.size() == 4096 / PrefixIndex::BlockBytes);
    MarkTable marks;
    Random random(1);
    const uint32_t first = *table.choose(query, marks, TimeMs{0}, random);
    table.started(first, query);
    table.finished(table.at(first).endpoint.name, query.workTokens);
    for (int i = 0; i < 50; ++i)
        CHECK(*table.choose(query, marks, TimeMs{0}, random) == first);
    table.at(first).outstandingTokens = 100'000;
    for (int i = 0; i < 50; ++i)
        CHECK(*table.choose(query, marks, TimeMs{0}, random) != first);
    marks.add({MarkKind::EndpointLeaving, {"i3"}, {}, {}}, TimeMs{0});
    for (int i = 0; i < 200; ++i)
        CHECK(*table.choose(query, marks, TimeMs{0}, random) != 3);
}

// A member that does not reply to a probe is suspected, then declared gone after the suspicion timeout. It
// counts as alive again when it refutes the suspicion with a higher version. Gossip that repeats its old
// version must not restore it.
TEST_CASE("an unresponsive member is declared gone, and a refutation counts a false suspicion")
{
    Membership members({{1}, {"a"}, {"d1"}, {}, {"h", 1}, 1, {0}}, {});
    Counters counters;
    Random random(1);
    const MemberInfo other{{2}, {"b"}, {"d2"}, {}, {"h", 2}, 5, {3}};
    members.recordContact(other, TimeMs{1000}, counters);
    CHECK(members.isAlive({2}));
    CHECK(members.probeTargets(random, TimeMs{1100}).size() == 1);
    members.tick(TimeMs{1700});
    REQUIRE(members.takeSuspicions().size() == 1);
    CHECK(members.isAlive({2}));
    members.tick(TimeMs{3300});
    CHECK_FALSE(members.isAlive({2}));
    members.merge(other, TimeMs{3400}, counters);
    CHECK_FALSE(members.isAlive({2}));
    MemberInfo later = other;
    later.version = 6;
    members.merge(later, TimeMs{3500}, counters);
    CHECK(members.isAlive({2}));
    CHECK(counters.of(Counter::FalseSuspicion) == 1);
    CHECK(members.domainsWithRevision({3}) == 1);
    CHECK(members.domainsWithRevision({4}) == 0);
}

TEST_CASE("a suspected daemon refutes the suspicion with a higher version")
{
    Membership members({{1}, {"a"}, {"d1"}, {}, {"h", 1}, 4, {0}}, {});
    members.suspect({{1}, 3}, TimeMs{1000});
    CHECK(members.self().version == 4);
    members.suspect({{1}, 4}, TimeMs{1000});
    CHECK(members.self().version == 5);
}
