#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace rattancart {

/// In Exchange::Status_: the connection closes without an answer.
inline constexpr int ClosedUnanswered = 0;
/// In Exchange::Status_: no answer comes within a tenth of a second.
inline constexpr int NoAnswer = -1;

/// One request to a stand-in and the expected answer.
struct Exchange {
  std::string Method_;
  std::string Target_;
  /// $SELF is replaced by the address of the stand-in.
  std::string Body_;
  int Status_ = 200;
  /// A text that the body of the answer must contain.
  std::string Contains_;
  /// A text that the body of the answer must not contain; empty for none.
  std::string Lacks_;
};

/// A case of a protocol test: the arguments of a new stand-in and the exchanges with it, in order.
struct ContractCase {
  std::string Name_;
  std::vector<std::string> Arguments_;
  std::vector<Exchange> Exchanges_;
};
inline std::ostream &operator<<(std::ostream &Out, const ContractCase &Case) {
  return Out << Case.Name_;
}

/// Starts the stand-in program and checks each exchange.
void runContract(const std::string &Program, const ContractCase &Case);

/// The exchange that sets faults.
inline Exchange faults(std::string Text) { return {"POST", "/faults", std::move(Text)}; }

} // namespace rattancart
