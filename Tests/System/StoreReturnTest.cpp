#include "Tests/System/GatewayDeployment.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <thread>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

/// Within this time of its acknowledgement, a configuration is in force.
constexpr Duration Bound = 2s;

/// A store that returns from a copy, and the configurations that it loses and gets afterwards.
struct ReturnCase {
  const char *Name_;
  std::size_t Gateways_;
  int StoreReaders_;
  /// Versions that were written since the copy.
  int Lost_;
  /// How many of them the operator writes again, the newest last.
  std::size_t Rewritten_;
  /// Versions that the operator writes after these.
  int Added_;
  ReadsAtReturn Reads_;
};

std::ostream &operator<<(std::ostream &Out, const ReturnCase &Case) { return Out << Case.Name_; }

const ReturnCase ReturnCases[] = {
    {"the log ends at the old end", 2, 0, 2, 1, 1, ReadsAtReturn::Kept},
    {"the log ends at the old end, receivers", 5, 2, 2, 1, 1, ReadsAtReturn::Kept},
    {"the log ends at the old end, closed reads", 2, 0, 2, 1, 1, ReadsAtReturn::Closed},
    {"the log ends at the old end, closed reads of receivers", 5, 2, 2, 1, 1,
     ReadsAtReturn::Closed},
    {"nothing is written again", 2, 0, 1, 0, 1, ReadsAtReturn::Kept},
    {"the log ends before the old end", 2, 0, 3, 1, 1, ReadsAtReturn::Kept},
    {"the log ends behind the old end", 2, 0, 2, 2, 2, ReadsAtReturn::Kept},
    {"nothing was lost", 2, 0, 0, 0, 1, ReadsAtReturn::Kept},
};

} // namespace

// Guards against gateways that don't serve a route of the newest configuration, because they read
// on at an offset of the log that the store has given out again.
BOOST_DATA_TEST_CASE(ARouteAddedAfterAStoreReturnIsServed, ReturnCases, Case) {
  GatewayDeployment Deployment(std::vector<std::string>(Case.Gateways_, "east"),
                               {.Engines_ = {{"east", {}}}, .StoreReaders_ = Case.StoreReaders_});
  // Gateways that subscribe to readers know them some seconds after their start.
  std::this_thread::sleep_for(Case.StoreReaders_ > 0 ? 3s : 500ms);
  Site &Users = Deployment.site();
  Users.copyStore();
  for (int I = 0; I < Case.Lost_; ++I)
    Users.addRoute();
  std::this_thread::sleep_for(1s);
  Users.returnStoreFromCopy(Case.Reads_);
  Users.rewriteConfigs(Case.Rewritten_);
  std::uint64_t Newest = 0;
  for (int I = 0; I < Case.Added_; ++I)
    Newest = Users.addRoute();
  std::this_thread::sleep_for(Bound);
  for (std::size_t I = 0; I < Case.Gateways_; ++I)
    for (int Call = 0; Call < 5; ++Call) {
      const HttpResult Result = Deployment.call(I, "n" + std::to_string(5 * I + Call), "GET",
                                                site::addedRoutePath(Newest).c_str());
      BOOST_TEST(Result.Response_.Status_ == 200U);
    }
}
