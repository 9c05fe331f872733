#include "Control/ClaimOrderer.h"
#include "Tests/Control/FakeClaimLog.h"

#include <fmt/core.h>
#include <malloc.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <string>
#include <utility>
#include <vector>

using namespace rattancart;

namespace {

using Millis = std::chrono::duration<double, std::milli>;

constexpr Duration RunTime = std::chrono::seconds(3);
constexpr Duration ArrivalInterval = std::chrono::milliseconds(1);
constexpr Duration AppendDelay = std::chrono::milliseconds(3);
/// Size of a small response to a booking.
constexpr std::size_t BodyBytes = 60;
constexpr std::size_t KeyCount = 100'000;

std::string makeKey(std::uint64_t Number) {
  return fmt::format("lift-desk/customer-{}/order-{:012}", Number % 8300, Number);
}

double cpuSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

struct OfferedLoad {
  const char *Name_;
  int PerSecond_;
  /// Minimum time between two appends of an orderer: the orderers share the log's append rate.
  Duration AppendInterval_;
};

/// Claims arrive at a constant rate. Each claim that wins is closed at once, so each call appends
/// two items to the log.
class ClaimsRun {
public:
  explicit ClaimsRun(const OfferedLoad &Offered)
      : Offered_(Offered), Platform_(Loop_),
        Orderer_(Loop_, Time_, Log_, Platform_, "bench", options(Offered)), Arrivals_(Loop_) {
    Platform_.AppendDelay_ = AppendDelay;
  }

  void run() {
    Orderer_.start();
    while (!Orderer_.isAvailable())
      Loop_.run_one();
    const double CpuBefore = cpuSeconds();
    Begin_ = Time_.now();
    // The timer fires no more often than calls arrive, so that the wake-ups are the orderer's own.
    const Duration Each = std::chrono::seconds(1) / Offered_.PerSecond_;
    Arrivals_.every(std::max(Each, ArrivalInterval), [this] { sendDueClaims(); });
    Loop_.run_for(RunTime);
    Arrivals_.cancel();
    const double Cpu = cpuSeconds() - CpuBefore;
    report(Cpu);
  }

private:
  static SequencerOptions options(const OfferedLoad &Offered) {
    SequencerOptions Options;
    Options.MinInterval_ = Offered.AppendInterval_;
    Options.SnapshotEvery_ = 1'000'000;
    return Options;
  }

  void sendDueClaims() {
    const double Seconds = std::chrono::duration<double>(Time_.now() - Begin_).count();
    const auto Due = static_cast<std::uint64_t>(Seconds * Offered_.PerSecond_);
    for (; Sent_ < Due; ++Sent_)
      claim(Sent_);
  }

  void claim(std::uint64_t Number) {
    wire::ClaimRequestT Request;
    Request.id = Number;
    Request.call = fmt::format("r1-{}", Number);
    Request.key = makeKey(Number);
    Request.position = Orderer_.tail().value();
    const TimePoint SentAt = Time_.now();
    Orderer_.claim(Request, [this, SentAt, Number](const wire::ClaimAnswerT &Answer) {
      if (Answer.state != wire::ClaimState::Won)
        return;
      Latencies_.push_back(Millis(Time_.now() - SentAt).count());
      wire::ClaimCloseT Close;
      Close.call = Answer.call;
      Close.key = makeKey(Number);
      Close.status = 201;
      Close.body = std::string(BodyBytes, 'b');
      Orderer_.close(Close);
    });
  }

  void print(const char *Metric, double Value, const char *Unit) const {
    fmt::print("claims_{}_{} {:.3f} {}\n", Offered_.Name_, Metric, Value, Unit);
  }

  void report(double Cpu) {
    const double Seconds = std::chrono::duration<double>(RunTime).count();
    const SequencerStats &Stats = Orderer_.stats();
    const auto Won = static_cast<double>(std::max<std::size_t>(Latencies_.size(), 1));
    std::sort(Latencies_.begin(), Latencies_.end());
    const auto Quantile = [this](double Fraction) {
      if (Latencies_.empty())
        return 0.0;
      return Latencies_[static_cast<std::size_t>(Fraction *
                                                 static_cast<double>(Latencies_.size() - 1))];
    };
    print("offered", Offered_.PerSecond_, "1/s");
    print("ordered", Won / Seconds, "1/s");
    print("unavailable", static_cast<double>(Stats.Unavailable_), "claims");
    print("appends", static_cast<double>(Stats.Appends_) / Seconds, "1/s");
    print("items_per_append",
          static_cast<double>(Stats.ItemsAppended_) / static_cast<double>(Stats.Appends_), "items");
    print("latency_p50", Quantile(0.50), "ms");
    print("latency_p99", Quantile(0.99), "ms");
    print("log_bytes_per_call", static_cast<double>(Stats.BytesAppended_) / Won, "B");
    print("cpu_per_call", Cpu / Won * 1e6, "us");
  }

  OfferedLoad Offered_;
  boost::asio::io_context Loop_;
  SystemClock Time_;
  NullLogger Log_;
  FakeClaimLog Platform_;
  ClaimOrderer Orderer_;
  Timer Arrivals_;
  TimePoint Begin_{};
  std::uint64_t Sent_ = 0;
  std::vector<double> Latencies_;
};

std::size_t heapBytes() { return mallinfo2().uordblks; }

void measureMemory(const char *Name, bool Done) {
  const std::size_t Before = heapBytes();
  ClaimTable Table;
  for (std::uint64_t Number = 0; Number < KeyCount; ++Number) {
    ClaimItem Claim;
    Claim.Call_ = RequestId(fmt::format("karratha-1-1-{}", Number));
    Claim.Key_ = IdempotencyKey(makeKey(Number));
    Claim.Position_ = Table.tail();
    ClaimRecord Record;
    Record.Items_ = {Claim};
    if (Done) {
      ClaimItem Close = Claim;
      Close.Kind_ = ClaimItem::Kind::Done;
      Close.Status_ = 201;
      Close.Body_ = std::string(BodyBytes, 'b');
      Record.Items_.push_back(std::move(Close));
    }
    Table.apply(Table.tail(), Record);
  }
  const auto Used = static_cast<double>(heapBytes() - Before);
  fmt::print("claims_table_bytes_per_{}_key {:.0f} B\n", Name, Used / KeyCount);
  ClaimRecord Snapshot;
  Snapshot.Snapshot_ = ClaimSnapshotPart{"bench-1", 0, 1, Table.image()};
  const auto Written = static_cast<double>(encodeClaimRecord(Snapshot).size());
  fmt::print("claims_snapshot_bytes_per_{}_key {:.0f} B\n", Name, Written / KeyCount);
}

const OfferedLoad Loads[] = {
    {"100_of_9_orderers", 100, std::chrono::milliseconds(30)},
    {"1000_of_9_orderers", 1000, std::chrono::milliseconds(30)},
    {"1000_alone", 1000, std::chrono::microseconds(3333)},
    {"5000_alone", 5000, std::chrono::microseconds(3333)},
    {"23000_alone", 23'000, std::chrono::microseconds(3333)},
    {"60000_alone", 60'000, std::chrono::microseconds(3333)},
};

} // namespace

int main() {
  fmt::print("claims_log_append_delay {:.1f} ms\n", Millis(AppendDelay).count());
  for (const OfferedLoad &Each : Loads)
    ClaimsRun(Each).run();
  measureMemory("held", false);
  measureMemory("done", true);
  return EXIT_SUCCESS;
}
