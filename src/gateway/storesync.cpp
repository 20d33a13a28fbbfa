#include "gateway/storesync.h"

#include "fields.h"

#include <algorithm>
#include <fmt/format.h>

namespace cranberry {

namespace {

namespace json = boost::json;

/// Pace of reading the configuration: a change must be in force within two seconds of its acknowledgement, so
/// two reads in a row may fail.
constexpr DurationMs SharedPace{600};
/// Pace of reading the endpoints: a leaving one must get no new work two seconds after it said so.
constexpr DurationMs EndpointsPace{500};
/// Pace of asking another daemon. Its own view is up to a read's pace old when it answers.
constexpr DurationMs AskPace{300};
/// One that stands by asks less often: only callers with old addresses come to it.
constexpr DurationMs StandbyAskPace{500};
/// A view older than this is renewed by reading, whatever the other daemon says.
constexpr DurationMs OldestBorrowed{1300};
constexpr DurationMs StandbyOldestBorrowed{1800};
/// One that stands by reads changes of the configuration so many times at most within the bound in which they
/// must be in force: each of quick successions would be read by hundreds of them.
constexpr int64_t StandbyReadsPerBound = 3;
/// A daemon that left so many questions in a row unanswered is not asked for a while.
constexpr uint32_t SilentQuestions = 3;
constexpr DurationMs SilentTime{3000};
constexpr DurationMs UnansweredMemory{60000}; ///< Addresses of daemons that are gone for good are forgotten.
/// After so many failed reads in a row, or while one is not answered for so long, a daemon asks others, also
/// if it is one of those that read for all. It goes on trying; at a slower pace while others keep its view
/// fresh.
constexpr uint32_t ReadsFailing = 2;
constexpr DurationMs SlowRead{1100};
constexpr int64_t SlowerWhileFailing = 3;
/// A read that takes longer finds a busy store: each further one of a daemon that does not read for all
/// doubles its pause, so many times at most. Of 295 daemons 60 reads a second are left then, which a store
/// whose link a list of 300 KB keeps busy for 3 ms answers five times over.
constexpr DurationMs BusyRead{500};
constexpr uint32_t MostReadDoublings = 3;
/// More members don't fit into a datagram with the list of endpoints; they are read.
constexpr size_t MostMembersTold = 120;
/// While none serves. Enough for some to be lost; few enough that a start of hundreds soon changes none.
constexpr size_t MembersToldAtStart = 24;
/// Entries of endpoints in one answer: each takes about 90 B, and a datagram holds 60 KB.
constexpr size_t MostEndpointsTold = 400;
constexpr size_t MostOpenQuestions = 16;
/// A read that takes longer than this is taken for lost; the slowest store that still answers is below it.
constexpr DurationMs ReadTimeout{2500};
/// Reads of one kind under way at once: they overlap while the store is slow, but don't pile up.
constexpr size_t MostOverlappingReads = 4;
constexpr DurationMs WriteTimeout{2000};
/// A third of the lease: two renewals may be lost.
constexpr int64_t RenewalsPerLease = 3;
/// A leader stops this long before its lease may have run out, for what is still on its way.
constexpr DurationMs LeadershipMargin{700};
/// After a loss a daemon does not stand again for a lease's time and this much more: otherwise the order of
/// holders could be A, B, A within one lease.
constexpr DurationMs StandMargin{700};
constexpr uint64_t StandSpreadMs = 400; ///< So that not all stand in the same moment.
/// Those that serve hear the counts that are to be reported; the others stand only if none of them does.
constexpr DurationMs StandbyStandsLater{2000};
constexpr DurationMs RetryPause{500};

constexpr const char *MemberPrefix = "members/";
constexpr const char *LeaderKey = "leader";

} // namespace

std::string memberText(const MemberEntry &member)
{
    return json::serialize(json::object{{"incarnation", member.incarnation.value},
                                        {"failureDomain", member.failureDomain.value},
                                        {"callerAddress", toText(member.callerAddress)},
                                        {"peerAddress", toText(member.peerAddress)},
                                        {"cores", member.cores},
                                        {"serving", member.serving}});
}

namespace {

/// Members that daemons which ask are told: those that serve, or the strongest while none does. The others
/// come and go unnoticed: with hundreds of them each change would make all read the store.
std::vector<MemberEntry> toldMembers(const std::vector<MemberEntry> &members)
{
    std::vector<MemberEntry> told;
    std::copy_if(members.begin(), members.end(), std::back_inserter(told),
                 [](const MemberEntry &member) { return member.serving; });
    if (!told.empty())
        return told;
    told = members;
    const size_t count = std::min(told.size(), MembersToldAtStart);
    std::partial_sort(told.begin(), told.begin() + static_cast<std::ptrdiff_t>(count), told.end(),
                      [](const MemberEntry &a, const MemberEntry &b) {
                          return a.cores != b.cores ? a.cores > b.cores : a.incarnation < b.incarnation;
                      });
    told.resize(count);
    return told;
}

uint64_t digestOfShared(uint64_t version, const std::vector<MemberEntry> &members, const LeaderEntry &leader)
{
    std::string digested = fmt::format("{};{}={};", version, leader.revision, leader.value);
    for (const MemberEntry &member : toldMembers(members))
        digested += fmt::format("{}={};", member.instance.value, memberText(member));
    return digestOf(digested) >> 1U; // JSON readers keep 63 bits.
}

uint64_t digestOfEntries(const std::vector<Address> &entries)
{
    std::string digested;
    for (const Address &address : entries)
        digested += toText(address) + ";";
    return digestOf(digested) >> 1U;
}

/// The instance that a leader's entry names; empty if it names none.
InstanceName holderOf(const LeaderEntry &leader)
{
    json::error_code code;
    const json::value value = json::parse(leader.value, code);
    const json::object *object = code || leader.revision == 0 ? nullptr : value.if_object();
    const json::value *instance = object ? object->if_contains("instance") : nullptr;
    return {instance && instance->is_string() ? std::string(instance->as_string()) : std::string()};
}

} // namespace

std::optional<MemberEntry> memberFromText(const std::string &instance, const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<MemberEntry>> {
            BOOST_LEAF_ASSIGN(const json::value value, parseJson(text));
            MemberEntry member;
            member.instance.value = instance;
            FieldReader reader(value, "");
            reader.required("failureDomain", member.failureDomain);
            reader.required("callerAddress", member.callerAddress);
            reader.required("peerAddress", member.peerAddress);
            reader.optional("cores", member.cores, 0, 4096);
            reader.optional("serving", member.serving);
            reader.markKnown("incarnation");
            if (const FieldError *error = reader.finish())
                return boost::leaf::new_error(*error);
            const json::value *incarnation = value.as_object().if_contains("incarnation");
            const std::optional<uint64_t> number = wholeNumber<uint64_t>(incarnation);
            if (incarnation && incarnation->is_number() && !number)
                return std::optional<MemberEntry>();
            member.incarnation.value = number.value_or(0);
            return std::optional<MemberEntry>(member);
        },
        [] { return std::optional<MemberEntry>(); });
}

