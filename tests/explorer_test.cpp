#include "daemon/onceattempt.h"
#include "daemon/safeguards.h"

#include <array>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <unordered_set>
#include <xxhash.h>

using namespace cranberry;

// Breadth-first over the at-most-once protocol, on the shipping OnceRegister and OnceAttempt. Two entries, A
// and B, hold the same key; A may hand its request to C and, hearing nothing, also to D; the register may
// move to one of two daemons; after "not run" the caller comes back at E with its second attempt. The network
// is the set of all messages ever sent: each may arrive at any later time, any number of times or never,
// which covers loss, doubling, overtaking and any pause. An entry may stop for good, refuse, or dispatch late
// at every point. The caller must never see two runs, nor "not run" for an attempt that runs.

namespace {

enum EntryIndex : uint8_t { A, B, C, D, E, EntryCount };
constexpr size_t RegisterCount = 3;
constexpr uint64_t Session = 1;

Incarnation entryId(size_t entry)
{
    return {100 + entry};
}

Incarnation registerId(size_t index)
{
    return {200 + index};
}

// C and D take over A's request, under its id.
RequestId requestOf(size_t entry)
{
    const bool handed = entry == C || entry == D;
    return {entryId(handed ? static_cast<size_t>(A) : entry), 1, {}};
}

enum class MessageKind : uint8_t { Question, Reply, Handover, Transfer, TransferAck };

struct Message {
    MessageKind kind = MessageKind::Question;
    uint8_t entry = 0; ///< Question: asker. Reply, Handover: receiver.
    uint8_t registry = 0; ///< Question, Transfer: receiver. Reply, TransferAck: sender.
    OnceAction action = OnceAction::Acquire;
    OnceVerdict verdict = OnceVerdict::Unknown;
    uint8_t holder = 0; ///< Reply "sealed": 0, or 1 + the register to ask.
    std::vector<OnceSession> table;
};

struct EntryState {
    OnceAttempt attempt;
    uint8_t registry = 0;
    bool started = false;
    bool toldNotRun = false;
};

struct State {
    std::array<EntryState, EntryCount> entries;
    std::vector<OnceRegister> registers;
    std::map<std::string, Message> sent; ///< By their encoding.
    uint8_t runs = 0;
    uint8_t firstRuns = 0; ///< Of the caller's first attempt.
    uint8_t handovers = 0;
    uint8_t successor = 0; ///< Register that the transfer was last sent to; 0 for none.
    uint8_t transfers = 0;
    bool told = false;
};

template <typename T>
void put(std::string &out, T value)
{
    out.append(reinterpret_cast<const char *>(&value), sizeof(value));
}

void putTable(std::string &out, const std::vector<OnceSession> &table)
{
    for (const OnceSession &session : table) {
        for (const std::pair<const uint64_t, OnceRecord> &record : session.records) {
            put(out, record.second.state);
            put(out, record.second.refusedThrough);
            put(out, record.second.holder.value);
            put(out, record.second.request.owner.value);
        }
        out += ';';
    }
}

std::string encode(const Message &message)
{
    std::string out;
    put(out, message.kind);
    put(out, message.entry);
    put(out, message.registry);
    put(out, message.action);
    put(out, message.verdict);
    put(out, message.holder);
    putTable(out, message.table);
    return out;
}

XXH128_hash_t hashOf(const State &state)
{
    std::string out;
    for (const EntryState &entry : state.entries) {
        put(out, entry.attempt);
        put(out, entry.registry);
        put(out, entry.started);
        put(out, entry.toldNotRun);
    }
    for (const OnceRegister &registry : state.registers) {
        put(out, registry.isSealed());
        put(out, registry.successor().value);
        OnceRegister copy = registry;
        putTable(out, copy.seal());
        out += '|';
    }
    for (const std::pair<const std::string, Message> &message : state.sent)
        out += message.first + "/";
    put(out, state.runs);
    put(out, state.firstRuns);
    put(out, state.handovers);
    put(out, state.successor);
    put(out, state.transfers);
    put(out, state.told);
    return XXH3_128bits(out.data(), out.size());
}

struct HashHash {
    size_t operator()(const XXH128_hash_t &hash) const { return hash.low64; }
};

struct HashEqual {
    bool operator()(const XXH128_hash_t &a, const XXH128_hash_t &b) const
    {
        return a.high64 == b.high64 && a.low64 == b.low64;
    }
};

/// What may happen besides asking and dispatching. Smaller models are walked through to their end.
struct Model {
    bool refusals = true;
    bool handovers = true;
    bool transfers = true;
};

class Explorer
{
public:
    explicit Explorer(const Model &model) : model_(model) { }

