#include "Core/Common/Hash.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace rattancart;

BOOST_AUTO_TEST_CASE(RemovingANodeMovesOnlyItsKeys) {
  const std::vector<std::string> All{"a", "b", "c", "d", "e"};
  const std::vector<std::string> Fewer{"a", "b", "c", "d"};
  for (int Key = 0; Key < 1000; ++Key) {
    const std::string Text = std::to_string(Key);
    const std::size_t Before = rendezvousOrder(Text, All, 1).front();
    const std::size_t After = rendezvousOrder(Text, Fewer, 1).front();
    if (All[Before] != "e")
      BOOST_TEST(All[Before] == Fewer[After]);
  }
}

BOOST_AUTO_TEST_CASE(KeysSpreadEvenly) {
  const std::vector<std::string> Nodes{"a", "b", "c", "d"};
  std::vector<int> Counts(Nodes.size());
  for (int Key = 0; Key < 4000; ++Key)
    ++Counts[rendezvousOrder(std::to_string(Key), Nodes, 1).front()];
  for (const int Count : Counts)
    BOOST_TEST(Count > 800);
}