StoreSync::StoreSync(const StoreSyncSettings &settings, DecisionLog &log)
    : settings_(settings), log_(log), random_(settings.seed)
{ }

// ---- Calls ----

void StoreSync::send(StoreCall call, OpenCall open, TimeMs now)
{
    call.id = nextCall_++;
    open.sentAt = now;
    open_[call.id] = std::move(open);
    calls_.push_back(std::move(call));
}

bool StoreSync::readsFail(TimeMs now) const
{
    return failedReads_ >= ReadsFailing
        || std::any_of(open_.begin(), open_.end(), [now](const std::pair<const uint64_t, OpenCall> &entry) {
               return isRead(entry.second.purpose) && now - entry.second.sentAt > SlowRead;
           });
}

bool StoreSync::tooManyOpen(Purpose purpose) const
{
    size_t count = 0;
    for (const std::pair<const uint64_t, OpenCall> &entry : open_)
        count += entry.second.purpose == purpose ? 1 : 0;
    return count >= (isRead(purpose) && readsForAll_ ? MostOverlappingReads : 1);
}

void StoreSync::readSpace(StoreSpace space, OpenCall open, const std::string &after, TimeMs now)
{
    StoreCall call;
    call.verb = StoreVerb::List;
    call.space = space;
    call.after = after;
    call.timeout = ReadTimeout;
    send(std::move(call), std::move(open), now);
}

