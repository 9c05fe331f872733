#pragma once

#include "Core/Admission/AdmissionTypes.h"
#include "Core/Common/Ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace rattancart {

/// What a control process tells its links about its own state. Not thread-safe.
class LocalState {
public:
  virtual ~LocalState() = default;
  virtual LogOffset settingsOffset() const = 0;
  /// The settings state as text; empty if there is none yet.
  virtual std::string settingsImage() const = 0;
  virtual LogOffset claimTail() const = 0;
  virtual bool platformUp() const = 0;
  /// Routers that are linked to this process.
  virtual std::size_t ownRouters() const = 0;
  /// The sum of the own routers' demand.
  virtual std::vector<CustomerDemand> ownDemand() const = 0;
};

} // namespace rattancart
