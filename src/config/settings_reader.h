// Reads the settings object, which the simulator's first message and the controller's configuration share.
#pragma once

#include <rapidjson/document.h>

#include "decision/decision.h"

namespace orchidgw::config {

// Throws FieldError if a value is invalid.
Settings read_settings(const rapidjson::Value& env);

}  // namespace orchidgw::config