void StoreSync::readShared(TimeMs now)
{
    sharedReadAt_ = now;
    readSpace(StoreSpace::Shared, {Purpose::ReadShared, now, now, {}, 0}, "", now);
}

void StoreSync::noteReadTime(const OpenCall &open, bool done, TimeMs now)
{
    const bool wasSlow = !done || now - open.sentAt > BusyRead;
    slowReads_ = wasSlow ? std::min(slowReads_ + 1, MostReadDoublings) : 0;
}

// All daemons find the store busy at the same moment, and must not come back together.
DurationMs StoreSync::readPause(DurationMs pace)
{
    if (readsForAll_ || slowReads_ == 0)
        return pace;
    const DurationMs most = pace * (int64_t{1} << slowReads_);
    return most / 2 + DurationMs{static_cast<int64_t>(random_.below(static_cast<uint64_t>(most.count)))};
}

void StoreSync::tick(TimeMs now)
{
    if (!started_) {
        started_ = true;
        startedAt_ = now;
        // An earlier life of this daemon may have led until just now: wait out its lease.
        standAt_ = settings_.firstStart ? now : now + settings_.leaseTime + StandMargin;
    }
    if (source_ && now >= askAt_)
        ask(now);
    const bool failing = readsFail(now);
    const DurationMs oldest = oldestBorrowed();
    const bool fresh = now - std::min(newestShared_, newestEndpoints_) < oldest;
    const int64_t slower = failing && fresh ? SlowerWhileFailing : 1;
    const bool sharedIsOld = !source_ || failing || now - newestShared_ > oldest;
    const bool endpointsAreOld = !source_ || failing || now - newestEndpoints_ > oldest;
    if (now >= sharedAt_ && sharedIsOld && !tooManyOpen(Purpose::ReadShared)) {
        sharedAt_ = now + std::max(SharedPace * slower, readPause(SharedPace));
        readShared(now);
    }
    if (now >= endpointsAt_ && endpointsAreOld && !tooManyOpen(Purpose::ReadEndpoints)) {
        endpointsAt_ = now + std::max(EndpointsPace * slower, readPause(EndpointsPace));
        readSpace(StoreSpace::Endpoints, {Purpose::ReadEndpoints, now, now, {}, 0}, "", now);
    }
    if (leaving_)
        return;
    if (now >= renewAt_ && !tooManyOpen(lease_ == 0 ? Purpose::Grant : Purpose::Renew)) {
        renewAt_ = now + settings_.leaseTime / RenewalsPerLease;
        StoreCall call;
        call.verb = lease_ == 0 ? StoreVerb::GrantLease : StoreVerb::RenewLease;
        call.lease = lease_;
        call.leaseTime = settings_.leaseTime;
        call.timeout = WriteTimeout;
        send(call, {lease_ == 0 ? Purpose::Grant : Purpose::Renew, now, now, {}, lease_}, now);
    }
    if (lease_ != 0 && !registered_ && now >= registerAt_ && !tooManyOpen(Purpose::Register))
        registerSelf(now);
    const DurationMs later = settings_.self.serving ? DurationMs{0} : StandbyStandsLater;
    const bool mayStand
        = leader_.revision == 0 ? now >= standAt_ + later : leaderIsEarlierLife_ && now >= takeBackAt_;
    if (lease_ != 0 && mayStand && newestShared_ >= startedAt_ && !tooManyOpen(Purpose::Stand)
        && now < leaseValidUntil_)
        stand(now);
}

void StoreSync::registerSelf(TimeMs now)
{
    registerAt_ = now + RetryPause;
    StoreCall call;
    call.verb = StoreVerb::Write;
    call.puts.push_back({StoreSpace::Shared, MemberPrefix + settings_.self.instance.value,
                         memberText(settings_.self), lease_});
    call.timeout = WriteTimeout;
    send(std::move(call), {Purpose::Register, now, now, {}, lease_, settings_.self.serving}, now);
}

std::string StoreSync::ownLeaderValue() const
{
    return json::serialize(json::object{{"instance", settings_.self.instance.value},
                                        {"incarnation", settings_.self.incarnation.value}});
}

// An instance runs one daemon at a time: a key with its name and another incarnation is of a process that
// ended.
bool StoreSync::isEarlierLife(const std::string &leaderValue) const
{
    return holderOf({leaderValue, 1, 0}) == settings_.self.instance && leaderValue != ownLeaderValue();
}

