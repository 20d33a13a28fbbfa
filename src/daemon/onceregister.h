#pragma once

#include "common/types.h"

#include <map>
#include <vector>

namespace cranberry {

enum class OnceVerdict : uint8_t {
    Granted, ///< The asker may dispatch this request, once.
    HeldElsewhere, ///< Another request holds the key; its answer is the answer.
    Refused, ///< This attempt will never be granted: "not run" is true.
    Unknown, ///< The register has no memory of the key and never will.
    Sealed ///< The register has moved to `holder`; 0 while it is not yet certain where.
};

struct OnceAnswer {
    OnceVerdict verdict = OnceVerdict::Unknown;
    Incarnation holder;
    RequestId request;

    friend bool operator==(const OnceAnswer &, const OnceAnswer &) = default;
};

enum class OnceState : uint8_t { Absent, Granted, Done };

/// What the register knows of one key.
struct OnceRecord {
    OnceState state = OnceState::Absent;
    uint32_t refusedThrough = 0; ///< Attempts up to this one are refused for good.
    Incarnation holder;
    RequestId request;

    friend bool operator==(const OnceRecord &, const OnceRecord &) = default;
};

/// What is asked of a register for one key.
enum class OnceAction : uint8_t { Acquire, Refuse, Finish };

struct OnceQuestion {
    OnceAction action = OnceAction::Acquire;
    OnceKey key;
    uint32_t attempt = 1;
    RequestId request;
    Incarnation movedFrom; ///< Acquire: the daemon that handed the request to the asker.
};

/// The rule for one key, whoever keeps the record: a daemon's register or the platform's service.
OnceAnswer applyOnce(OnceRecord &record, const OnceQuestion &question, Incarnation asker);

/// The keys of one session, by sequence number. Sequences up to `floor` are forgotten.
struct OnceSession {
    Incarnation registrar;
    uint64_t number = 0;
    uint64_t floor = 0;
    std::map<uint64_t, OnceRecord> records;

    friend bool operator==(const OnceSession &, const OnceSession &) = default;
};

/// The write-once register behind "at most once". Exactly one daemon holds a session's keys at a time:
/// the one that opened it, then the one it was moved to.
class OnceRegister
{
public:
    explicit OnceRegister(Incarnation self) : self_(self) { }

    uint64_t openSession();

    OnceAnswer answer(const OnceQuestion &question, Incarnation asker);

    /// Stops granting for good and returns the whole table for the one successor.
    std::vector<OnceSession> seal();
    /// Names the successor, once it has confirmed the table. May be called once.
    void moveTo(Incarnation successor);
    void adopt(const std::vector<OnceSession> &sessions);

    Incarnation successor() const { return successor_; }
    bool isSealed() const { return sealed_; }
    size_t sessionCount() const { return sessions_.size(); }
    size_t recordCount() const;

    friend bool operator==(const OnceRegister &, const OnceRegister &) = default;

private:
    OnceSession *findSession(const OnceKey &key);
    void forgetOldest(OnceSession &session);

    Incarnation self_;
    Incarnation successor_;
    bool sealed_ = false;
    uint64_t nextSession_ = 1;
    std::map<std::pair<uint64_t, uint64_t>, OnceSession> sessions_; ///< By registrar and number.
};

} // namespace cranberry
