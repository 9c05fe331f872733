#pragma once

#include "Config/SettingsFault.h"
#include "Config/YamlSection.h"
#include "Core/Common/Ids.h"
#include "Core/Common/Logger.h"

namespace rattancart {

struct LogSettings {
  LogFormat Format_ = LogFormat::KeyValue;
  LogLevel Level_ = LogLevel::Info;
};

/// Settings that all long-running processes share.
struct ProcessSettings {
  InstanceId Instance_;
  DataCenterId DataCenter_;
  LogSettings Log_;
};

/// Reads the fields instance, data-center and log. Faults are added to the section's list.
ProcessSettings readProcessSettings(YamlSection &Root);

} // namespace rattancart
