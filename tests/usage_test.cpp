// What all daemons together have counted in a usage window, whatever becomes of the daemons.

#include "gatewayfixture.h"

#include "gateway/duties/usagecodec.h"
#include "gateway/duties/usagecopy.h"
#include "gateway/peers/peerdatagrams.h"
#include "gateway/peers/reportschedule.h"

#include <fmt/format.h>
#include <memory>

using namespace cranberry;

namespace {

constexpr DurationMs Step{25};
constexpr DurationMs Window{5000};
constexpr DurationMs RegisterTime{300}; ///< From the start of a process to its entry in the store.
constexpr DurationMs MembersInterval{600};
constexpr DurationMs ElectionTime{1500};
constexpr DurationMs Due{10000}; ///< After the end of a window.
constexpr int64_t FirstWindow = 20;
/// What is counted so shortly before all daemons are killed may be in no copy: the interval of the copies,
/// that of the notices, a tick of the writer and of the store's reply, and a reply's way.
constexpr DurationMs MaxCopyAge{250 + 100 + 25 + 25};

struct Kill {
    DurationMs at{0}; ///< After the begin of the first window.
    size_t percent = 80;
    DurationMs downtime{500};
};

struct UsagePlan {
    size_t daemons = 9;
    double perSecond = 10; ///< Requests that begin to run, of each daemon.
    size_t organisations = 5;
    std::vector<Kill> kills;
    std::vector<Kill> stops; ///< The same, but they say all that they know before they end.
    uint64_t lostDatagrams = 0; ///< Of a hundred.
    uint64_t seed = 1;
};

struct UsageResult {
    double worstOff = 0; ///< Of a window's requests, besides those that a kill of all may take.
    size_t missing = 0;
    size_t windows = 0;
    double bytesPerSecond = 0; ///< Of each daemon, for usage counts.
    double storeCallsPerSecond = 0;
    std::string text;
};

/// Daemons that count, report and are killed, and the leader of them that reports the windows.
class UsagePlay
{
public:
    explicit UsagePlay(const UsagePlan &plan) : plan_(plan), random_(plan.seed), store_(plan.seed)
    {
        daemons_.resize(plan.daemons);
        members_.resize(plan.daemons);
        for (size_t i = 0; i < plan.daemons; ++i)
            start(i);
    }

    UsageResult play(int64_t windows)
    {
        const TimeMs begin{FirstWindow * Window.count};
        for (now_ = begin - DurationMs{3000}; now_ < begin + Window * windows + Due; now_ = now_ + Step) {
            for (const Kill &kill : plan_.kills)
                end(kill, begin, false);
            for (const Kill &stop : plan_.stops)
                end(stop, begin, true);
            for (size_t i = 0; i < daemons_.size(); ++i)
                run(i);
            deliver();
            lead(windows);
        }
        return evaluate(windows);
    }

private:
    struct Daemon {
        RecordingLog log;
        Incarnation incarnation;
        std::unique_ptr<Gateway> gateway;
        std::unique_ptr<UsageCopy> copy;
        ReportSchedule reports;
        TimeMs startsAt; ///< Down until then.
        bool isListed = false;
        TimeMs membersAt;
    };
    struct Sent {
        size_t to = 0;
        std::variant<PeerReport, SendToPeer> message;
    };

    bool isUp(size_t i) const { return now_ >= daemons_[i].startsAt; }
    bool isLeader(size_t i) const { return i == leader_ && daemons_[i].incarnation == ledBy_; }

    void start(size_t i)
    {
        Daemon &daemon = daemons_[i];
        GatewaySettings settings;
        settings.instance.value = fmt::format("entry-{}", i);
        settings.incarnation.value = ++incarnations_;
        daemon.incarnation = settings.incarnation;
        settings.usageWindow = Window;
        settings.seed = plan_.seed * 1000 + incarnations_;
        daemon.gateway = std::make_unique<Gateway>(settings, daemon.log);
        daemon.copy = std::make_unique<UsageCopy>(daemon.gateway->counters(), daemon.log);
        daemon.reports = {};
        daemon.isListed = false;
        daemon.membersAt = {};
    }

