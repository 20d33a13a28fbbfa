#pragma once

namespace cranberry {

/// Measures what each mechanism of the core costs at several sizes, and prints slopes for docs/CAPACITY.md.
int runSlopes();

/// A number that depends on the core's decisions alone: it changes only when a commit means it to.
int runSignature();

} // namespace cranberry
