#pragma once

#include "Core/Common/Ids.h"
#include "StandIns/BookingLedger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace rattancart {

/// A call as a plain service receives it.
struct ServiceCall {
  std::string Method_;
  std::string Path_;
  std::string Body_;
  IdempotencyKey Key_;
  RequestId Call_;
  std::optional<FencingNumber> Fence_;
};

struct ServiceAnswer {
  std::uint32_t Status_ = 200;
  std::string Body_;
  /// Whether the call was executed; false for refused calls and for repeats that get the stored
  /// result of the first call.
  bool Executed_ = false;
};

struct ServiceConfig {
  bool Deduplicates_ = false;
  bool ChecksFencing_ = false;
  /// The file of bookings that the instances share; empty to keep them in memory.
  std::string LedgerFile_;
};

/// Executes calls for bookings, reminders and orders. Every call received is executed, except the
/// repeats and refusals that ServiceConfig asks for. Not thread-safe.
class ServiceModel {
public:
  explicit ServiceModel(ServiceConfig Config)
      : Config_(std::move(Config)), Bookings_(Config_.LedgerFile_) {}

  ServiceAnswer call(const ServiceCall &Call);

private:
  ServiceAnswer execute(const ServiceCall &Call);
  ServiceAnswer create(std::string_view Prefix, const std::string &Body);
  ServiceAnswer lookUp(const std::string &Lift) const;

  ServiceConfig Config_;
  std::uint64_t NextId_ = 1;
  BookingLedger Bookings_;
  std::map<IdempotencyKey, ServiceAnswer> Results_;
  std::map<IdempotencyKey, FencingNumber> Fences_;
};

} // namespace rattancart
