// What is known of a query that must not run twice, before it is taken on.
#pragma once

namespace orchidgw::core {

enum class KeyVerdict {
  kNew,
  kMayHaveRun,  // sent by a process before this one, and its window is not over
  kNoRoom       // no intent can be kept: it must not be sent
};

}  // namespace orchidgw::core
