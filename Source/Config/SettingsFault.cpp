#include "Config/SettingsFault.h"

#include <fmt/format.h>

namespace rattancart {

std::string formatFault(const SettingsFault &Fault) {
  return fmt::format("{}:{}: {}: error {}: {}; expected {}", Fault.File_, Fault.Line_,
                     Fault.Path_.empty() ? "(file)" : Fault.Path_, static_cast<int>(Fault.Code_),
                     errorInfo(Fault.Code_).Text_, Fault.Expected_);
}

} // namespace rattancart