    /// Visits states until `most` or until no new ones are left; stops at the first breach.
    void explore(size_t most)
    {
        visit(initial());
        while (!frontier_.empty() && seen_.size() < most && breach_.empty()) {
            std::vector<State> current;
            current.swap(frontier_);
            ++depth_;
            for (const State &state : current) {
                expand(state);
                if (!breach_.empty() || seen_.size() >= most)
                    break;
            }
        }
        complete_ = frontier_.empty() && breach_.empty();
    }

    size_t states() const { return seen_.size(); }
    size_t depth() const { return depth_; }
    bool complete() const { return complete_; }
    const std::string &breach() const { return breach_; }

private:
    static State initial()
    {
        State state;
        for (size_t i = 0; i < RegisterCount; ++i)
            state.registers.emplace_back(registerId(i));
        state.registers[0].openSession();
        for (const size_t entry : {A, B}) {
            state.entries[entry].started = true;
            state.entries[entry].attempt.acquire();
        }
        return state;
    }

    void visit(State state)
    {
        if (state.runs > 1)
            breach_ = "ran twice";
        if (state.told && state.firstRuns > 0)
            breach_ = "told not run, and ran";
        if (seen_.insert(hashOf(state)).second)
            frontier_.push_back(std::move(state));
    }

    void expand(const State &state)
    {
        for (size_t entry = 0; entry < EntryCount; ++entry)
            expandEntry(state, entry);
        expandRegister(state);
        for (const std::pair<const std::string, Message> &message : state.sent) {
            State next = state;
            receive(next, message.second);
            visit(std::move(next));
        }
    }

    static void send(State &state, const Message &message) { state.sent.emplace(encode(message), message); }

    void expandEntry(const State &state, size_t index)
    {
        const EntryState &entry = state.entries[index];
        if (!entry.started)
            return;
        const OnceAttempt::Phase phase = entry.attempt.phase();
        if (entry.attempt.waitsForRegister()) {
            State next = state;
            Message question;
            question.entry = static_cast<uint8_t>(index);
            question.registry = entry.registry;
            question.action
                = phase == OnceAttempt::Phase::Refusing ? OnceAction::Refuse : OnceAction::Acquire;
            send(next, question);
            visit(std::move(next));
        }
        if (entry.attempt.mayDispatch()) {
            State next = state;
            next.entries[index].attempt.dispatched();
            ++next.runs;
            next.firstRuns += index == E ? 0 : 1;
            visit(std::move(next));
        }
        const bool undispatched
            = phase == OnceAttempt::Phase::Acquiring || phase == OnceAttempt::Phase::Granted;
        if (undispatched && model_.refusals) {
            State next = state;
            next.entries[index].attempt.refuse();
            visit(std::move(next));
        }
        if (phase == OnceAttempt::Phase::Refused && !entry.toldNotRun && index != E) {
            State next = state;
            next.entries[index].toldNotRun = true;
            next.told = true;
            if (!next.entries[E].started) {
                next.entries[E].started = true;
                next.entries[E].attempt.acquire();
            }
            visit(std::move(next));
        }
        const Incarnation successor = state.registers[0].successor();
        if (successor && entry.registry == 0) {
            State next = state; // The mark "moved" reaches this entry by gossip.
            next.entries[index].registry = static_cast<uint8_t>(successor.value - registerId(0).value);
            visit(std::move(next));
        }
        const bool hands = model_.handovers && index == A && state.handovers < 2;
        if (hands && (undispatched || phase == OnceAttempt::Phase::Moved)) {
            State next = state;
            next.entries[index].attempt.move();
            Message handover;
            handover.kind = MessageKind::Handover;
            handover.entry = static_cast<uint8_t>(C + state.handovers);
            ++next.handovers;
            send(next, handover);
            visit(std::move(next));
        }
    }

    // The register seals and offers its table to one daemon; hearing nothing, to the other.
    void expandRegister(const State &state)
    {
        if (!model_.transfers || state.transfers >= RegisterCount - 1 || state.registers[0].successor())
            return;
        State next = state;
        ++next.transfers;
        next.successor = next.transfers;
        Message transfer;
        transfer.kind = MessageKind::Transfer;
        transfer.registry = next.successor;
        transfer.table = next.registers[0].seal();
        send(next, transfer);
        visit(std::move(next));
    }

    static void receive(State &state, const Message &message)
    {
        switch (message.kind) {
        case MessageKind::Question:
            return receiveQuestion(state, message);
        case MessageKind::Reply:
            return receiveReply(state, message);
        case MessageKind::Handover: {
            EntryState &entry = state.entries[message.entry];
            if (!entry.started) {
                entry.started = true;
                entry.attempt.acquire();
            }
            return;
        }
        case MessageKind::Transfer: {
            state.registers[message.registry].adopt(message.table);
            Message ack;
            ack.kind = MessageKind::TransferAck;
            ack.registry = message.registry;
            send(state, ack);
            return;
        }
        case MessageKind::TransferAck:
            if (message.registry == state.successor)
                state.registers[0].moveTo(registerId(message.registry));
            return;
        }
    }

