#include "StandIns/BookingLedger.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <random>

using namespace rattancart;

BOOST_AUTO_TEST_CASE(InstancesOfOneServiceShareTheirBookings) {
  const auto File = std::filesystem::temp_directory_path() /
                    ("rattancart-ledger-" + std::to_string(std::random_device{}()));
  BookingLedger First(File.string());
  BookingLedger Second(File.string());
  BOOST_TEST(Second.count("lift-7") == 0U);
  First.add("lift-7");
  Second.add("lift-7");
  Second.add("lift\n7");
  BOOST_TEST(First.count("lift-7") == 2U);
  BOOST_TEST(Second.count("lift-7") == 2U);
  BOOST_TEST(First.count("lift\n7") == 1U);
  std::filesystem::remove(File);
}

BOOST_AUTO_TEST_CASE(LedgersWithoutAFileAreSeparate) {
  BookingLedger First;
  const BookingLedger Second;
  First.add("lift-7");
  BOOST_TEST(First.count("lift-7") == 1U);
  BOOST_TEST(Second.count("lift-7") == 0U);
}
