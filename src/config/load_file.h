// Reads a whole configuration file from the disk.
#pragma once

#include <cstddef>
#include <string>

namespace orchidgw::config {

// Returns a consistent copy of the file at `path`. A file that is replaced or written to while it is read is
// read again, a few times. Throws std::runtime_error with the path and the reason if the file keeps changing,
// can't be read or is not a regular file; throws SystemCallError if the cause may pass, for example a lack of
// descriptors. Reading stops soon after `max_bytes`, so that the caller sees that the file is too large.
std::string load_file(const std::string& path, std::size_t max_bytes);

// Likewise for a start, which may also be given a named pipe and waits for its writer then.
std::string load_file_or_pipe(const std::string& path, std::size_t max_bytes);

}  // namespace orchidgw::config
