#include "gateway/duties/checkpointreader.h"
#include "gateway/duties/checkpointwriter.h"
#include "gatewayfixture.h"

#include <fmt/format.h>

using namespace cranberry;

namespace {

constexpr int64_t Wall = 1'700'000'000'000;

QuotaCheckpoint makeCheckpoint(size_t daemons = 3)
{
    QuotaCheckpoint out;
    out.era = 1;
    out.wallMs = Wall;
    out.sharers = daemons;
    for (uint64_t i = 0; i < daemons; ++i) {
        out.daemons.push_back({{fmt::format("entry-{}", i)}, {i + 1}});
    }
    out.levels[{"a"}] = {60'000, 10'000};
    return out;
}

StartingDaemon makeStarting()
{
    StartingDaemon out;
    out.self = {{"entry-0"}, {101}};
    out.era = 1;
    out.startedWallMs = Wall + 1000;
    out.wallMs = Wall + 1500;
    out.heard = {{{"entry-1"}, {102}}};
    return out;
}

} // namespace

TEST_CASE("a checkpoint survives its text, and no damaged text is taken for one")
{
    const QuotaCheckpoint checkpoint = makeCheckpoint();
    const std::string text = *checkpointText(checkpoint);
    REQUIRE(checkpointFromText(text));
    CHECK(*checkpointFromText(text) == checkpoint);
    for (size_t size = 0; size < text.size(); ++size)
        CHECK_FALSE(checkpointFromText(text.substr(0, size)));
    for (const char *bad : {"null", "[]", "{}", R"({"era":1,"wall":5,"sharers":0,"daemons":[],"levels":[]})",
                            R"({"era":1.5,"wall":5,"sharers":1,"daemons":[],"levels":[]})",
                            R"({"era":1,"wall":5,"sharers":1,"daemons":[],"levels":[["a"]]})",
                            R"({"era":1,"wall":5,"sharers":1,"daemons":[["a"]],"levels":[]})"})
        CHECK_FALSE(checkpointFromText(bad));
}

TEST_CASE("a checkpoint of a large fleet stays within its size, and one that does not is no checkpoint")
{
    for (const std::pair<size_t, size_t> size : {std::pair{16, 24}, {333, 76}, {5000, 76}}) {
        QuotaCheckpoint checkpoint = makeCheckpoint(size.second);
        for (DaemonIdentity &daemon : checkpoint.daemons)
            daemon.incarnation.value |= uint64_t{1} << 62U;
        for (size_t i = 0; i < size.first; ++i)
            checkpoint.levels[{fmt::format("organisation-{}", i)}] = {1'234'567, 1'000'000};
        const std::optional<std::string> text = checkpointText(checkpoint);
        CHECK(text.has_value() == (size.first < 5000));
        CHECK((!text || text->size() <= MaxCheckpointBytes));
        CHECK((!text || checkpointFromText(*text)->levels.size() == size.first + 1));
    }
}

TEST_CASE("a checkpoint is used for one restart only")
{
    const QuotaCheckpoint checkpoint = makeCheckpoint();
    StartingDaemon daemon = makeStarting();
    CHECK(checkUse(checkpoint, std::nullopt, daemon) == CheckpointFault::None);
    const CheckpointMark mark{1, Wall, Wall + 1200};
    CHECK(checkUse(checkpoint, mark, daemon) == CheckpointFault::None);
    // A daemon that starts after the mark may have used it before; and one that comes late may have lived.
    daemon.startedWallMs = Wall + 1900;
    daemon.wallMs = Wall + 2300;
    CHECK(checkUse(checkpoint, mark, daemon) == CheckpointFault::Used);
    daemon.startedWallMs = Wall + 1000;
    daemon.wallMs = Wall + 3500;
    CHECK(checkUse(checkpoint, mark, daemon) == CheckpointFault::Used);
    // An older checkpoint that was written again by a call that was executed late.
    QuotaCheckpoint older = checkpoint;
    older.wallMs = Wall - 700;
    CHECK(checkUse(older, mark, makeStarting()) == CheckpointFault::Used);
    // A mark from a clock that was far ahead does not exclude all later checkpoints.
    CHECK(checkUse(checkpoint, CheckpointMark{1, Wall, Wall + 60'000'000}, makeStarting())
          == CheckpointFault::None);
}

TEST_CASE("a checkpoint that is old, from the future, of another era or of other daemons is not used")
{
    const QuotaCheckpoint checkpoint = makeCheckpoint();
    StartingDaemon daemon = makeStarting();
    daemon.wallMs = Wall + 11000;
    CHECK(checkUse(checkpoint, std::nullopt, daemon) == CheckpointFault::Old);
    daemon.wallMs = Wall - 3000;
    CHECK(checkUse(checkpoint, std::nullopt, daemon) == CheckpointFault::Old);
    daemon = makeStarting();
    daemon.era = 2;
    CHECK(checkUse(checkpoint, std::nullopt, daemon) == CheckpointFault::OtherEra);
    daemon = makeStarting();
    daemon.self.instance.value = "entry-9";
    CHECK(checkUse(checkpoint, std::nullopt, daemon) == CheckpointFault::NotListed);
}

