#include "Core/Admission/LimitShareAllocator.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <ostream>
#include <random>
#include <string>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const CustomerId Customer("big");

/// Data centres, each with one control process and its routers, that exchange demand once a second.
struct Deployment {
  Deployment(std::size_t Count, std::size_t Routers, std::size_t IncreaseAfter)
      : Routers_(Routers), Demand_(Count, std::vector<double>(Routers, 0)),
        Receives_(Count, std::vector<bool>(Count, true)) {
    std::vector<DataCenterId> Ids;
    for (std::size_t I = 0; I < Count; ++I)
      Ids.emplace_back("dc" + std::to_string(I));
    for (const DataCenterId &Id : Ids) {
      LimitShareAllocatorOptions Options{Id, Ids};
      Options.IncreaseAfter_ = IncreaseAfter;
      Controls_.emplace_back(Options);
    }
  }

  InstanceId router(std::size_t Index) const { return InstanceId("r" + std::to_string(Index)); }

  void step() {
    Time_.advance(1s);
    for (std::size_t I = 0; I < Controls_.size(); ++I) {
      for (std::size_t R = 0; R < Routers_; ++R) {
        std::vector<CustomerDemand> Rows;
        if (Demand_[I][R] > 0)
          Rows.push_back({Customer, Demand_[I][R], 0});
        Controls_[I].reportRouter(router(R), Rows, Time_.now());
      }
    }
    Sent_.emplace_front();
    for (LimitShareAllocator &Control : Controls_)
      Sent_.front().push_back(Control.ownDemand());
    Sent_.resize(std::min(Sent_.size(), ReportDelay_ + 1));
    for (std::size_t I = 0; I < Controls_.size() && Sent_.size() > ReportDelay_; ++I)
      for (std::size_t J = 0; J < Controls_.size(); ++J)
        if (I != J && Receives_[I][J])
          Controls_[I].reportControl(InstanceId("c" + std::to_string(J)),
                                     DataCenterId("dc" + std::to_string(J)), Sent_[ReportDelay_][J],
                                     Time_.now());
    for (LimitShareAllocator &Control : Controls_)
      Control.compute(Time_.now());
  }

  /// The sum of all routers' shares of the customer.
  double total() const {
    double Sum = 0;
    for (std::size_t I = 0; I < Controls_.size(); ++I)
      for (std::size_t R = 0; R < Routers_; ++R)
        Sum += share(I, R);
    return Sum;
  }

  double share(std::size_t Site, std::size_t Router) const {
    const auto Rows = Controls_[Site].sharesOf(router(Router));
    return Rows.empty() ? Controls_[Site].defaultShare() : Rows[0].Share_;
  }

  std::size_t Routers_;
  std::vector<LimitShareAllocator> Controls_;
  std::vector<std::vector<double>> Demand_;
  std::vector<std::vector<bool>> Receives_;
  /// The demand that each control sent, newest first. It arrives ReportDelay_ computations late.
  std::deque<std::vector<std::vector<CustomerDemand>>> Sent_;
  std::size_t ReportDelay_ = 1;
  ManualClock Time_;
};

struct SplitCase {
  const char *Name_;
  std::size_t Count_;
  /// The group of each data centre; reports don't pass between groups.
  std::vector<int> Groups_;
};

std::ostream &operator<<(std::ostream &Out, const SplitCase &Case) { return Out << Case.Name_; }

const SplitCase SplitCases[] = {
    {"joined", 3, {0, 0, 0}},
    {"one cut off", 3, {0, 0, 1}},
    {"all apart", 3, {0, 1, 2}},
    {"two regions", 7, {0, 0, 0, 1, 1, 1, 1}},
};

void split(Deployment &Deployed, const std::vector<int> &Groups) {
  for (std::size_t I = 0; I < Groups.size(); ++I)
    for (std::size_t J = 0; J < Groups.size(); ++J)
      Deployed.Receives_[I][J] = Groups[I] == Groups[J];
}

} // namespace

BOOST_DATA_TEST_CASE(SharesSumToOneAtRest, SplitCases, Case) {
  std::mt19937_64 Random(11);
  for (int Round = 0; Round < 50; ++Round) {
    Deployment Deployed(Case.Count_, 3, 2);
    split(Deployed, Case.Groups_);
    for (auto &Site : Deployed.Demand_)
      for (double &Demand : Site)
        Demand = 1 + static_cast<double>(Random() % 100);
    for (int I = 0; I < 8; ++I)
      Deployed.step();
    BOOST_TEST(std::abs(Deployed.total() - 1) < 1e-9);
  }
}

