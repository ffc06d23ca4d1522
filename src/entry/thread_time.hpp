#pragma once

namespace lacewingquay::entry
{

/// Processor time that the calling thread has used, in seconds.
[[nodiscard]] double thread_cpu_seconds();

/// Resident memory of the process in bytes, 0 if it cannot be read.
[[nodiscard]] double resident_bytes();

} // namespace lacewingquay::entry