    static void receiveQuestion(State &state, const Message &message)
    {
        OnceQuery question;
        question.action = message.action;
        question.key = {registerId(0), Session, 1, {}};
        question.request = requestOf(message.entry);
        question.attempt = message.entry == E ? 2 : 1;
        const bool handed = message.entry == C || message.entry == D;
        question.movedFrom = handed ? entryId(A) : Incarnation{};
        const OnceAnswer answer = state.registers[message.registry].answer(question, entryId(message.entry));
        Message reply;
        reply.kind = MessageKind::Reply;
        reply.entry = message.entry;
        reply.registry = message.registry;
        reply.action = message.action;
        reply.verdict = answer.verdict;
        if (answer.verdict == OnceVerdict::Sealed && answer.holder)
            reply.holder = static_cast<uint8_t>(1 + answer.holder.value - registerId(0).value);
        send(state, reply);
    }

    static void receiveReply(State &state, const Message &message)
    {
        EntryState &entry = state.entries[message.entry];
        const bool refusing = entry.attempt.phase() == OnceAttempt::Phase::Refusing;
        if (!entry.attempt.waitsForRegister() || refusing != (message.action == OnceAction::Refuse))
            return;
        if (message.verdict == OnceVerdict::Sealed) {
            if (message.holder != 0)
                entry.registry = message.holder - 1;
            return;
        }
        entry.attempt.answered(message.verdict);
    }

    Model model_;
    std::unordered_set<XXH128_hash_t, HashHash, HashEqual> seen_;
    std::vector<State> frontier_;
    std::string breach_;
    size_t depth_ = 0;
    bool complete_ = false;
};

constexpr size_t StatesInCi = 1'200'000;
constexpr size_t StatesUntilRed = 2'000'000;

std::string breachWithout(Safeguard safeguard, const Model &model)
{
    setSafeguard(safeguard, false);
    Explorer explorer(model);
    explorer.explore(StatesUntilRed);
    setSafeguard(safeguard, true);
    fmt::print("explorer | safeguard {} taken out | {} after {} states\n", static_cast<int>(safeguard),
               explorer.breach(), explorer.states());
    return explorer.breach();
}

} // namespace

// The caller sees one run at most and no false "not run", whatever is lost, doubled, late or paused, while
// the request moves between entries and the register between daemons.
TEST_CASE("explorer: no run twice and no false not run")
{
    Explorer explorer(Model{});
    explorer.explore(StatesInCi);
    fmt::print("explorer | refusals, handovers, transfers | states {} | depth {} | {}\n", explorer.states(),
               explorer.depth(), explorer.complete() ? "all" : "up to the limit");
    CHECK_MESSAGE(explorer.breach().empty(), explorer.breach());
    CHECK(explorer.states() >= 1'000'000);
}

// The same with one kind of event left out, walked through to the end: no state is left unseen.
TEST_CASE("explorer: the smaller models to their end")
{
    for (const Model &model :
         {Model{true, false, false}, Model{false, true, false}, Model{false, false, true}}) {
        Explorer explorer(model);
        explorer.explore(StatesUntilRed);
        fmt::print("explorer |{}{}{} | states {} | depth {} | {}\n", model.refusals ? " refusals" : "",
                   model.handovers ? " handovers" : "", model.transfers ? " transfers" : "",
                   explorer.states(), explorer.depth(), explorer.complete() ? "all" : "up to the limit");
        CHECK_MESSAGE(explorer.breach().empty(), explorer.breach());
        CHECK(explorer.complete());
    }
}

TEST_CASE("explorer: without the grant both entries run")
{
    CHECK(breachWithout(Safeguard::RegisterBeforeDispatch, Model{}) == "ran twice");
}

// A is told "not run"; its duplicate waits at B and asks afterwards.
TEST_CASE("explorer: without the written refusal a refused call runs")
{
    CHECK(breachWithout(Safeguard::RecordRefusalBeforeReply, {true, false, false})
          == "told not run, and ran");
}

// The table has left for the successor, and the old register grants once more.
TEST_CASE("explorer: without the seal two registers grant")
{
    CHECK(breachWithout(Safeguard::SealBeforeTransfer, {false, false, true}) == "ran twice");
}

// A offers its request to C, hears nothing, and offers it to D: both name A as the one they have it from.
TEST_CASE("explorer: without the rule on moves two successors run")
{
    CHECK(breachWithout(Safeguard::TransferOnlyFromHolder, {false, true, false}) == "ran twice");
}