// The write's condition lets one daemon win. Its revision is the fencing token: unique, and larger than any
// before.
//
// A holder that was killed and started again finds its own key while its old lease runs. Its earlier life is
// over, and nobody else can have won before the key was gone: it replaces the key without waiting. Otherwise
// the duties rest for a whole lease when all daemons are killed at once.
void StoreSync::stand(TimeMs now)
{
    takeBackAt_ = now + RetryPause;
    standAt_ = now + RetryPause + DurationMs{static_cast<int64_t>(random_.below(StandSpreadMs))};
    StoreCall call;
    call.verb = StoreVerb::Write;
    call.conditions.push_back({StoreSpace::Shared, LeaderKey, leader_.revision});
    call.puts.push_back({StoreSpace::Shared, LeaderKey, ownLeaderValue(), lease_});
    call.timeout = WriteTimeout;
    send(std::move(call), {Purpose::Stand, now, now, {}, lease_}, now);
}

// ---- Replies ----

void StoreSync::noteStoreState(bool answered, TimeMs now)
{
    if (answered == storeAnswers_)
        return;
    if (!answered && now - newestShared_ < ReadTimeout)
        return;
    storeAnswers_ = answered;
    log_.write(LogWeight::State, answered ? "store_regained" : "store_lost",
               {{"newest_read_age_ms", newestShared_.count == 0 ? 0 : (now - newestShared_).count}});
}

void StoreSync::onReply(const StoreReply &reply, TimeMs now)
{
    const auto found = open_.find(reply.id);
    if (found == open_.end())
        return;
    OpenCall open = std::move(found->second);
    open_.erase(found);
    switch (open.purpose) {
    case Purpose::ReadShared:
    case Purpose::ReadEndpoints:
        noteStoreState(reply.outcome == StoreOutcome::Done, now);
        failedReads_ = reply.outcome == StoreOutcome::Done ? 0 : failedReads_ + 1;
        noteReadTime(open, reply.outcome == StoreOutcome::Done, now);
        return onRead(open, reply, now);
    case Purpose::Grant:
    case Purpose::Renew:
        return onLeaseReply(open, reply, now);
    case Purpose::Register:
        registered_ = reply.outcome == StoreOutcome::Done && open.lease == lease_
            && open.serving == settings_.self.serving;
        registeredAt_ = now;
        if (reply.outcome == StoreOutcome::NotFound && open.lease == lease_)
            loseLease(now, "register");
        return;
    case Purpose::Stand:
        // A lost or refused try shows in the next read; only a win is news.
        if (reply.outcome == StoreOutcome::Done && open.lease == lease_) {
            leader_ = {ownLeaderValue(), reply.revision, lease_};
            leaderIsSelf_ = true;
            leaderIsEarlierLife_ = false;
            log_.write(LogWeight::State, "leadership_won", {{"fencing_token", reply.revision}});
        }
        return;
    case Purpose::Leave:
        return;
    }
}

void StoreSync::onRead(OpenCall &open, const StoreReply &reply, TimeMs now)
{
    if (reply.outcome != StoreOutcome::Done)
        return;
    open.pages.insert(open.pages.end(), reply.items.begin(), reply.items.end());
    const bool shared = open.purpose == Purpose::ReadShared;
    if (!reply.nextPage.empty())
        return readSpace(shared ? StoreSpace::Shared : StoreSpace::Endpoints, std::move(open), reply.nextPage,
                         now);
    // Reads overlap: what an older question found must not replace what a newer one found.
    TimeMs &newest = shared ? newestShared_ : newestEndpoints_;
    if (open.readStartedAt < newest)
        return;
    newest = open.readStartedAt;
    if (shared)
        takeShared(open, now);
    else
        takeEndpoints(open);
}

