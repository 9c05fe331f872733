#pragma once

#include "Core/Membership/ListJournal.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace rattancart {

/// The digest of a version of the configuration as the store holds it.
using ConfigDigest = StrongNumber<struct ConfigDigestTag>;

/// A version of the configuration as the store holds it.
struct ConfigText {
  std::shared_ptr<const std::string> Bytes_;
  ConfigDigest Digest_;
};

/// The newest versions of the configuration that this gateway has read. Other gateways get the
/// newest one from here, as the difference to one that both have. Not thread-safe.
class ConfigHistory {
public:
  /// How many versions are kept; 1 at first. Precondition: Versions is 1 or more.
  void keep(std::size_t Versions);
  /// A version was read; it is the newest one.
  void add(std::string Bytes);
  /// Nothing newer lies in the log before Position.
  void onReadTo(ListPosition Position) { End_ = Position; }
  /// The store returned from a copy: nothing is known to be the newest. The versions stay, since
  /// later ones may differ little from them.
  void onReturned() { End_.reset(); }

  /// The newest version; null if none was read.
  const ConfigText *newest() const { return Texts_.empty() ? nullptr : &Texts_.back(); }
  /// The position in the log up to which newest() is the newest version; nothing if not known.
  std::optional<ListPosition> end() const { return newest() ? End_ : std::nullopt; }
  /// The version with this digest; null if it is not kept.
  const ConfigText *find(ConfigDigest Digest) const;

  static ConfigDigest digest(std::string_view Bytes);

private:
  void trim();

  std::size_t Versions_ = 1;
  /// The newest one is last.
  std::deque<ConfigText> Texts_;
  std::optional<ListPosition> End_;
};

} // namespace rattancart
