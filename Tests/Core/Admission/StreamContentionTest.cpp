#include "Core/Admission/StreamAdmissionQueue.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
const ServiceId Service("model");
constexpr Duration Tick = 10ms;
constexpr Duration FirstEventTime = 150ms;
constexpr Duration HoldTime = 2500ms;
constexpr int Gateways = 20;
constexpr int Customers = 4;

struct ClassLoad {
  double PerSecond_;
  Duration Objective_;
};
/// Arrivals at one gateway.
constexpr std::array<ClassLoad, 3> Classes = {{{2.2, 500ms}, {1.2, 500ms}, {0.7, 1000ms}}};

struct Outcomes {
  int Callers_ = 0;
  int InTime_ = 0;
  int Served_ = 0;
  double inTime() const { return static_cast<double>(InTime_) / std::max(1, Callers_); }
  double served() const { return static_cast<double>(Served_) / std::max(1, Callers_); }
};

/// Gateways whose callers compete for the memory of the same engines. Part of it is lost at 10 s
/// and back at 18 s. A refused caller retries once after Retry-After.
class Contention {
public:
  void run(unsigned Seed) {
    Random_.seed(Seed);
    Queues_ = std::vector<StreamAdmissionQueue>(Gateways);
    Ends_ = {};
    Waiting_.clear();
    Returns_.clear();
    Used_ = 0;
    constexpr double Normal = 1.15;
    constexpr double Lost = 0.7;
    const double Demand = totalDemand();
    for (Now_ = Start; Now_ < Start + 24s; Now_ += Tick) {
      const bool IsLoss = Now_ >= Start + 10s && Now_ < Start + 18s;
      Capacity_ = Demand * (IsLoss ? Lost : Normal);
      Judged_ = Now_ >= Start + 10s && Now_ < Start + 18s;
      while (!Ends_.empty() && Ends_.top().first <= Now_) {
        Used_ -= Ends_.top().second;
        Ends_.pop();
      }
      for (int Gateway = 0; Gateway < Gateways; ++Gateway)
        arrive(Gateway);
      const auto Due = Returns_.equal_range(Now_);
      std::vector<Request> Back;
      for (auto It = Due.first; It != Due.second; ++It)
        Back.push_back(It->second);
      Returns_.erase(Due.first, Due.second);
      for (Request &Each : Back)
        submit(Each);
      // Gateways notice free memory in no particular order.
      std::shuffle(Waiting_.begin(), Waiting_.end(), Random_);
      for (std::size_t I = 0; I < Waiting_.size();)
        if (tick(Waiting_[I])) {
          Waiting_[I] = Waiting_.back();
          Waiting_.pop_back();
        } else {
          ++I;
        }
    }
  }

  std::array<Outcomes, 3> ByClass_;
  std::array<Outcomes, Customers> ByCustomer_;
  /// Small and large requests.
  std::array<Outcomes, 2> BySize_;
  Outcomes All_;
  int RefusedAtOnce_ = 0;
  int RefusedLater_ = 0;
  Duration LongestRetryAfter_{};
  Duration LeastRetryAfter_ = 1h;

private:
  struct Request {
    StreamAdmissionRequest Admission_;
    int Gateway_ = 0;
    int Class_ = 0;
    int Customer_ = 0;
    bool Judged_ = false;
    bool Retried_ = false;
  };
  using End = std::pair<TimePoint, double>;

  static double totalDemand() {
    double PerSecond = 0;
    for (const ClassLoad &Each : Classes)
      PerSecond += Each.PerSecond_;
    return PerSecond * Gateways * 800 * std::chrono::duration<double>(HoldTime).count();
  }
  double draw() { return std::uniform_real_distribution(0.0, 1.0)(Random_); }

  void arrive(int Gateway) {
    for (int Class = 0; Class < 3; ++Class) {
      const ClassLoad &Load = Classes[static_cast<std::size_t>(Class)];
      if (draw() >= Load.PerSecond_ * std::chrono::duration<double>(Tick).count())
        continue;
      Request Each;
      Each.Gateway_ = Gateway;
      Each.Class_ = Class;
      // One customer sends most of the requests.
      Each.Customer_ = std::max(0, static_cast<int>(draw() * 10) - 6);
      Each.Admission_.Tokens_ = 200 + 1200 * draw();
      Each.Judged_ = Judged_;
      if (Judged_)
        countOf(Each, [](Outcomes &Of) { ++Of.Callers_; });
      submit(Each);
    }
  }

  void countOf(const Request &Each, const std::function<void(Outcomes &)> &Count) {
    Count(All_);
    Count(ByClass_[static_cast<std::size_t>(Each.Class_)]);
    Count(ByCustomer_[static_cast<std::size_t>(Each.Customer_)]);
    Count(BySize_[Each.Admission_.Tokens_ < 800 ? 0 : 1]);
  }

  void submit(Request &Each) {
    StreamAdmissionRequest &Admission = Each.Admission_;
    const ClassLoad &Load = Classes[static_cast<std::size_t>(Each.Class_)];
    Admission.Ticket_ = AdmissionTicket(++LastTicket_);
    Admission.Service_ = Service;
    Admission.Customer_ = CustomerId(std::to_string(Each.Customer_));
    Admission.Priority_ = PriorityClass(static_cast<std::uint8_t>(Each.Class_));
    Admission.ArrivedAt_ = Now_;
    Admission.Objective_ = Load.Objective_;
    Admission.GivesUpAt_ = Now_ + std::max<Duration>(2s, 4 * Load.Objective_);
    Admission.OrderByClass_ = true;
    StreamAdmissionQueue &Queue = Queues_[static_cast<std::size_t>(Each.Gateway_)];
    if (!Queue.isContended(Service, Now_) && place(Each))
      return;
    if (!Queue.tryEnqueue(Admission, Now_)) {
      ++RefusedAtOnce_;
      return refuse(Each);
    }
    if (!tick(Each))
      Waiting_.push_back(Each);
  }