    void end(const Kill &kill, TimeMs begin, bool tells)
    {
        if (now_ != begin + kill.at)
            return;
        const size_t count = (daemons_.size() * kill.percent + 99) / 100;
        const size_t first = random_.below(daemons_.size());
        for (size_t i = 0; i < count; ++i) {
            const size_t daemon = (first + i) % daemons_.size();
            if (!isUp(daemon))
                continue;
            if (tells)
                sendReport(daemon, ReportSchedule::toAll(daemons_[daemon].gateway->peers()));
            start(daemon);
            daemons_[daemon].startsAt = now_ + kill.downtime;
        }
    }

    void run(size_t i)
    {
        if (!isUp(i))
            return;
        Daemon &daemon = daemons_[i];
        Gateway &gateway = *daemon.gateway;
        if (!daemon.isListed && now_ >= daemon.startsAt + RegisterTime) {
            daemon.isListed = true;
            MemberEntry &entry = members_[i];
            entry.instance.value = fmt::format("entry-{}", i);
            entry.incarnation = daemon.incarnation;
            entry.peerAddress = {"10.0.0.2", static_cast<uint16_t>(i)};
            entry.serving = true;
            daemon.membersAt = now_;
        }
        if (daemon.isListed && now_ >= daemon.membersAt) {
            daemon.membersAt = now_ + MembersInterval;
            gateway.onMembers(members_, now_);
            gateway.onLeader(members_[leader_].instance, now_);
        }
        if (random_.below(1000) < static_cast<uint64_t>(plan_.perSecond * static_cast<double>(Step.count))) {
            const OrganisationName organisation{
                fmt::format("organisation-{}", random_.below(plan_.organisations))};
            gateway.usage().count(organisation, now_);
            const int64_t window = now_.count / Window.count;
            ++truth_[window][organisation];
            excused_[window] += mayBeLost() ? 1 : 0;
        }
        gateway.tick(now_);
        sendReport(i, daemon.reports.due(gateway.peers(), true, now_));
        for (const GatewayAction &action : gateway.takeActions()) {
            if (const SendToPeer *word = std::get_if<SendToPeer>(&action)) {
                noticeBytes_ += encodeDatagram(std::get<UsageNotice>(word->message)).size();
                send(word->to.port, *word);
            }
        }
        daemon.copy->tick(
            gateway.usage(),
            {isLeader(i) || gateway.peers().actsForLeader(now_), oldestUnrecorded(i), store_.era()}, now_);
        for (const StoreCall &call : daemon.copy->takeStoreCalls()) {
            ++storeCalls_;
            store_.submit(daemon.incarnation.value, call, now_);
        }
    }

    // As the reporter's: only the leader knows what is recorded.
    int64_t oldestUnrecorded(size_t i) const
    {
        int64_t oldest = daemons_[i].gateway->usage().oldestOpen(now_);
        while (isLeader(i) && reported_.contains(oldest))
            ++oldest;
        return oldest;
    }

    bool mayBeLost() const
    {
        return std::any_of(plan_.kills.begin(), plan_.kills.end(), [this](const Kill &kill) {
            const TimeMs at = TimeMs{FirstWindow * Window.count} + kill.at;
            return kill.percent == 100 && now_ < at && now_ >= at - MaxCopyAge;
        });
    }

    void sendReport(size_t i, const ReportSchedule::Due &due)
    {
        if (due.to.empty())
            return;
        PeerReport report = daemons_[i].gateway->report(due.isFull, now_);
        report.wallMs = now_.count;
        for (const Address &to : due.to)
            send(to.port, report);
    }

    void send(size_t to, std::variant<PeerReport, SendToPeer> message)
    {
        if (random_.below(100) >= plan_.lostDatagrams)
            sent_.push_back({to, std::move(message)});
    }