void StoreSync::takeShared(const OpenCall &open, TimeMs now)
{
    std::vector<MemberEntry> members;
    LeaderEntry leader;
    bool sawConfiguration = false;
    for (const StoreItem &item : open.pages) {
        if (item.isConfiguration) {
            sawConfiguration = true;
            configuration_ = item.configuration;
            news_.configurations.push_back({item.configuration, open.readStartedAt});
        } else if (item.key == LeaderKey) {
            leader = {item.value, item.revision, item.lease};
        } else if (item.key.starts_with(MemberPrefix)) {
            std::optional<MemberEntry> member
                = memberFromText(item.key.substr(std::string_view(MemberPrefix).size()), item.value);
            if (member)
                members.push_back(std::move(*member));
            else
                log_.write(LogWeight::Failure, "member_unreadable", {{"key", item.key}});
        }
    }
    if (sawConfiguration != sawConfiguration_)
        log_.write(LogWeight::State, sawConfiguration ? "configuration_there" : "configuration_missing", {});
    sawConfiguration_ = sawConfiguration;
    sharedDigest_ = digestOfShared(knownVersion(), members, leader);
    listed_ = members.size();
    takeMembers(std::move(members), leader, open.readStartedAt, now);
}

void StoreSync::takeMembers(std::vector<MemberEntry> members, const LeaderEntry &leader, TimeMs askedAt,
                            TimeMs now)
{
    members_ = members;
    checkOwnEntry(askedAt);
    news_.members = std::move(members);
    news_.listed = listed_;
    news_.dutyHolder = holderOf(leader);
    // What was asked before our own win can't have seen it.
    const bool staleView = leaderIsSelf_ && leader.revision < leader_.revision;
    if (staleView && lease_ == leader_.lease && askedAt + WriteTimeout > now)
        return;
    const bool isSelf = leader.revision != 0 && leader.value == ownLeaderValue() && leader.lease == lease_;
    if (leaderIsSelf_ && !isSelf) {
        log_.write(LogWeight::State, "leadership_lost",
                   {{"why", "another entry"}, {"revision", leader.revision}});
        standAt_ = now + settings_.leaseTime + StandMargin;
    }
    if (isSelf && !leaderIsSelf_)
        log_.write(LogWeight::State, "leadership_won", {{"fencing_token", leader.revision}});
    leader_ = leader;
    leaderIsSelf_ = isSelf;
    leaderIsEarlierLife_ = isEarlierLife(leader.value);
}

// A write that was given up may be done later, after the one that followed it: the others would go on without
// the share of the limits that this daemon takes.
void StoreSync::checkOwnEntry(TimeMs askedAt)
{
    if (!registered_ || askedAt <= registeredAt_)
        return;
    const bool listedServing
        = std::any_of(members_.begin(), members_.end(), [this](const MemberEntry &member) {
              return member.incarnation == settings_.self.incarnation && member.serving;
          });
    registered_ = listedServing == settings_.self.serving;
}

void StoreSync::takeEndpoints(const OpenCall &open)
{
    std::vector<EndpointEntry> entries;
    for (const StoreItem &item : open.pages) {
        if (item.endpoint)
            entries.push_back(*item.endpoint);
    }
    takeEndpointList(std::move(entries), open.readStartedAt);
}

void StoreSync::takeEndpointList(std::vector<EndpointEntry> entries, TimeMs askedAt)
{
    endpoints_.replace(std::move(entries));
    news_.endpoints.push_back({endpoints_.entries(), askedAt});
}

// ---- Asking instead of reading ----

void StoreSync::ask(TimeMs now)
{
    askAt_ = now + (settings_.self.serving ? AskPace : StandbyAskPace);
    while (questions_.size() >= MostOpenQuestions)
        questions_.erase(questions_.begin());
    questions_[nextQuestion_] = {now, *source_};
    std::erase_if(unanswered_, [now](const std::pair<const Address, Unanswered> &each) {
        return now - each.second.askedAt > UnansweredMemory;
    });
    Unanswered &unanswered = unanswered_[*source_];
    ++unanswered.questions;
    unanswered.askedAt = now;
    outgoing_.push_back({*source_,
                         FreshnessQuestion{settings_.self.incarnation, nextQuestion_, endpoints_.digest(),
                                           sharedDigest_, knownVersion(), toldEntriesDigest_}});
    ++nextQuestion_;
}

DurationMs StoreSync::oldestBorrowed() const
{
    return settings_.self.serving ? OldestBorrowed : StandbyOldestBorrowed;
}

std::set<Address> StoreSync::silentSources(TimeMs now) const
{
    std::set<Address> out;
    for (const std::pair<const Address, Unanswered> &each : unanswered_) {
        if (each.second.questions > SilentQuestions && now - each.second.askedAt < SilentTime)
            out.insert(each.first);
    }
    return out;
}

