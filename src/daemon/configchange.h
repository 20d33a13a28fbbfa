#pragma once

#include "common/fields.h"
#include "common/types.h"

namespace cranberry {

/// The value stored in the platform's key-value store under the configuration's key.
struct StoredConfiguration {
    Revision revision; ///< Modification revision in the store; 0 if the key was never written.
    std::string text;
    std::vector<std::string> changes; ///< Ids of the most recent changes, oldest first.
};

std::string encodeStored(const StoredConfiguration &stored);
Result<StoredConfiguration> decodeStored(const std::string &value, Revision revision);

/// State machine of one configuration change by an operator: read, compare-and-swap, read back, confirm. The
/// driver in io performs the I/O of step() and reports its result; this class makes all decisions.
class ConfigurationChange
{
public:
    enum class Step : uint8_t { Read, Write, Confirm, Done };
    enum class ChangeOutcome : uint8_t {
        Accepted, ///< Written, and in force at daemons in enough failure domains.
        Conflict, ///< Another change was written first; this one was not written.
        Unsettled, ///< Result unknown at the deadline; can be looked up later by the change's id.
        Unconfirmed ///< Written, but not confirmed by enough other failure domains before the deadline.
    };
    enum class WriteResult : uint8_t { Applied, NotApplied, ReplyLost };

    /// `base` is the revision that the operator edited. If unset, the change applies to the
    /// revision of the first read.
    ConfigurationChange(std::string id, std::string text, std::optional<Revision> base, TimeMs deadline);

    Step step() const { return step_; }
    ChangeOutcome finalOutcome() const { return finalOutcome_; }
    /// Accepted: the new revision. Conflict: the current revision in the store.
    Revision revision() const { return revision_; }
    /// The value to write; its revision is the expected revision of the compare-and-swap.
    const StoredConfiguration &toWrite() const { return next_; }

    void onRead(const StoredConfiguration &stored);
    void onReadFailed(TimeMs now);
    void onWritten(WriteResult writeResult, Revision revision, TimeMs now);
    void onConfirm(bool confirmed, TimeMs now);

private:
    void finish(ChangeOutcome outcome, Revision revision);

    std::string id_;
    std::string text_;
    std::optional<Revision> base_;
    TimeMs deadline_;
    Step step_ = Step::Read;
    ChangeOutcome finalOutcome_ = ChangeOutcome::Unsettled;
    Revision revision_;
    StoredConfiguration next_;
};

} // namespace cranberry
