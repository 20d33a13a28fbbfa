#pragma once

namespace cranberry {

/// Sets TCP_NODELAY, keep-alive probes and TCP_USER_TIMEOUT. The probes close a dead connection: a device on
/// the path, such as a NAT or firewall, can drop its state without notifying either end.
void setSocketOptions(int socket);

/// Returns whether an idle connection can be reused: the peer has neither closed it nor sent unexpected
/// bytes.
bool isReusable(int socket);

} // namespace cranberry