void StoreSync::setServing(bool serving)
{
    if (serving == settings_.self.serving)
        return;
    log_.write(LogWeight::State, serving ? "serving" : "standing_by", {});
    settings_.self.serving = serving;
    registered_ = false;
}

void StoreSync::setEntries(const std::vector<Address> &entries)
{
    if (entries == entries_)
        return;
    entries_ = entries;
    entriesDigest_ = entries.empty() ? 0 : digestOfEntries(entries);
}

uint64_t StoreSync::knownVersion() const
{
    return sawConfiguration_ && configuration_ ? configuration_->version : 0;
}

void StoreSync::onQuestion(const FreshnessQuestion &question, const Address &from, TimeMs now)
{
    // A view that is old already is of no use: the asker would have to read in any case. One that this daemon
    // could not renew just now still is: if it kept silent, all that ask would read from a busy store.
    const TimeMs oldest = std::min(newestShared_, newestEndpoints_);
    if (newestShared_.count == 0 || newestEndpoints_.count == 0 || now - oldest > OldestBorrowed)
        return;
    FreshnessAnswer answer;
    answer.number = question.number;
    answer.sharedAge = now - newestShared_;
    answer.sharedDigest = sharedDigest_;
    answer.configurationVersion = knownVersion();
    if (question.sharedDigest != sharedDigest_
        && question.configurationVersion == answer.configurationVersion) {
        answer.members = toldMembers(members_);
        answer.leader = leader_;
        answer.listed = listed_;
        answer.hasMembers = answer.members.size() <= MostMembersTold;
    }
    answer.endpointsAge = now - newestEndpoints_;
    answer.endpointsDigest = endpoints_.digest();
    answer.entriesDigest = entriesDigest_;
    answer.hasEntries = !entries_.empty() && question.entriesDigest != entriesDigest_;
    if (answer.hasEntries)
        answer.entries = entries_;
    if (question.endpointsDigest == endpoints_.digest())
        outgoing_.push_back({from, std::move(answer)});
    else
        tellEndpoints(question, from, std::move(answer));
}

// "Was so" is counted from when the question was sent, less the age at the answerer: late answers, also those
// that waited while this process stood still, claim nothing that was not true then.
void StoreSync::onAnswer(const FreshnessAnswer &answer, TimeMs now)
{
    const auto found = questions_.find(answer.number);
    if (found == questions_.end())
        return;
    const TimeMs askedAt = found->second.sentAt;
    unanswered_.erase(found->second.to);
    const bool isLast
        = !answer.hasEndpoints || answer.endpointsFrom + answer.endpoints.size() >= answer.endpointsTotal;
    if (isLast)
        questions_.erase(found);
    takeEntriesAnswer(answer, askedAt);
    takeSharedAnswer(answer, askedAt - answer.sharedAge, now);
    takeEndpointsAnswer(answer, askedAt - answer.endpointsAge);
}

void StoreSync::takeSharedAnswer(const FreshnessAnswer &answer, TimeMs sharedAt, TimeMs now)
{
    if (answer.sharedDigest != sharedDigest_) {
        // Something changed, here or there: the store tells what. If it is not the configuration, this is
        // confirmed all the same: a daemon that the store turns away could not serve keys for long otherwise.
        const bool sameConfiguration
            = configuration_ && answer.configurationVersion == configuration_->version;
        if (sameConfiguration)
            news_.configurations.push_back({configuration_, sharedAt});
        if (sameConfiguration && answer.hasMembers && sharedAt > newestShared_) {
            newestShared_ = sharedAt;
            sharedDigest_ = answer.sharedDigest;
            listed_ = answer.listed;
            takeMembers(answer.members, answer.leader, sharedAt, now);
        }
        const bool mayWait = configuration_ && !settings_.self.serving;
        const DurationMs pace = settings_.configurationBound / StandbyReadsPerBound;
        const bool isTooSoon = mayWait && now - sharedReadAt_ < pace;
        if (sharedAt > newestShared_ && !isTooSoon && !tooManyOpen(Purpose::ReadShared))
            readShared(now);
    } else if (sharedAt > newestShared_ && configuration_) {
        newestShared_ = sharedAt;
        news_.configurations.push_back({configuration_, sharedAt});
    }
}

