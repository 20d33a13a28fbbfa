#pragma once

namespace cranberry {

/// Measures the cost of each mechanism of the core at several sizes and prints the slopes for
/// docs/CAPACITY.md.
int runSlopes();

/// Prints a hash of the core's decisions. Only a commit that changes them on purpose may change it.
int runSignature();

} // namespace cranberry
