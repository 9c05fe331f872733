#pragma once

#include "Core/Common/Ids.h"
#include "Core/Membership/ConfigHistory.h"
#include "Core/Membership/ListRelay.h"
#include "Core/Serving/EndpointRoster.h"
#include "Core/Serving/ServingConfig.h"
#include "Gateway/TurnStore.h"

#include <functional>
#include <optional>
#include <string>
#include <system_error>

namespace rattancart {

/// The store returned from a copy of itself.
struct StoreReturn {
  StoreEra Before_;
  StoreEra After_;
};

/// Receives the contents of the platform's store. Called on the event loop.
class StoreObserver {
public:
  virtual ~StoreObserver() = default;
  /// A configuration was read; it may be older than an earlier one.
  virtual void onConfig(ServingConfig Config) = 0;
  virtual void onListed(EndpointListing Listing) = 0;
  /// An entry was removed from the list. MayReappearUntil is set if the store was out of reach
  /// shortly before, so that the entry may have expired although the endpoint still runs.
  virtual void onUnlisted(const EndpointId &Id, std::optional<TimePoint> MayReappearUntil) = 0;
  /// The store lost what it had acknowledged last. Everything in it is listed anew after this, and
  /// may be older than what was passed on before. It is unchanged for the operators' and the
  /// endpoints' records that they have not yet written again.
  virtual void onStoreReturned(const StoreReturn &Return) = 0;
  /// The whole list was read at least once.
  virtual void onListComplete() = 0;
  /// The store was lost or regained.
  virtual void onStoreReachable(bool Reachable) = 0;
};

/// This process's membership in a group of which one member owns a duty.
struct Membership {
  /// Rises with each change of the group.
  FencingNumber Generation_{0};
  bool OwnsDuty_ = false;
};

/// Client of the platform's store, which holds the operators' configuration, the list of endpoints,
/// groups that decide which process owns a duty, and turns. Not thread-safe.
class MetadataStore : public TurnStore {
public:
  using JoinDone = std::function<void(std::optional<Membership>, std::error_code)>;
  /// Receives the member that owns the duty, an empty name if none does, or nothing if the store
  /// did not answer.
  using OwnerDone = std::function<void(std::optional<std::string>)>;

  /// Lets Relay decide when the store is read, and reports to it what was read. Adds the versions
  /// of the configuration to History. Precondition: called before follow(), and both outlive the
  /// store.
  virtual void shareReads(ListRelay &Relay, ConfigHistory &History) = 0;
  /// Takes over the newest version of the configuration that another gateway has read up to End in
  /// the log. Returns whether that is later than what was read here. Precondition: shareReads() was
  /// called.
  virtual bool applyConfig(std::string Text, ListPosition End) = 0;
  /// Applies a span of the list that another gateway read; that read began at ReadAt or later.
  /// Precondition: shareReads() was called.
  virtual SpanOutcome applySpan(const ListSpan &Span, TimePoint ReadAt) = 0;
  /// Does what the relay decides now about the next read of the list and about reads that wait in
  /// the store. Precondition: shareReads() was called.
  virtual void reconsiderReads() = 0;
  /// Starts to follow the configuration and the list. Precondition: Observer outlives the store.
  virtual void follow(StoreObserver &Observer) = 0;
  /// Joins a group, or renews the membership, for TimeToLive. Generation is the last one received,
  /// 0 at first.
  virtual void join(const std::string &Group, const std::string &Member, Duration TimeToLive,
                    FencingNumber Generation, JoinDone Done) = 0;
  /// Leaves a group, so that another member takes over the duty at once.
  virtual void leave(const std::string &Group, const std::string &Member) = 0;
  virtual void findOwner(const std::string &Group, OwnerDone Done) = 0;
};

} // namespace rattancart
