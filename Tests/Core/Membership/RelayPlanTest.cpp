#include "Core/Membership/RelayPlan.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <ostream>
#include <set>

using namespace rattancart;

namespace {

/// The numbers of receivers in each data centre, and the expected plan.
struct RelayCase {
  std::vector<std::size_t> Sizes_;
  std::size_t Groups_;
  std::size_t MostOthers_;
};

std::ostream &operator<<(std::ostream &Out, const RelayCase &Case) {
  return Out << Case.Groups_ << " groups";
}

const RelayCase RelayCases[] = {
    {{}, 0, 0}, {{0, 1}, 1, 0}, {{2}, 2, 0}, {{9}, 3, 2}, {{34, 28, 27}, 18, 5}, {{100}, 10, 9},
};

} // namespace

BOOST_DATA_TEST_CASE(EachReceiverIsReachedOnceThroughItsOwnDataCentre, RelayCases, Case) {
  std::map<DataCenterId, std::vector<std::string>> Receivers;
  std::size_t All = 0;
  for (std::size_t DataCenter = 0; DataCenter < Case.Sizes_.size(); ++DataCenter)
    for (std::size_t I = 0; I < Case.Sizes_[DataCenter]; ++I, ++All)
      Receivers[DataCenterId(fmt::format("{}", DataCenter))].push_back(
          fmt::format("{}-{}", DataCenter, I));
  std::mt19937 Random(7);
  const std::vector<RelayGroup> Groups = planRelays(Receivers, Random);
  BOOST_TEST(Groups.size() == Case.Groups_);
  std::set<std::string> Reached;
  for (const RelayGroup &Each : Groups) {
    BOOST_TEST(Each.Receivers_.size() <= Case.MostOthers_);
    BOOST_TEST(Reached.insert(Each.Relay_).second);
    for (const std::string &Other : Each.Receivers_) {
      BOOST_TEST(Reached.insert(Other).second);
      BOOST_TEST(Other.substr(0, 1) == Each.Relay_.substr(0, 1));
    }
  }
  BOOST_TEST(Reached.size() == All);
}

BOOST_AUTO_TEST_CASE(NoReceiverIsAlwaysAmongTheLast) {
  std::map<DataCenterId, std::vector<std::string>> Receivers;
  for (int I = 0; I < 89; ++I)
    Receivers[DataCenterId(fmt::format("{}", I % 3))].push_back(fmt::format("{}", I));
  std::mt19937 Random(7);
  // A link that is too slow for a burst of messages loses the end of it: here the second half.
  std::map<std::string, int> Lost;
  for (int Time = 0; Time < 40; ++Time) {
    const auto Groups = planRelays(Receivers, Random);
    for (std::size_t I = Groups.size() / 2; I < Groups.size(); ++I) {
      ++Lost[Groups[I].Relay_];
      for (const std::string &Other : Groups[I].Receivers_)
        ++Lost[Other];
    }
  }
  for (const auto &[Name, Times] : Lost)
    BOOST_TEST(Times < 35, Name);
}
