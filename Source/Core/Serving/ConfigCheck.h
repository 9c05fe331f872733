#pragma once

#include "Core/Serving/ServingConfig.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rattancart {

enum class FindingSeverity : std::uint8_t {
  /// Probably not what the operators mean.
  Warning,
  /// Rejected by the gateways, or ambiguous.
  Error,
};

/// The kinds of findings about a configuration.
enum class FindingCode : std::uint8_t {
#define RATTANCART_FINDING(Name, Code, Severity, Text) Name,
#include "Core/Serving/ConfigFindings.def"
#undef RATTANCART_FINDING
};

/// One row of the table of findings.
struct FindingInfo {
  FindingCode Code_;
  std::string_view Name_;
  FindingSeverity Severity_;
  std::string_view Text_;
};

/// All kinds of findings, in the order of FindingCode. Thread-safe.
std::span<const FindingInfo> findingTable();
/// The row of Code. Thread-safe.
const FindingInfo &findingInfo(FindingCode Code);
/// "error" or "warning". Thread-safe.
std::string_view severityName(FindingSeverity Severity);

/// Something in a configuration that is wrong or suspicious.
struct ConfigFinding {
  FindingCode Code_;
  /// What the finding is about, such as "route r1".
  std::string Subject_;
  /// The values concerned; may be empty. Contains no key.
  std::string Detail_;

  FindingSeverity severity() const { return findingInfo(Code_).Severity_; }
  /// The text of the code, followed by the detail.
  std::string text() const;
};

/// The findings about a configuration: those about routes, services, customers and limits, each
/// with repeated names first and then in the order of the configuration. Thread-safe.
std::vector<ConfigFinding> checkConfig(const ServingConfig &Config);

/// The findings about Next as the successor of InForce. Thread-safe.
std::vector<ConfigFinding> checkSuccession(const ServingConfig &InForce, const ServingConfig &Next);

/// Moves errors before warnings and keeps the order otherwise. Thread-safe.
void sortBySeverity(std::vector<ConfigFinding> &Findings);

/// Identifies a key in reports that must not contain it: eight hexadecimal digits of its SHA-1.
/// Thread-safe.
std::string keyFingerprint(std::string_view Key);

} // namespace rattancart
