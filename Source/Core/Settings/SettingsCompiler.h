#pragma once

#include "Core/Common/ErrorCode.h"
#include "Core/Settings/SettingsPath.h"
#include "Core/Settings/SettingsTree.h"
#include "Core/Settings/SettingsView.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace rattancart {

/// One fault of a settings tree.
struct InvalidSetting {
  SettingsPath Path_;
  ErrorCode Code_ = ErrorCode::InvalidValue;
  /// What is allowed there.
  std::string Expected_;
};

/// The typed form of one group of leaves, for example of one route.
using SettingsEntity =
    std::variant<std::shared_ptr<const Route>, CustomerLimit, std::shared_ptr<const ModelSpec>,
                 std::shared_ptr<const ServiceTraits>, std::shared_ptr<const OperatorGrant>, bool>;

/// Checks settings and turns them into a SettingsView. It keeps the typed form of each group of
/// leaves, so that a change costs what it touches and a copy of the view. Not thread-safe.
class SettingsCompiler {
public:
  /// Checks the groups that the Touched paths belong to, or that lie below them, and takes them
  /// over. If there are faults, nothing is taken over and all are returned.
  std::vector<InvalidSetting> update(const SettingsTree &Tree,
                                     std::span<const SettingsPath> Touched);
  /// The view of what was taken over.
  SettingsViewPtr view(LogOffset Offset) const;
  /// An operator's grant, or null.
  const OperatorGrant *findOperator(const OperatorId &Operator) const;

private:
  struct Update;
  void stage(const SettingsTree &Tree, const SettingsPath &Touched, Update &Staged) const;
  void checkOwners(Update &Staged) const;
  std::vector<std::string> teamNames() const;

  /// By the path of the group, without the root's slash.
  std::map<std::string, SettingsEntity, std::less<>> Entities_;
};

} // namespace rattancart
