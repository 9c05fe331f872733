#pragma once

#include "Core/Serving/EndpointRoster.h"
#include "Core/Serving/ServingConfig.h"

#include <functional>
#include <optional>
#include <string>
#include <system_error>

namespace rattancart {

/// Takes what the platform's store says. Called on the event loop.
class StoreObserver {
public:
  virtual ~StoreObserver() = default;
  /// A configuration; may be older than one already seen.
  virtual void onConfig(ServingConfig Config) = 0;
  virtual void onListed(EndpointListing Listing) = 0;
  /// The list no longer has an entry. AfterOutage: the store was away shortly before, so the entry
  /// may only have lapsed.
  virtual void onUnlisted(const EndpointId &Id, bool AfterOutage) = 0;
  /// The whole list was read at least once.
  virtual void onListComplete() = 0;
  /// The store was lost or regained.
  virtual void onStoreReachable(bool Reachable) = 0;
};

/// This process's place in a group of which one member owns a duty.
struct Membership {
  /// Rises with each change of the group.
  FencingNumber Generation_{0};
  bool OwnsDuty_ = false;
};

/// The platform's store: operators' configuration, the list of endpoints, and groups that decide
/// which process owns a duty. Not thread-safe.
class MetadataStore {
public:
  using JoinDone = std::function<void(std::optional<Membership>, std::error_code)>;
  /// The member that owns the duty, an empty name if none does, or nothing if the store gave no
  /// answer.
  using OwnerDone = std::function<void(std::optional<std::string>)>;

  virtual ~MetadataStore() = default;
  /// Starts to follow configuration and list. Precondition: Observer outlives the store.
  virtual void follow(StoreObserver &Observer) = 0;
  /// Joins a group or stays in it for TimeToLive. Generation is the last one received, 0 at first.
  virtual void join(const std::string &Group, const std::string &Member, Duration TimeToLive,
                    FencingNumber Generation, JoinDone Done) = 0;
  /// Leaves a group, so that another member takes the duty at once.
  virtual void leave(const std::string &Group, const std::string &Member) = 0;
  virtual void findOwner(const std::string &Group, OwnerDone Done) = 0;
};

} // namespace rattancart