    void deliver()
    {
        for (const Sent &each : std::exchange(sent_, {})) {
            if (!isUp(each.to))
                continue;
            if (const PeerReport *report = std::get_if<PeerReport>(&each.message))
                daemons_[each.to].gateway->onPeerReport(*report, now_);
            else if (const UsageNotice *usage
                     = std::get_if<UsageNotice>(&std::get<SendToPeer>(each.message).message))
                daemons_[each.to].gateway->onUsageNotice(*usage, now_);
        }
        for (const std::pair<size_t, StoreReply> &reply : store_.replies(now_)) {
            for (size_t i = 0; i < daemons_.size(); ++i) {
                if (isUp(i) && daemons_[i].incarnation.value == reply.first)
                    daemons_[i].copy->onStoreReply(reply.second, daemons_[i].gateway->usage(), now_);
            }
        }
    }

    void lead(int64_t windows)
    {
        const Incarnation incarnation = daemons_[leader_].incarnation;
        if (!isUp(leader_) || incarnation != ledBy_) {
            if (!leaderlessSince_)
                leaderlessSince_ = now_;
            const size_t next = random_.below(daemons_.size());
            if (now_ < *leaderlessSince_ + ElectionTime || !isUp(next) || !daemons_[next].isListed)
                return;
            leader_ = next;
            ledBy_ = daemons_[next].incarnation;
            ledSince_ = now_;
            leaderlessSince_.reset();
        }
        // As the reporter waits.
        const DurationMs gatherTime
            = DurationMs{800} + daemons_[leader_].gateway->peers().fullReportInterval() * 2;
        for (int64_t window = FirstWindow; window < FirstWindow + windows; ++window) {
            const TimeMs end{(window + 1) * Window.count};
            const bool canReport = daemons_[leader_].copy->hasRead() && now_ >= end + gatherTime
                && now_ >= ledSince_ + gatherTime;
            if (canReport && now_ < end + Due && !reported_.contains(window))
                reported_[window] = daemons_[leader_].gateway->usage().sums(window);
        }
    }

    UsageResult evaluate(int64_t windows)
    {
        UsageResult out;
        for (int64_t window = FirstWindow; window < FirstWindow + windows; ++window) {
            ++out.windows;
            uint64_t all = 0;
            uint64_t off = 0;
            for (const std::pair<const OrganisationName, uint64_t> &count : truth_[window]) {
                const uint64_t said = reported_[window][count.first];
                all += count.second;
                off += said < count.second ? count.second - said : said - count.second;
            }
            if (reported_[window].empty())
                ++out.missing;
            const uint64_t unexcused = off - std::min(off, excused_[window]);
            out.worstOff = std::max(out.worstOff, static_cast<double>(unexcused) / static_cast<double>(all));
            out.text += fmt::format(" {} of {}", off, all);
        }
        const double seconds = static_cast<double>(windows * Window.count + Due.count) / 1000;
        out.storeCallsPerSecond = static_cast<double>(storeCalls_) / seconds;
        out.bytesPerSecond
            = static_cast<double>(noticeBytes_) / seconds / static_cast<double>(daemons_.size());
        return out;
    }

    const UsagePlan plan_;
    Random random_;
    FakeStore store_;
    TimeMs now_;
    std::vector<Daemon> daemons_;
    std::vector<MemberEntry> members_;
    std::vector<Sent> sent_;
    uint64_t incarnations_ = 0;
    uint64_t storeCalls_ = 0;
    uint64_t noticeBytes_ = 0;
    size_t leader_ = 0;
    Incarnation ledBy_;
    TimeMs ledSince_;
    std::optional<TimeMs> leaderlessSince_;
    std::map<int64_t, std::map<OrganisationName, uint64_t>> truth_;
    std::map<int64_t, std::map<OrganisationName, uint64_t>> reported_;
    std::map<int64_t, uint64_t> excused_;
};

std::vector<Kill> every(DurationMs pause, size_t count, size_t percent)
{
    std::vector<Kill> out;
    for (size_t i = 0; i < count; ++i)
        out.push_back({DurationMs{1200} + pause * static_cast<int64_t>(i), percent});
    return out;
}

/// What a customer may be billed wrongly, of a window's requests.
constexpr double UsageOff = 0.05;

void checkWindows(const UsagePlan &plan, int64_t windows, double bound)
{
    const UsageResult result = UsagePlay(plan).play(windows);
    INFO(plan.daemons << " daemons, seed " << plan.seed << ": off by" << result.text);
    CHECK(result.missing == 0);
    CHECK(result.worstOff <= bound);
}

} // namespace