BOOST_AUTO_TEST_CASE(ShareFollowsDemandAndKeepsAReserveElsewhere) {
  Deployment Deployed(3, 3, 2);
  Deployed.Demand_[1][2] = 50;
  for (int I = 0; I < 6; ++I)
    Deployed.step();
  BOOST_TEST(Deployed.share(1, 2) > 0.9);
  BOOST_TEST(std::abs(Deployed.share(0, 0) - 0.1 / 9) < 1e-9);
  BOOST_TEST(std::abs(Deployed.total() - 1) < 1e-9);
  split(Deployed, {0, 1, 2});
  for (int I = 0; I < 6; ++I)
    Deployed.step();
  BOOST_TEST(std::abs(Deployed.share(1, 2) - (0.9 / 3 + 0.1 / 9)) < 1e-9);
}

struct MoveCase {
  const char *Name_;
  std::size_t IncreaseAfter_;
  /// Computations between two jumps of the demand.
  int JumpInterval_;
  /// Computations until a report arrives.
  std::size_t ReportDelay_;
  double Bound_;
  bool StaysBelow_;
};

std::ostream &operator<<(std::ostream &Out, const MoveCase &Case) { return Out << Case.Name_; }

const MoveCase MoveCases[] = {
    {"increases delayed", 2, 8, 1, 1.000001, true},
    {"increases delayed, demand jumps each second", 2, 1, 1, 1.000001, true},
    {"increases delayed, reports arrive as late", 2, 8, 2, 1.000001, true},
    {"reports arrive later than the increase", 2, 8, 3, 1.000001, false},
    {"reports arrive later than the increase: below the number of data centres", 2, 1, 3, 3, true},
    {"increases at once", 0, 8, 1, 1.000001, false},
};

BOOST_DATA_TEST_CASE(WorstSumWhileDemandJumps, MoveCases, Case) {
  std::mt19937_64 Random(5);
  double Worst = 0;
  for (int Round = 0; Round < 200; ++Round) {
    Deployment Deployed(3, 2, Case.IncreaseAfter_);
    Deployed.ReportDelay_ = Case.ReportDelay_;
    for (int Step = 0; Step < 40; ++Step) {
      if (Step % Case.JumpInterval_ == 0)
        for (auto &Site : Deployed.Demand_)
          for (double &Demand : Site)
            Demand = Random() % 2 == 0 ? 0 : static_cast<double>(Random() % 100);
      Deployed.step();
      Worst = std::max(Worst, Deployed.total());
    }
  }
  BOOST_TEST_MESSAGE("worst sum of shares " << Worst);
  BOOST_TEST((Worst <= Case.Bound_) == Case.StaysBelow_);
}

struct CutCase {
  const char *Name_;
  bool OneSided_;
  double Bound_;
};

std::ostream &operator<<(std::ostream &Out, const CutCase &Case) { return Out << Case.Name_; }

const CutCase CutCases[] = {
    {"groups split and heal", false, 1.000001},
    {"some reports arrive in one direction only", true, 1.67},
};

BOOST_DATA_TEST_CASE(WorstSumWhileCutOff, CutCases, Case) {
  std::mt19937_64 Random(9);
  double Worst = 0;
  for (int Round = 0; Round < 400; ++Round) {
    Deployment Deployed(3, 2, 2);
    for (auto &Site : Deployed.Demand_)
      for (double &Demand : Site)
        Demand = Random() % 2 == 0 ? 0 : static_cast<double>(Random() % 100);
    for (int Step = 0; Step < 40; ++Step) {
      if (Step % 10 == 5 && !Case.OneSided_)
        split(Deployed, {0, static_cast<int>(Random() % 2), static_cast<int>(Random() % 3)});
      if (Step % 10 == 5 && Case.OneSided_)
        for (auto &Row : Deployed.Receives_)
          for (std::size_t J = 0; J < Row.size(); ++J)
            Row[J] = Random() % 2 == 0;
      Deployed.step();
      Worst = std::max(Worst, Deployed.total());
    }
  }
  BOOST_TEST_MESSAGE("worst sum of shares " << Worst);
  BOOST_TEST(Worst <= Case.Bound_);
}
