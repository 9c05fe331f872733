#include "Process/MetricSet.h"

#include <boost/json/value_to.hpp>
#include <boost/test/unit_test.hpp>

using namespace rattancart;

BOOST_AUTO_TEST_CASE(QuantilesAreUpperBoundsOfTheLatencies) {
  MetricSet Metrics;
  for (int Millis = 1; Millis <= 100; ++Millis)
    Metrics.observe("latency", "brief", std::chrono::milliseconds(Millis));
  const auto State = Metrics.state();
  const auto &Item = State.at("latency.brief").as_object();
  BOOST_TEST(Item.at("count").to_number<int>() == 100);
  const double Median = Item.at("p50_s").as_double();
  BOOST_TEST(Median >= 0.050);
  BOOST_TEST(Median < 0.070);
  BOOST_TEST(Item.at("p99_s").as_double() >= 0.099);
}

BOOST_AUTO_TEST_CASE(TextFollowsThePrometheusFormat) {
  MetricSet Metrics;
  Metrics.count("requests_total", "done", 2);
  Metrics.observe("latency_seconds", "a\"b", std::chrono::seconds(1000));
  const std::string Text = Metrics.prometheusText("rattancart_");
  BOOST_TEST(Text.find("# TYPE rattancart_requests_total counter\n") != std::string::npos);
  BOOST_TEST(Text.find("rattancart_requests_total{kind=\"done\"} 2\n") != std::string::npos);
  BOOST_TEST(Text.find("le=\"+Inf\"} 1\n") != std::string::npos);
  BOOST_TEST(Text.find("kind=\"a\\\"b\"") != std::string::npos);
}