TEST_CASE("usage that killed daemons have counted is missing in the report of a leader that started later")
{
    for (size_t daemons : {6, 9, 24}) {
        for (size_t percent : {10, 50, 80}) {
            for (uint64_t seed = 1; seed <= 3; ++seed) {
                UsagePlan plan;
                plan.daemons = daemons;
                plan.kills = every({1000}, 6, percent);
                plan.seed = seed;
                INFO(percent << " in 100 each second");
                checkWindows(plan, 3, UsageOff);
            }
        }
    }
}

TEST_CASE("usage is missing once all daemons were stopped in turn")
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        UsagePlan plan;
        plan.stops = every({900}, 12, 20);
        plan.seed = seed;
        checkWindows(plan, 3, UsageOff);
    }
}

TEST_CASE("a kill of all daemons takes more usage than was counted since the last copy")
{
    for (size_t daemons : {6, 9}) {
        for (uint64_t seed = 1; seed <= 6; ++seed) {
            UsagePlan plan;
            plan.daemons = daemons;
            plan.kills = every({4000}, 3, 100);
            plan.seed = seed;
            checkWindows(plan, 3, 0);
        }
    }
}

TEST_CASE("usage is missing where datagrams are lost and daemons are killed")
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        UsagePlan plan;
        plan.kills = every({1000}, 6, 50);
        plan.lostDatagrams = 10;
        plan.seed = seed;
        checkWindows(plan, 3, UsageOff);
    }
}

TEST_CASE("usage counts survive their text, and no damaged text is taken for some")
{
    const UsageCounts counts{{{1}, {{7, {{{"a"}, 3}, {{"b"}, 4}}}, {8, {{{"b"}, 1}}}}},
                             {{2}, {{8, {{{"c"}, 2}}}}}};
    CHECK(usageFromObject(usageObject(counts)) == counts);
    for (const char *bad :
         {"{}", R"({"organisations":[],"rows":[[1,7,[0,1]]]})", R"({"organisations":[1],"rows":[]})",
          R"({"organisations":["a"],"rows":[[1,7,[0]]]})", R"({"organisations":["a"],"rows":[[1,7,[0,-1]]]})",
          R"({"organisations":["a"],"rows":[[1.5,7,[0,1]]]})", R"({"organisations":["a"],"rows":[[1,7]]})",
          R"({"organisations":["a"],"rows":7})"})
        CHECK_FALSE(usageFromObject(boost::json::parse(bad).as_object()));
}

TEST_CASE("counts of a wrong clock, or told late, change nothing that was counted")
{
    UsageLedger ledger({1}, Window);
    const TimeMs now{20 * Window.count};
    ledger.count({"a"}, now);
    ledger.merge({{{2}, {{20, {{{"a"}, 5}}}, {5000, {{{"a"}, 5}}}, {3, {{{"a"}, 5}}}}}},
                 UsageLedger::Source::Keeping, now);
    ledger.merge({{{2}, {{20, {{{"a"}, 4}}}}}, {{1}, {{20, {{{"a"}, 9}}}}}}, UsageLedger::Source::Report,
                 now);
    CHECK(ledger.sums(20).at({"a"}) == 6);
    CHECK(ledger.sums(5000).empty());
    CHECK(ledger.sums(3).empty());
    CHECK(ledger.keptSince(0).size() == 1);
}