  /// Returns whether the request no longer waits.
  bool tick(Request &Each) {
    StreamAdmissionQueue &Queue = Queues_[static_cast<std::size_t>(Each.Gateway_)];
    const AdmissionTicket Ticket = Each.Admission_.Ticket_;
    if (Now_ >= Queue.waitEnd(Ticket)) {
      Queue.remove(Ticket);
      ++RefusedLater_;
      refuse(Each);
      return true;
    }
    if (!Queue.isNext(Ticket, Now_))
      return false;
    if (!place(Each)) {
      Queue.onNotPlaced(Ticket, Now_);
      return false;
    }
    Queue.take(Ticket);
    return true;
  }

  bool place(const Request &Each) {
    const StreamAdmissionRequest &Admission = Each.Admission_;
    if (Used_ + Admission.Tokens_ > Capacity_)
      return false;
    StreamAdmissionQueue &Queue = Queues_[static_cast<std::size_t>(Each.Gateway_)];
    Queue.onPlaced(Service, Admission.Priority_, Admission.Tokens_, Now_);
    Queue.onFirstEvent(Service, FirstEventTime);
    Used_ += Admission.Tokens_;
    Ends_.push({Now_ + std::chrono::duration_cast<Duration>(HoldTime * (0.5 + draw())),
                Admission.Tokens_});
    if (!Each.Judged_)
      return true;
    const bool InTime = Now_ + FirstEventTime <= Admission.ArrivedAt_ + Admission.Objective_;
    countOf(Each, [InTime](Outcomes &Of) {
      ++Of.Served_;
      Of.InTime_ += InTime ? 1 : 0;
    });
    return true;
  }

  void refuse(Request Each) {
    const Duration After = Queues_[static_cast<std::size_t>(Each.Gateway_)].retryAfter(
        Service, Each.Admission_.Tokens_, draw(), Now_);
    LongestRetryAfter_ = std::max(LongestRetryAfter_, After);
    LeastRetryAfter_ = std::min(LeastRetryAfter_, After);
    if (std::exchange(Each.Retried_, true))
      return;
    Returns_.emplace(Now_ + (After / Tick + 1) * Tick, Each);
  }

  std::mt19937 Random_;
  std::vector<StreamAdmissionQueue> Queues_;
  std::priority_queue<End, std::vector<End>, std::greater<>> Ends_;
  std::vector<Request> Waiting_;
  std::multimap<TimePoint, Request> Returns_;
  TimePoint Now_{};
  double Capacity_ = 0;
  double Used_ = 0;
  bool Judged_ = false;
  std::uint64_t LastTicket_ = 0;
};

void checkNotStarved(const Outcomes &Of, const Outcomes &All) {
  BOOST_TEST(Of.Callers_ > 20);
  BOOST_TEST(Of.served() >= 0.25 * All.served());
}

} // namespace

// Guards against a load that exceeds the memory, after a loss of engines, in which the most urgent
// class is served late, some requests are not served at all, or callers wait only to be refused.
BOOST_AUTO_TEST_CASE(UrgentRequestsAreInTimeAndNobodyStarvesAfterALoss) {
  Contention Run;
  for (unsigned Seed = 1; Seed <= 5; ++Seed)
    Run.run(Seed);
  for (const Outcomes &Of : Run.ByClass_)
    BOOST_TEST_MESSAGE("callers " << Of.Callers_ << ", served " << Of.served() << ", in time "
                                  << Of.inTime());
  for (const Outcomes &Of : Run.ByCustomer_)
    BOOST_TEST_MESSAGE("customer: callers " << Of.Callers_ << ", served " << Of.served());
  for (const Outcomes &Of : Run.BySize_)
    BOOST_TEST_MESSAGE("size: callers " << Of.Callers_ << ", served " << Of.served());
  BOOST_TEST_MESSAGE("refused at once " << Run.RefusedAtOnce_ << ", later " << Run.RefusedLater_
                                        << ", retry after " << Run.LeastRetryAfter_ / 1ms << " to "
                                        << Run.LongestRetryAfter_ / 1ms << " ms");
  for (std::size_t Class = 1; Class < 3; ++Class) {
    BOOST_TEST(Run.ByClass_[0].inTime() >= Run.ByClass_[Class].inTime());
    BOOST_TEST(Run.ByClass_[Class - 1].served() >= Run.ByClass_[Class].served() - 0.05);
    BOOST_TEST(Run.ByClass_[0].served() >= Run.ByClass_[Class].served() - 0.05);
  }
  for (const Outcomes &Of : Run.ByClass_)
    checkNotStarved(Of, Run.All_);
  for (const Outcomes &Of : Run.ByCustomer_)
    checkNotStarved(Of, Run.All_);
  for (const Outcomes &Of : Run.BySize_)
    checkNotStarved(Of, Run.All_);
  // The load is one that has to be refused in part. Most refusals come at once.
  BOOST_TEST(Run.RefusedAtOnce_ > 500);
  BOOST_TEST(Run.RefusedLater_ <= 0.1 * Run.RefusedAtOnce_);
  BOOST_TEST((Run.LeastRetryAfter_ >= 400ms && Run.LongestRetryAfter_ <= 3s));
  BOOST_TEST((Run.LongestRetryAfter_ >= 1500ms));
}