TEST_CASE("one daemon that restarts among living ones takes nothing from the checkpoint")
{
    // The living daemons still hold what the checkpoint counts.
    const QuotaCheckpoint checkpoint = makeCheckpoint();
    StartingDaemon daemon = makeStarting();
    CHECK(wereKilled(checkpoint, daemon));
    daemon.heard.push_back(checkpoint.daemons[2]);
    CHECK_FALSE(wereKilled(checkpoint, daemon));
    // A daemon that hears nobody doesn't know.
    daemon.heard.clear();
    CHECK_FALSE(wereKilled(checkpoint, daemon));
}

TEST_CASE("starting daemons together take no more than the checkpoint vouches for")
{
    QuotaCheckpoint checkpoint = makeCheckpoint();
    const QuotaLevel level = checkpoint.levels.at({"a"});
    const Quotas::Limit limit{100'000, 20'000, 80'000};
    const auto sum = [&](DurationMs age) { return 3 * inheritedUnits(checkpoint, level, limit, age); };
    CHECK(sum({0}) <= 60'000);
    CHECK(3 * inheritedUnits(checkpoint, {20'000, 10'000}, limit, {1000}) <= 30'000);
    CHECK(3 * inheritedUnits(checkpoint, {20'000, 50'000}, limit, {1000}) == 0);
    CHECK(sum({100'000}) <= 80'000);
    CHECK(sum({-5000}) <= 60'000);
    // Daemons that the leader did not hear keep their part of the refill.
    checkpoint.sharers = 6;
    CHECK(3 * inheritedUnits(checkpoint, {20'000, 0}, limit, {1000}) <= 30'000);
}

namespace {

/// A reader at a store that holds a checkpoint, with all other daemons killed as well.
struct ReaderFixture {
    StoreCall tick(DurationMs duration)
    {
        now = now + duration;
        situation.wallMs += duration.count;
        reader.tick(situation, {{{"entry-1"}, {102}}}, now);
        std::vector<StoreCall> calls = reader.takeStoreCalls();
        return calls.empty() ? StoreCall{} : calls.front();
    }
    void reply(const StoreCall &call, StoreOutcome outcome, std::vector<StoreItem> items = {})
    {
        reader.onStoreReply({call.id, outcome, 1, std::move(items), {}, 0, 0, {}}, now);
    }
    static StoreItem item(const char *key, const std::string &value, uint64_t revision)
    {
        return {StoreSpace::Archive, key, value, revision, 0, false, nullptr, std::nullopt, std::nullopt};
    }

    GatewayCounters counters;
    RecordingLog log;
    CheckpointReader reader{{{"entry-0"}, {101}}, counters, log};
    CheckpointReader::Situation situation{1, Wall + 1000, true, false};
    TimeMs now{5000};
    const StoreItem stored = item(CheckpointKey, *checkpointText(makeCheckpoint()), 7);
};

} // namespace

TEST_CASE("a lost reply to the read or to the mark is repeated once, then the daemon goes on without")
{
    ReaderFixture world;
    world.reply(world.tick({25}), StoreOutcome::NoReply);
    world.reply(world.reader.takeStoreCalls().at(0), StoreOutcome::NoReply);
    CHECK(world.reader.isDone());
    CHECK(world.reader.hasRead());
    CHECK(world.counters.of(GatewayCount::CheckpointsRejected) == 1);

    // The mark was written, but its reply was lost: the repeated call finds it.
    ReaderFixture second;
    second.reply(second.tick({25}), StoreOutcome::NoReply);
    const std::vector<StoreCall> repeated = second.reader.takeStoreCalls();
    REQUIRE(repeated.size() == 1);
    second.reply(repeated.front(), StoreOutcome::Done, {second.stored});
    const StoreCall mark = second.tick({25});
    REQUIRE(mark.verb == StoreVerb::Write);
    CHECK(mark.conditions.size() == 2);
    second.reply(mark, StoreOutcome::NoReply);
    const std::vector<StoreCall> again = second.reader.takeStoreCalls();
    REQUIRE(again.size() == 1);
    second.reply(again.front(), StoreOutcome::Conflict,
                 {second.stored, ReaderFixture::item(CheckpointMarkKey, mark.puts.front().value, 9)});
    CHECK(second.reader.takeUsable());
    CHECK_FALSE(second.reader.takeUsable());
}

TEST_CASE("a daemon does not use a checkpoint that was replaced after it was read")
{
    // The leader that wrote the newer one lives, and its daemons hold what the older one counts.
    ReaderFixture world;
    world.reply(world.tick({25}), StoreOutcome::Done, {world.stored});
    const StoreCall mark = world.tick({25});
    StoreItem newer = world.stored;
    newer.revision = 8;
    world.reply(mark, StoreOutcome::Conflict, {newer, ReaderFixture::item(CheckpointMarkKey, "", 0)});
    CHECK_FALSE(world.reader.takeUsable());
    CHECK(world.counters.of(GatewayCount::CheckpointsRejected) == 1);
}
