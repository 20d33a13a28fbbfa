#pragma once

namespace cranberry {

/// TCP_NODELAY, and probes that end a connection which went silent: something between the two ends can lose
/// track of it, and then neither end hears of that by itself.
void setSocketOptions(int socket);

/// True if an idle connection can be used: nothing has arrived on it, neither its end nor bytes that no one
/// asked for.
bool isQuiet(int socket);

} // namespace cranberry
