#pragma once

#include "common/clock.h"

#include <cstdint>

namespace cranberry {

/// How old the list of endpoints is, in steps of the time after which an endpoint that leaves must get no
/// more requests (the bound).
///
/// A list passes several hops from an endpoint's word to the daemon that sends: the store, a reader's
/// interval and its read, a query, perhaps a change of the reader. Each has a time-out of its own, and their
/// sum is longer than the bound. So each daemon compares the age of its list with the bound itself, and what
/// it does about it depends on the time that is left, whichever hop took it.
enum class ListAge : uint8_t {
    Usual,
    Late, ///< Half of the bound: where the own reader is silent, others are queried.
    Overdue, ///< Three fifths: where all readers are silent, a daemon that serves reads the store.
    Expired ///< An endpoint may have said that it leaves more than the bound ago.
};

/// Kept of the bound for the way to the endpoint.
constexpr DurationMs ListSendMargin{250};

ListAge listAgeOf(DurationMs age, DurationMs bound);
const char *toText(ListAge age);

} // namespace cranberry
