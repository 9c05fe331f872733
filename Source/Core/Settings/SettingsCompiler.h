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

/// An invalid value or an unknown field in a settings tree.
struct InvalidSetting {
  SettingsPath Path_;
  ErrorCode Code_ = ErrorCode::InvalidValue;
  /// What is allowed at the path.
  std::string Expected_;
};

/// The typed form of one group of leaves, for example of one route.
using SettingsEntity =
    std::variant<std::shared_ptr<const Route>, CustomerLimit, std::shared_ptr<const ModelSpec>,
                 std::shared_ptr<const ServiceTraits>, std::shared_ptr<const OperatorGrant>, bool>;

/// Validates settings and compiles them into a SettingsView. It keeps the typed form of each group
/// of leaves, so that a change costs no more than compiling the changed groups and building the
/// view. Not thread-safe.
class SettingsCompiler {
public:
  /// Validates the groups that contain the Changed paths or lie below them, and stores their typed
  /// form. If any setting is invalid, nothing is stored and all invalid settings are returned.
  std::vector<InvalidSetting> update(const SettingsTree &Tree,
                                     std::span<const SettingsPath> Changed);
  /// The view of all settings that were stored.
  SettingsViewPtr view(LogOffset Offset) const;
  /// An operator's grant, or null.
  const OperatorGrant *findOperator(const OperatorId &Operator) const;

private:
  struct Update;
  /// Adds the typed form of the changed groups, and their errors, to Staged.
  void compileGroups(const SettingsTree &Tree, const SettingsPath &Changed, Update &Staged) const;
  /// Adds an error to Staged for each name that two teams use though it must be unique.
  void checkNameConflicts(Update &Staged) const;
  std::vector<std::string> teamNames() const;

  /// The typed form of each group, by the key() of its path.
  std::map<std::string, SettingsEntity, std::less<>> Entities_;
};

} // namespace rattancart
