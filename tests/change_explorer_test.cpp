#include "daemon/configchange.h"
#include "daemon/safeguards.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <set>

using namespace cranberry;

// Breadth-first search over the interleavings of two operators' changes with a bounded number of lost
// replies, on the production ConfigurationChange. A write may be delayed without bound, take effect after its
// reply was considered lost, or never arrive; reads may fail. The result reported to an operator must stay
// true whatever arrives later: an accepted change stays in the list of changes, a change with a conflict
// never appears in it.

namespace {

constexpr size_t Operators = 2;

struct State {
    std::vector<ConfigurationChange> changes;
    StoredConfiguration stored{{1}, "text", {}};
    std::map<std::string, StoredConfiguration>
        writesInFlight; ///< Writes in flight; each may arrive once, at any later time.
    std::vector<bool> awaitingReply = std::vector<bool>(Operators, false); ///< For the reply to a write.
    uint8_t lostReplies = 0;
};

std::string encode(const State &state)
{
    std::string out = fmt::format("{}:{}", state.stored.revision.value, encodeStored(state.stored));
    for (size_t i = 0; i < Operators; ++i) {
        const ConfigurationChange &change = state.changes[i];
        out += fmt::format("|{} {} {} {} {}", static_cast<int>(change.step()),
                           static_cast<int>(change.finalOutcome()), change.revision().value,
                           change.toWrite().revision.value, static_cast<int>(state.awaitingReply[i]));
    }
    for (const std::pair<const std::string, StoredConfiguration> &write : state.writesInFlight)
        out += "/" + write.first;
    return out + fmt::format("~{}", state.lostReplies);
}

class Explorer
{
public:
    void explore()
    {
        State initialState;
        for (size_t i = 0; i < Operators; ++i)
            initialState.changes.emplace_back(fmt::format("c{}", i), fmt::format("text{}", i), std::nullopt,
                                              TimeMs{1000});
        visit(std::move(initialState));
        while (!frontier_.empty() && violation_.empty()) {
            std::vector<State> current;
            current.swap(frontier_);
            for (const State &state : current)
                expand(state);
        }
    }

    size_t states() const { return seen_.size(); }
    const std::string &violation() const { return violation_; }

private:
    void visit(State state)
    {
        for (size_t i = 0; i < Operators; ++i) {
            const ConfigurationChange &change = state.changes[i];
            if (change.step() != ConfigurationChange::Step::Done)
                continue;
            const std::vector<std::string> &ids = state.stored.changes;
            const bool written = std::find(ids.begin(), ids.end(), fmt::format("c{}", i)) != ids.end();
            if (change.finalOutcome() == ConfigurationChange::ChangeOutcome::Accepted && !written)
                violation_ = "accepted, but not written";
            if (change.finalOutcome() == ConfigurationChange::ChangeOutcome::Conflict && written)
                violation_ = "reported as a conflict, but written";
            if (std::count(ids.begin(), ids.end(), fmt::format("c{}", i)) > 1)
                violation_ = "written twice";
        }
        if (seen_.insert(encode(state)).second)
            frontier_.push_back(std::move(state));
    }

    // Applies an arriving write if the stored revision equals its expected revision. Returns whether it was
    // applied.
    static bool applyWrite(State &state, const StoredConfiguration &write)
    {
        if (write.revision != state.stored.revision)
            return false;
        const uint64_t next = state.stored.revision.value + 1;
        state.stored = write;
        state.stored.revision = {next};
        return true;
    }

    void expand(const State &state)
    {
        for (size_t i = 0; i < Operators; ++i)
            expandOperator(state, i);
        for (const std::pair<const std::string, StoredConfiguration> &write : state.writesInFlight) {
            State next = state; // A write that was considered lost arrives late.
            next.writesInFlight.erase(write.first);
            applyWrite(next, write.second);
            visit(std::move(next));
        }
    }

    void expandOperator(const State &state, size_t index)
    {
        constexpr uint8_t MaxLostReplies = 3;
        const ConfigurationChange &change = state.changes[index];
        const TimeMs beforeDeadline{0};
        const TimeMs afterDeadline{2000};
        if (change.step() == ConfigurationChange::Step::Read) {
            State readDone = state;
            readDone.changes[index].onRead(state.stored);
            visit(std::move(readDone));
            State readFailed = state;
            readFailed.changes[index].onReadFailed(afterDeadline);
            visit(std::move(readFailed));
        } else if (change.step() == ConfigurationChange::Step::Write) {
            State replied = state;
            const bool applied = applyWrite(replied, change.toWrite());
            const ConfigurationChange::WriteResult writeResult = applied
                ? ConfigurationChange::WriteResult::Applied
                : ConfigurationChange::WriteResult::NotApplied;
            replied.changes[index].onWritten(writeResult, replied.stored.revision, beforeDeadline);
            visit(std::move(replied));
            if (state.lostReplies == MaxLostReplies)
                return;
            for (const TimeMs &when : {beforeDeadline, afterDeadline}) {
                State lostWrite = state; // No reply: the write is still in flight.
                ++lostWrite.lostReplies;
                lostWrite.writesInFlight.emplace(
                    fmt::format("{}{}", encodeStored(change.toWrite()), state.lostReplies), change.toWrite());
                lostWrite.changes[index].onWritten(ConfigurationChange::WriteResult::ReplyLost, {}, when);
                visit(std::move(lostWrite));
            }
        } else if (change.step() == ConfigurationChange::Step::Confirm) {
            State confirmed = state;
            confirmed.changes[index].onConfirm(true, beforeDeadline);
            visit(std::move(confirmed));
        }
    }

    std::set<std::string> seen_;
    std::vector<State> frontier_;
    std::string violation_;
};

} // namespace

TEST_CASE("explorer: the reported result of a change stays true")
{
    Explorer explorer;
    explorer.explore();
    fmt::print("explorer | two operators | states {} | all\n", explorer.states());
    CHECK_MESSAGE(explorer.violation().empty(), explorer.violation());
    CHECK(explorer.states() > 100);
}

// Without the read-back, a lost reply is reported as a conflict and the write takes effect afterwards.
TEST_CASE("explorer: without the read-back a change reported as a conflict is written")
{
    setSafeguard(Safeguard::ReadBackAfterLostReply, false);
    Explorer explorer;
    explorer.explore();
    setSafeguard(Safeguard::ReadBackAfterLostReply, true);
    CHECK(explorer.violation() == "reported as a conflict, but written");
}
