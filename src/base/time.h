// Time as all packages count it.
#pragma once

#include <cstdint>

namespace orchidgw {

using TimeUs = std::int64_t;  // microseconds on the clock of whoever tells it

}  // namespace orchidgw
