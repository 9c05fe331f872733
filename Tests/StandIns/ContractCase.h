#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace rattancart {

/// Stands in Exchange::Status_ for a connection that closes unanswered.
inline constexpr int ClosedUnanswered = 0;
/// Stands in Exchange::Status_ for an answer that does not come within a tenth of a second.
inline constexpr int NoAnswer = -1;

/// One request to a stand-in and what is expected.
struct Exchange {
  std::string Method_;
  std::string Target_;
  /// $SELF stands for the stand-in's own address.
  std::string Body_;
  int Status_ = 200;
  /// A part of the answer's body.
  std::string Contains_;
  /// Must not stand in the answer's body; empty for none.
  std::string Lacks_;
};

/// One row of a contract table: a fresh stand-in and the exchanges with it, in order.
struct ContractCase {
  std::string Name_;
  std::vector<std::string> Arguments_;
  std::vector<Exchange> Exchanges_;
};
inline std::ostream &operator<<(std::ostream &Out, const ContractCase &Case) {
  return Out << Case.Name_;
}

/// Starts the stand-in and checks each exchange by Boost.Test.
void runContract(const std::string &Program, const ContractCase &Case);

inline Exchange faults(std::string Text) { return {"POST", "/faults", std::move(Text)}; }

} // namespace rattancart
