#pragma once

#include "Core/Admission/AdmissionTypes.h"
#include "Core/Common/Ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace rattancart {

/// The state of a control process that it reports over its links. Not thread-safe.
class LocalState {
public:
  virtual ~LocalState() = default;
  virtual LogOffset settingsOffset() const = 0;
  /// The settings as the text of an image; empty if there are none yet.
  virtual std::string settingsImage() const = 0;
  virtual LogOffset claimTail() const = 0;
  virtual bool platformUp() const = 0;
  /// The number of routers that are linked to this process.
  virtual std::size_t linkedRouters() const = 0;
  /// The sum of the demand of the linked routers.
  virtual std::vector<CustomerDemand> ownDemand() const = 0;
};

} // namespace rattancart
