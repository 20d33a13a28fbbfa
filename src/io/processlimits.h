#pragma once

#include <cstddef>
#include <cstdint>

namespace cranberry {

/// What a process may use of its instance.
struct ProcessLimits {
    uint64_t memoryBytes = 0;
    uint32_t descriptors = 0;
};

/// Connections that each kind of server may have open. What is left belongs to the process's own connections:
/// each request in progress, a caller's or a relayed one, needs one to an endpoint.
struct ConnectionLimits {
    size_t callers = 0;
    size_t entry = 0;
    size_t relay = 0;
    size_t other = 0; ///< Each further server.
};

/// Takes 0 as "not stated": the process's resource limits and the instance's memory apply then.
ProcessLimits findProcessLimits(uint32_t memoryMb, uint32_t descriptors);
/// Returns the bytes that may be kept for clients. The rest is for the process itself, for what the system
/// has received and nobody has read, and for what allocators waste.
size_t clientBytes(const ProcessLimits &limits);
/// Returns the part of the memory for replies of one kind of servers that are collected: an eighth.
size_t replyBytes(const ProcessLimits &limits);
ConnectionLimits connectionLimits(const ProcessLimits &limits);
/// Lets the allocator give large blocks back to the system as soon as they are freed.
void returnFreedMemory();

} // namespace cranberry