// Changes go with the answer; a whole list goes with it and as many further ones as it takes.
void StoreSync::tellEndpoints(const FreshnessQuestion &question, const Address &from, FreshnessAnswer answer)
{
    answer.endpointChanges = endpoints_.since(question.endpointsDigest);
    answer.endpointsBase = question.endpointsDigest;
    if (answer.endpointChanges
        && answer.endpointChanges->changed.size() + answer.endpointChanges->gone.size()
            <= MostEndpointsTold) {
        outgoing_.push_back({from, std::move(answer)});
        return;
    }
    const std::vector<EndpointEntry> &all = endpoints_.entries();
    answer.endpointChanges.reset();
    answer.hasEndpoints = true;
    answer.endpointsTotal = all.size();
    do {
        const size_t end = std::min(answer.endpointsFrom + MostEndpointsTold, all.size());
        answer.endpoints.assign(all.begin() + static_cast<std::ptrdiff_t>(answer.endpointsFrom),
                                all.begin() + static_cast<std::ptrdiff_t>(end));
        outgoing_.push_back({from, answer});
        answer.endpointsFrom = end;
    } while (answer.endpointsFrom < all.size());
}

void StoreSync::takeEndpointsAnswer(const FreshnessAnswer &answer, TimeMs endpointsAt)
{
    if (endpointsAt <= newestEndpoints_)
        return;
    if (answer.hasEndpoints)
        endpoints_.takePart(answer.endpointsDigest, answer.endpointsFrom, answer.endpointsTotal,
                            answer.endpoints);
    else if (answer.endpointChanges)
        endpoints_.apply(answer.endpointsBase, *answer.endpointChanges);
    if (answer.endpointsDigest != endpoints_.digest())
        return;
    newestEndpoints_ = endpointsAt;
    news_.endpoints.push_back({endpoints_.entries(), endpointsAt});
}

// An answer of an earlier question may come later; the digest tells whether the list is still the one meant.
void StoreSync::takeEntriesAnswer(const FreshnessAnswer &answer, TimeMs askedAt)
{
    if (answer.hasEntries) {
        toldEntries_ = answer.entries;
        toldEntriesDigest_ = answer.entriesDigest;
    }
    if (!toldEntries_.empty() && answer.entriesDigest == toldEntriesDigest_)
        news_.entries = EntriesTold{toldEntries_, askedAt};
}

void StoreSync::onLeaseReply(const OpenCall &open, const StoreReply &reply, TimeMs now)
{
    if (reply.outcome == StoreOutcome::NotFound && open.lease == lease_)
        return loseLease(now, "not found");
    if (reply.outcome != StoreOutcome::Done)
        return;
    if (open.purpose == Purpose::Grant) {
        if (lease_ != 0)
            return;
        lease_ = reply.lease;
        registered_ = false;
    } else if (open.lease != lease_) {
        return;
    }
    leaseValidUntil_ = std::max(leaseValidUntil_, open.sentAt + reply.leaseTime);
}

void StoreSync::loseLease(TimeMs now, const char *why)
{
    log_.write(LogWeight::State, "lease_lost", {{"why", why}, {"led", leaderIsSelf_}});
    if (leaderIsSelf_)
        standAt_ = now + settings_.leaseTime + StandMargin;
    lease_ = 0;
    registered_ = false;
    leaderIsSelf_ = false;
    leaseValidUntil_ = now;
    renewAt_ = now;
}

// ---- Leadership ----

Leadership StoreSync::leadership(TimeMs now) const
{
    Leadership out;
    out.validUntil = leaseValidUntil_ - LeadershipMargin;
    out.fencingToken = leader_.revision;
    out.held = !leaving_ && leaderIsSelf_ && leader_.lease == lease_ && now < out.validUntil;
    return out;
}

void StoreSync::startLeaving(TimeMs now)
{
    if (leaving_)
        return;
    leaving_ = true;
    if (lease_ == 0)
        return;
    // Ending the lease removes the member's entry and the leader's key at once.
    StoreCall call;
    call.verb = StoreVerb::EndLease;
    call.lease = lease_;
    call.timeout = WriteTimeout;
    send(std::move(call), {Purpose::Leave, now, now, {}, lease_}, now);
}

} // namespace cranberry