TEST_CASE("counts are refused for good after the clock was far ahead")
{
    UsageLedger ledger({1}, Window);
    ledger.setOffset(3'600'000);
    ledger.count({"a"}, {20 * Window.count});
    ledger.setOffset(0);
    ledger.merge({{{2}, {{20, {{{"a"}, 5}}}}}}, UsageLedger::Source::Report, {20 * Window.count});
    CHECK(ledger.sums(20).at({"a"}) == 5);
}

TEST_CASE("a new leader adds counts of daemons that it never heard, and counts nothing twice")
{
    UsageLedger ledger({9}, Window);
    const TimeMs now{8 * Window.count};
    UsageCounts copied;
    for (uint64_t i = 0; i < 3; ++i)
        copied[{i + 1}] = {{7, {{{"a"}, 10 + i}}}, {8, {{{"a"}, 5}}}};
    ledger.merge(copied, UsageLedger::Source::Keeping, now);
    ledger.merge({{{2}, {{7, {{{"a"}, 15}}}, {8, {{{"a"}, 2}}}}}}, UsageLedger::Source::Report, now);
    CHECK(ledger.sums(7).at({"a"}) == 10 + 15 + 12);
    CHECK(ledger.sums(8).at({"a"}) == 5 + 5 + 5);
}

TEST_CASE("a copy of usage loses what another writer, or a store that came back older, has in it")
{
    FakeStore store(1);
    store.put(StoreSpace::Archive, "usage/copy", "no counts");
    RecordingLog log;
    GatewayCounters counters;
    UsageCopy copies[2] = {{counters, log}, {counters, log}};
    UsageLedger ledgers[2] = {{{1}, Window}, {{2}, Window}};
    for (TimeMs now{20 * Window.count}; now < TimeMs{20 * Window.count + 4000}; now = now + Step) {
        for (size_t i = 0; i < 2; ++i) {
            copies[i].tick(ledgers[i], {true, 19, store.era()}, now);
            for (const StoreCall &call : copies[i].takeStoreCalls())
                store.submit(i, call, now);
        }
        for (const std::pair<size_t, StoreReply> &reply : store.replies(now))
            copies[reply.first].onStoreReply(reply.second, ledgers[reply.first], now);
        const int64_t passed = now.count - 20 * Window.count;
        if (passed == 0 || passed == 500)
            ledgers[passed / 500].count({"a"}, now);
        if (passed == 1000)
            ledgers[0].count({"a"}, now);
        if (passed == 250)
            store.saveCopy();
        if (passed == 2000)
            store.comeBackFromCopy();
    }
    CHECK(ledgers[0].sums(20).at({"a"}) == 3);
    CHECK(log.count("usage_unreadable") >= 1);
    const boost::json::value stored = boost::json::parse(*store.valueOf(StoreSpace::Archive, "usage/copy"));
    CHECK(usageFromObject(stored.as_object())->size() == 2);
}

// By hand: build/usage_test -ns "-tc=weighing*". docs/design/fleet-sums.md has the figures.
TEST_CASE("weighing: usage that is lost, by size and fault, and what it costs" * doctest::skip())
{
    const std::vector<std::pair<const char *, std::vector<Kill>>> faults{{"calm", {}},
                                                                         {"a tenth", every({1000}, 6, 10)},
                                                                         {"half", every({1000}, 6, 50)},
                                                                         {"80 in 100", every({1000}, 6, 80)},
                                                                         {"all", every({4000}, 3, 100)}};
    for (size_t daemons : {6, 9, 24, 60, 100}) {
        for (const std::pair<const char *, std::vector<Kill>> &fault : faults) {
            UsagePlan plan;
            plan.daemons = daemons;
            plan.organisations = daemons * 3;
            plan.perSecond = daemons > 24 ? 5 : 10;
            plan.kills = fault.second;
            const UsageResult result = UsagePlay(plan).play(3);
            MESSAGE(daemons << " daemons, " << std::string(fault.first) << ": off by" << result.text << "; "
                            << result.bytesPerSecond << " B/s a daemon, " << result.storeCallsPerSecond
                            << " calls/s");
        }
    }
}
