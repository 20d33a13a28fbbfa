#include "daemon/peercodec.h"

#include "peers.pb.h"

namespace cranberry {

namespace {

// ---- Value types ----

void put(wire::Address &to, const Address &from)
{
    to.set_host(from.host);
    to.set_port(from.port);
}

Address get(const wire::Address &from)
{
    return {from.host(), static_cast<uint16_t>(from.port())};
}

void put(wire::RequestId &to, const RequestId &from)
{
    to.set_owner(from.owner.value);
    to.set_sequence(from.sequence);
    to.set_witness(from.witness.value);
}

RequestId get(const wire::RequestId &from)
{
    return {{from.owner()}, from.sequence(), {from.witness()}};
}

void put(wire::OnceKey &to, const OnceKey &from)
{
    to.set_registrar(from.registrar.value);
    to.set_session(from.session);
    to.set_sequence(from.sequence);
    to.set_bare(from.bare);
}

OnceKey get(const wire::OnceKey &from)
{
    return {{from.registrar()}, from.session(), from.sequence(), from.bare()};
}

void put(wire::AnswerEnd &to, const AnswerEnd &from)
{
    to.set_status(from.status);
    to.set_content_type(from.contentType);
    to.set_finish_reason(from.finishReason);
    to.set_length(from.length);
    to.set_digest(from.digest);
    to.set_unframed(from.isUnframed);
}

AnswerEnd get(const wire::AnswerEnd &from)
{
    return {from.status(), from.content_type(), from.finish_reason(),
            from.length(), from.digest(),       from.unframed()};
}

// A value above `last` comes from a newer version or from corrupt data; it is decoded as `fallback`.
template <typename E>
E enumFrom(uint32_t value, E last, E fallback)
{
    return value <= static_cast<uint32_t>(last) ? static_cast<E>(value) : fallback;
}

void put(wire::Spec &to, const RequestSpec &from)
{
    to.set_organisation(from.organisation.value);
    to.set_service(from.service.value);
    to.set_path(from.path);
    to.set_method(from.method);
    to.set_body(from.body);
    to.set_prompt(from.prompt);
    to.set_stream(from.stream);
    to.set_idempotent(from.idempotent);
    to.set_work_class(static_cast<uint32_t>(from.workClass));
    to.set_max_tokens(from.maxTokens);
    to.set_deadline_ms(from.deadline.count);
    put(*to.mutable_key(), from.key);
    to.set_attempt(from.attempt);
}

RequestSpec get(const wire::Spec &from)
{
    RequestSpec to;
    to.organisation.value = from.organisation();
    to.service.value = from.service();
    to.path = from.path();
    to.method = from.method();
    to.body = from.body();
    to.prompt = from.prompt();
    to.stream = from.stream();
    to.idempotent = from.idempotent();
    to.workClass = enumFrom(from.work_class(), WorkClass::Batch, WorkClass::Batch);
    to.maxTokens = from.max_tokens();
    to.deadline = {from.deadline_ms()};
    to.key = get(from.key());
    to.attempt = from.attempt();
    return to;
}

void put(wire::OnceSession &to, const OnceSession &from)
{
    to.set_registrar(from.registrar.value);
    to.set_number(from.number);
    to.set_floor(from.floor);
    for (const std::pair<const uint64_t, OnceRecord> &entry : from.records) {
        wire::OnceRecord &record = *to.add_records();
        record.set_sequence(entry.first);
        record.set_state(static_cast<uint32_t>(entry.second.state));
        record.set_refused_through(entry.second.refusedThrough);
        record.set_holder(entry.second.holder.value);
        put(*record.mutable_request(), entry.second.request);
    }
}

OnceSession get(const wire::OnceSession &from)
{
    OnceSession to{{from.registrar()}, from.number(), from.floor(), {}};
    for (const wire::OnceRecord &record : from.records()) {
        to.records[record.sequence()] = {enumFrom(record.state(), OnceState::Done, OnceState::Done),
                                         record.refused_through(),
                                         {record.holder()},
                                         get(record.request())};
    }
    return to;
}

// ---- Message kinds: one encoder (put) and one decoder (get) each ----

void put(wire::Member &to, const MemberInfo &info)
{
    to.set_incarnation(info.incarnation.value);
    to.set_instance(info.instance.value);
    to.set_failure_domain(info.failureDomain.value);
    put(*to.mutable_caller_address(), info.callerAddress);
    put(*to.mutable_peer_address(), info.peerAddress);
    to.set_version(info.version);
    to.set_revision(info.revision.value);
}

MemberInfo get(const wire::Member &from)
{
    return {{from.incarnation()},     {from.instance()}, {from.failure_domain()}, get(from.caller_address()),
            get(from.peer_address()), from.version(),    {from.revision()}};
}

void put(wire::Envelope &out, const Gossip &m)
{
    wire::Gossip &to = *out.mutable_gossip();
    to.set_is_reply(m.isReply);
    put(*to.add_members(), m.sender);
    for (const MemberInfo &info : m.members)
        put(*to.add_members(), info);
    for (const Suspicion &suspicion : m.suspicions) {
        wire::Suspicion &wireSuspicion = *to.add_suspicions();
        wireSuspicion.set_incarnation(suspicion.incarnation.value);
        wireSuspicion.set_version(suspicion.version);
    }
    for (const MarkUpdate &news : m.marks) {
        wire::Mark &wireMark = *to.add_marks();
        wireMark.set_kind(static_cast<uint32_t>(news.mark.kind));
        wireMark.set_instance(news.mark.instance.value);
        wireMark.set_subject(news.mark.subject.value);
        wireMark.set_successor(news.mark.successor.value);
        wireMark.set_notice_ms(news.notice.count);
    }
    to.set_mark_digest(m.markDigest);
    to.set_wants_marks(m.wantsMarks);
    to.set_wants_members(m.wantsMembers);
}

PeerMessage get(const wire::Gossip &from)
{
    Gossip to;
    to.isReply = from.is_reply();
    for (int i = 0; i < from.members_size(); ++i) {
        if (i == 0)
            to.sender = get(from.members(i));
        else
            to.members.push_back(get(from.members(i)));
    }
    for (const wire::Suspicion &suspicion : from.suspicions())
        to.suspicions.push_back({{suspicion.incarnation()}, suspicion.version()});
    for (const wire::Mark &mark : from.marks()) {
        // Skips marks of a kind that this version does not know. The digests then differ, so the daemon
        // requests the missing marks again.
        if (mark.kind() <= static_cast<uint32_t>(MarkKind::DaemonMoved))
            to.marks.push_back({{static_cast<MarkKind>(mark.kind()),
                                 {mark.instance()},
                                 {mark.subject()},
                                 {mark.successor()}},
                                {mark.notice_ms()}});
    }
    to.markDigest = from.mark_digest();
    to.wantsMarks = from.wants_marks();
    to.wantsMembers = from.wants_members();
    return to;
}

void put(wire::Envelope &out, const ConfigurationHave &m)
{
    out.mutable_configuration_have()->set_revision(m.revision.value);
}

void put(wire::Envelope &out, const ConfigurationPush &m)
{
    out.mutable_configuration_push()->set_revision(m.revision.value);
    out.mutable_configuration_push()->set_text(m.text);
}

void put(wire::Envelope &out, const OnceQuery &m)
{
    wire::OnceQuestion &to = *out.mutable_once_question();
    to.set_action(static_cast<uint32_t>(m.action));
    put(*to.mutable_key(), m.key);
    to.set_attempt(m.attempt);
    put(*to.mutable_request(), m.request);
    to.set_moved_from(m.movedFrom.value);
}

PeerMessage get(const wire::OnceQuestion &from)
{
    // An unknown action is decoded as Finish, the one that changes the least state.
    return OnceQuery{enumFrom(from.action(), OnceAction::Finish, OnceAction::Finish),
                     get(from.key()),
                     from.attempt(),
                     get(from.request()),
                     {from.moved_from()}};
}

void put(wire::Envelope &out, const OnceReply &m)
{
    wire::OnceReply &to = *out.mutable_once_reply();
    put(*to.mutable_request(), m.request);
    to.set_action(static_cast<uint32_t>(m.action));
    to.set_verdict(static_cast<uint32_t>(m.answer.verdict));
    to.set_holder(m.answer.holder.value);
    put(*to.mutable_holder_request(), m.answer.request);
}

PeerMessage get(const wire::OnceReply &from)
{
    const OnceVerdict verdict = enumFrom(from.verdict(), OnceVerdict::Sealed, OnceVerdict::Unknown);
    return OnceReply{get(from.request()),
                     enumFrom(from.action(), OnceAction::Finish, OnceAction::Finish),
                     {verdict, {from.holder()}, get(from.holder_request())}};
}

void put(wire::Envelope &out, const RequestCopy &m)
{
    wire::RequestCopy &to = *out.mutable_request_copy();
    to.set_purpose(static_cast<uint32_t>(m.purpose));
    put(*to.mutable_request(), m.request);
    put(*to.mutable_spec(), m.spec);
    to.set_text(m.text);
    for (const Branch &branch : m.branches) {
        wire::Branch &wireBranch = *to.add_branches();
        wireBranch.set_lineage(branch.lineage);
        wireBranch.set_offset(branch.offset);
    }
    to.set_generated_tokens(m.generatedTokens);
    to.set_owner(m.owner.value);
    to.set_ended(m.ended);
    put(*to.mutable_end(), m.end);
}

PeerMessage get(const wire::RequestCopy &from)
{
    RequestCopy to;
    to.purpose = enumFrom(from.purpose(), CopyPurpose::Handover, CopyPurpose::Witness);
    to.request = get(from.request());
    to.spec = get(from.spec());
    to.text = from.text();
    for (const wire::Branch &branch : from.branches())
        to.branches.push_back({branch.lineage(), branch.offset()});
    to.generatedTokens = from.generated_tokens();
    to.owner = {from.owner()};
    to.ended = from.ended();
    to.end = get(from.end());
    return to;
}

void put(wire::Envelope &out, const CopyAck &m)
{
    out.mutable_copy_ack()->set_purpose(static_cast<uint32_t>(m.purpose));
    put(*out.mutable_copy_ack()->mutable_request(), m.request);
}

void put(wire::Envelope &out, const WitnessDrop &m)
{
    put(*out.mutable_witness_drop()->mutable_request(), m.request);
}

void put(wire::Envelope &out, const Fetch &m)
{
    wire::Fetch &to = *out.mutable_fetch();
    to.set_tag(m.tag);
    put(*to.mutable_request(), m.request);
    to.set_offset(m.offset);
    to.set_lineage(m.lineage);
    to.set_claim(m.claim);
    to.set_not_at(m.notAt.value);
}

void put(wire::Envelope &out, const FetchReply &m)
{
    wire::FetchReply &to = *out.mutable_fetch_reply();
    to.set_tag(m.tag);
    to.set_state(static_cast<uint32_t>(m.state));
    to.set_offset(m.offset);
    to.set_lineage(m.lineage);
    to.set_text(m.text);
    put(*to.mutable_end(), m.end);
    to.mutable_refusal()->set_outcome(static_cast<uint32_t>(m.refusal.outcome));
    to.mutable_refusal()->set_reason(static_cast<uint32_t>(m.refusal.reason));
    to.mutable_refusal()->set_retry_after_ms(m.refusal.retryAfter.count);
    to.set_owner(m.owner.value);
    put(*to.mutable_request(), m.request);
}

PeerMessage get(const wire::FetchReply &from)
{
    const RefusalReason last = static_cast<RefusalReason>(static_cast<int>(RefusalReason::Count) - 1);
    FetchReply to;
    to.tag = from.tag();
    to.state = enumFrom(from.state(), FetchState::NotFound, FetchState::NotFound);
    to.offset = from.offset();
    to.lineage = from.lineage();
    to.text = from.text();
    to.end = get(from.end());
    to.refusal.outcome = enumFrom(from.refusal().outcome(), Outcome::Unknown, Outcome::Unknown);
    to.refusal.reason = enumFrom(from.refusal().reason(), last, RefusalReason::OwnerGone);
    to.refusal.retryAfter = {from.refusal().retry_after_ms()};
    to.owner = {from.owner()};
    to.request = get(from.request());
    return to;
}

void put(wire::Envelope &out, const RegisterTransfer &m)
{
    wire::RegisterTransfer &to = *out.mutable_register_transfer();
    for (const OnceSession &session : m.sessions)
        put(*to.add_sessions(), session);
}

PeerMessage get(const wire::RegisterTransfer &from)
{
    RegisterTransfer to;
    for (const wire::OnceSession &session : from.sessions())
        to.sessions.push_back(get(session));
    return to;
}

void put(wire::Envelope &out, const RegisterTransferAck &)
{
    out.mutable_register_transfer_ack();
}

void put(wire::Envelope &out, const NotHere &m)
{
    out.mutable_not_here()->set_gone(m.gone.value);
}

std::optional<PeerMessage> bodyOf(const wire::Envelope &in)
{
    switch (in.body_case()) {
    case wire::Envelope::kGossip:
        return get(in.gossip());
    case wire::Envelope::kConfigurationHave:
        return ConfigurationHave{{in.configuration_have().revision()}};
    case wire::Envelope::kConfigurationPush:
        return ConfigurationPush{{in.configuration_push().revision()}, in.configuration_push().text()};
    case wire::Envelope::kOnceQuestion:
        return get(in.once_question());
    case wire::Envelope::kOnceReply:
        return get(in.once_reply());
    case wire::Envelope::kRequestCopy:
        return get(in.request_copy());
    case wire::Envelope::kCopyAck:
        return CopyAck{enumFrom(in.copy_ack().purpose(), CopyPurpose::Handover, CopyPurpose::Witness),
                       get(in.copy_ack().request())};
    case wire::Envelope::kWitnessDrop:
        return WitnessDrop{get(in.witness_drop().request())};
    case wire::Envelope::kFetch:
        return Fetch{in.fetch().tag(),     get(in.fetch().request()), in.fetch().offset(),
                     in.fetch().lineage(), in.fetch().claim(),        {in.fetch().not_at()}};
    case wire::Envelope::kFetchReply:
        return get(in.fetch_reply());
    case wire::Envelope::kRegisterTransfer:
        return get(in.register_transfer());
    case wire::Envelope::kRegisterTransferAck:
        return RegisterTransferAck{};
    case wire::Envelope::kNotHere:
        return NotHere{{in.not_here().gone()}};
    case wire::Envelope::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace

void toWire(const PeerEnvelope &envelope, wire::Envelope &out)
{
    out.set_from(envelope.from.value);
    out.set_to(envelope.to.value);
    std::visit([&out](const auto &message) { put(out, message); }, envelope.message);
}

std::optional<PeerEnvelope> fromWire(const wire::Envelope &in)
{
    std::optional<PeerMessage> body = bodyOf(in);
    if (!body)
        return std::nullopt;
    return PeerEnvelope{{in.from()}, {in.to()}, std::move(*body)};
}

std::string encodeEnvelope(const PeerEnvelope &envelope)
{
    wire::Envelope out;
    toWire(envelope, out);
    return out.SerializeAsString();
}

std::optional<PeerEnvelope> decodeEnvelope(const std::string &bytes)
{
    wire::Envelope in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    return fromWire(in);
}

} // namespace cranberry
