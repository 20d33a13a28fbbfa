#include "daemon/peercodec.h"

#include <doctest/doctest.h>
#include <random>

using namespace cranberry;

namespace {

std::vector<PeerMessage> sampleMessages()
{
    const RequestId id{{1}, 2, {3}};
    RequestSpec spec;
    spec.organisation = {"o"};
    spec.service = {"s"};
    spec.path = "/p";
    spec.method = "POST";
    spec.body = std::string("\0\xff", 2);
    spec.prompt = "prompt";
    spec.stream = true;
    spec.idempotent = false;
    spec.workClass = WorkClass::Batch;
    spec.maxTokens = 9;
    spec.deadline = {1234};
    spec.key = {{5}, 6, 7, "bare"};
    spec.attempt = 3;
    const AnswerEnd end{200, "text/plain", "stop", 10, 0xdeadbeef};
    const MemberInfo member{{1}, {"i"}, {"d"}, {"h", 1}, {"h", 2}, 3, {4}};
    const Mark mark{MarkKind::DaemonMoved, {"i"}, {1}, {2}};
    const OnceSession session{{1}, 2, 3, {{4, {OnceState::Granted, 5, {6}, id}}}};
    const RequestCopy copy{CopyPurpose::Handover, id, {9}, spec, "text", 4, {{7, 8}}, true, end};
    const FetchReply reply{
        1, FetchState::OwnedBy, 2, 3, "t", end, {Outcome::NotRun, RefusalReason::Overloaded, {5}}, {6}, id};
    return {Gossip{true, member, {member}, {{{1}, 2}}, {{mark, {7}}}, 9, true, true},
            ConfigurationHave{{5}},
            ConfigurationPush{{5}, "text"},
            OnceQuery{OnceAction::Refuse, spec.key, 2, id, {8}},
            OnceReply{id, OnceAction::Acquire, {OnceVerdict::HeldElsewhere, {4}, id}},
            copy,
            CopyAck{CopyPurpose::Handover, id},
            WitnessDrop{id},
            Fetch{1, id, 2, 3, true, {4}},
            reply,
            RegisterTransfer{{session}},
            RegisterTransferAck{},
            NotHere{{4}}};
}

} // namespace

TEST_CASE("peer messages of every kind survive encoding and decoding")
{
    const std::vector<PeerMessage> messages = sampleMessages();
    CHECK(messages.size() == std::variant_size_v<PeerMessage>);
    for (size_t i = 0; i < messages.size(); ++i) {
        CHECK(messages[i].index() == i);
        const std::string bytes = encodeEnvelope({{11}, {12}, messages[i]});
        const std::optional<PeerEnvelope> read = decodeEnvelope(bytes);
        REQUIRE(read);
        CHECK(read->from == Incarnation{11});
        CHECK(read->to == Incarnation{12});
        CHECK(read->message.index() == i);
        CHECK(encodeEnvelope(*read) == bytes);
    }
    const std::optional<PeerEnvelope> copy = decodeEnvelope(encodeEnvelope({{1}, {2}, messages[5]}));
    CHECK(std::get<RequestCopy>(copy->message).spec == std::get<RequestCopy>(messages[5]).spec);
    CHECK(std::get<RequestCopy>(copy->message).end == std::get<RequestCopy>(messages[5]).end);
}

// Guards against a crash on corrupt bytes, as a faulty peer or a foreign client could send them. The decoder
// must reject them or return a well-formed message.
TEST_CASE("corrupt envelopes never crash the decoder")
{
    std::mt19937 random(1);
    size_t read = 0;
    for (const PeerMessage &message : sampleMessages()) {
        const std::string bytes = encodeEnvelope({{11}, {12}, message});
        for (int i = 0; i < 2000; ++i) {
            std::string damaged = bytes.substr(0, random() % (bytes.size() + 1));
            for (size_t k = random() % 4; k > 0 && !damaged.empty(); --k)
                damaged[random() % damaged.size()] = static_cast<char>(random());
            read += decodeEnvelope(damaged).has_value() ? 1 : 0;
        }
    }
    CHECK(read > 0);
}
