#pragma once

#include "common/types.h"

#include <string>
#include <vector>

namespace cranberry {

/// Text of the control key that names the store readers.
std::string readersText(const std::vector<Address> &readers);
/// What can't be read names no reader.
std::vector<Address> readersFromText(const std::string &text);

} // namespace cranberry
