#include "Load/HttpRun.h"

#include "Load/Report.h"
#include "Net/HttpClient.h"
#include "Net/Timer.h"

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <random>

namespace rattancart {

namespace {

constexpr std::size_t IdleConnections = 512;
constexpr Duration ProgressInterval = std::chrono::seconds(1);

Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Seconds));
}

/// Replaces the first "{n}" by Value.
std::string insertNumber(std::string Text, std::uint64_t Value) {
  const std::size_t At = Text.find("{n}");
  if (At != std::string::npos)
    Text.replace(At, 3, std::to_string(Value));
  return Text;
}

template <typename Mix> std::discrete_distribution<std::size_t> makePicker(const Mix &Items) {
  std::vector<double> Parts;
  Parts.reserve(Items.size());
  for (const auto &Item : Items)
    Parts.push_back(Item.RelativeRate_);
  return {Parts.begin(), Parts.end()};
}

/// One run of an HTTP experiment on its own event loop. Not thread-safe.
class HttpRunner {
public:
  explicit HttpRunner(const Experiment &Setup)
      : Setup_(Setup), Http_(Setup.Http_), Random_(Setup.Seed_),
        PickKind_(makePicker(Setup.Http_.Mix_)), PickCustomer_(makePicker(Setup.Http_.Customers_)),
        Client_(Loop_, IdleConnections), SendTimer_(Loop_), ProgressTimer_(Loop_) {}

  HttpRunResult run() {
    Begin_ = Clock_.now();
    NextSendAt_ = Begin_;
    for (const RequestMix &Kind : Http_.Mix_)
      Result_.Kinds_[Kind.Name_];
    for (const TimedFault &Fault : Http_.Faults_) {
      FaultTimers_.push_back(std::make_unique<Timer>(Loop_));
      FaultTimers_.back()->after(Fault.At_, [this, &Fault] { setFault(Fault); });
    }
    ProgressTimer_.every(ProgressInterval, [this] { showProgress(); });
    sendDue();
    Loop_.run();
    fmt::print(stderr, "\n");
    Result_.Seconds_ = std::chrono::duration<double>(Setup_.Duration_ - Setup_.WarmUp_).count();
    return std::move(Result_);
  }

private:
  /// Sends all requests that are due by now, so that a late timer does not lower the rate.
  void sendDue() {
    const TimePoint Now = Clock_.now();
    if (Now - Begin_ >= Setup_.Duration_)
      return finish();
    while (NextSendAt_ <= Now) {
      sendRequest(NextSendAt_);
      const double Gap =
          Http_.ConstantRate_
              ? 1 / Http_.RequestsPerSecond_
              : std::exponential_distribution<double>(Http_.RequestsPerSecond_)(Random_);
      NextSendAt_ += toDuration(Gap);
    }
    SendTimer_.after(NextSendAt_ - Now, [this] { sendDue(); });
  }

  void sendRequest(TimePoint At) {
    const RequestMix &Kind = Http_.Mix_[PickKind_(Random_)];
    const CustomerMix &Customer = Http_.Customers_[PickCustomer_(Random_)];
    const NetAddress &Router = Http_.Routers_[Random_() % Http_.Routers_.size()];
    ++Count_;
    if (Client_.stats().InFlight_ >= Http_.MaxInFlight_) {
      ++Result_.Skipped_;
      return;
    }
    HttpRequest Request;
    Request.Method_ = Kind.Method_;
    Request.Target_ = insertNumber(Kind.Path_, Count_);
    Request.Body_ = insertNumber(Kind.Body_, Count_);
    Request.Headers_.set("x-customer", Customer.Customer_.str());
    if (!Kind.Body_.empty())
      Request.Headers_.set("content-type", "application/json");
    if (!Kind.Key_.empty())
      Request.Headers_.set("idempotency-key",
                           fmt::format("{}-{}", insertNumber(Kind.Key_, Count_), Setup_.Seed_));
    HttpSendOptions Options;
    Options.ResponseTimeout_ = Http_.Timeout_;
    const bool Measured = At - Begin_ >= Setup_.WarmUp_;
    if (Measured)
      ++Result_.Kinds_[Kind.Name_].Sent_;
    Client_.send(Router, std::move(Request), Options,
                 [this, &Kind, At, Measured](const HttpResult &Received) {
                   onResponse(Kind, At, Measured, Received);
                 });
  }

  void onResponse(const RequestMix &Kind, TimePoint At, bool Measured, const HttpResult &Received) {
    const TimePoint Now = Clock_.now();
    const std::uint32_t Status = Received.Error_ ? 0 : Received.Response_.Status_;
    const bool Done = Status / 100 == 2;
    if (Done) {
      const auto Second =
          static_cast<std::size_t>(std::chrono::duration<double>(Now - Begin_).count());
      if (Result_.DonePerSecond_.size() <= Second)
        Result_.DonePerSecond_.resize(Second + 1);
      ++Result_.DonePerSecond_[Second];
    }
    if (!Measured)
      return;
    HttpTally &Tally = Result_.Kinds_[Kind.Name_];
    if (!Done) {
      ++(Status == 429 || Status == 503 ? Tally.Refused_ : Tally.Failed_);
      return;
    }
    ++Tally.Done_;
    Tally.Latency_.add(Now - At);
  }

  void setFault(const TimedFault &Fault) {
    HttpRequest Request;
    Request.Method_ = "POST";
    Request.Target_ = "/faults";
    Request.Body_ = Fault.Body_;
    Client_.send(Fault.Address_, std::move(Request), {}, [&Fault](const HttpResult &Received) {
      if (Received.Error_ || Received.Response_.Status_ != 200)
        fmt::print(stderr, "\nsetting the fault at {} failed\n", Fault.Address_.str());
    });
  }

  void showProgress() const {
    const HttpClientStats Stats = Client_.stats();
    fmt::print(stderr, "\r{:.0f} s: {} sent, {} in flight, {} skipped   ",
               std::chrono::duration<double>(Clock_.now() - Begin_).count(), Count_,
               Stats.InFlight_, Result_.Skipped_);
  }

  /// Stops the event loop once no request is in flight.
  void finish() {
    if (Client_.stats().InFlight_ > 0) {
      SendTimer_.after(std::chrono::milliseconds(20), [this] { finish(); });
      return;
    }
    Loop_.stop();
  }

  const Experiment &Setup_;
  const HttpExperiment &Http_;
  std::mt19937_64 Random_;
  std::discrete_distribution<std::size_t> PickKind_;
  std::discrete_distribution<std::size_t> PickCustomer_;
  SystemClock Clock_;
  boost::asio::io_context Loop_;
  HttpClient Client_;
  Timer SendTimer_;
  Timer ProgressTimer_;
  std::vector<std::unique_ptr<Timer>> FaultTimers_;
  TimePoint Begin_{};
  TimePoint NextSendAt_{};
  std::uint64_t Count_ = 0;
  HttpRunResult Result_;
};

std::error_code plotRun(const Experiment &Setup, const HttpRunResult &Result,
                        const std::string &Prefix) {
  Plot Latency{Setup.Name_ + ": latency", "ms", "part of requests", PlotScale::Logarithmic, {}, {}};
  for (const auto &[Name, Tally] : Result.Kinds_)
    Latency.Series_.push_back(cumulativeDistribution(Name, Tally.Latency_));
  Plot Throughput{Setup.Name_ + ": throughput", "s", "requests/s", PlotScale::Linear, {}, {}};
  PlotSeries Done{"done", {}, {}};
  for (std::size_t I = 0; I < Result.DonePerSecond_.size(); ++I) {
    Done.X_.push_back(static_cast<double>(I));
    Done.Y_.push_back(Result.DonePerSecond_[I]);
  }
  Throughput.Series_.push_back(std::move(Done));
  for (const TimedFault &Fault : Setup.Http_.Faults_)
    Throughput.Marks_.push_back({std::chrono::duration<double>(Fault.At_).count(), "fault"});
  if (const auto Failure = writeFile(Prefix + "-latency.svg", formatPlot(Latency)))
    return Failure;
  return writeFile(Prefix + "-throughput.svg", formatPlot(Throughput));
}

} // namespace

HttpRunResult runHttp(const Experiment &Setup) { return HttpRunner(Setup).run(); }

std::error_code runHttpCommand(const Experiment &Setup, const std::string &Output) {
  const HttpRunResult Result = runHttp(Setup);
  const std::vector<std::string> Heading{"kind",   "sent",   "done",   "refused",
                                         "failed", "p50 ms", "p95 ms", "p99 ms"};
  std::vector<std::vector<std::string>> Rows;
  std::vector<Metric> Metrics;
  for (const auto &[Name, Tally] : Result.Kinds_) {
    std::vector<std::string> Row{Name, std::to_string(Tally.Sent_), std::to_string(Tally.Done_),
                                 std::to_string(Tally.Refused_), std::to_string(Tally.Failed_)};
    const std::string Base = Setup.Name_ + "." + Name;
    Metrics.push_back({Base + ".done", static_cast<double>(Tally.Done_) / Result.Seconds_, "1/s"});
    Metrics.push_back({Base + ".failed", static_cast<double>(Tally.Failed_), "requests"});
    for (const int Percent : {50, 95, 99}) {
      const double Value = Tally.Latency_.quantile(Percent / 100.0) * 1e3;
      Row.push_back(fmt::format("{:.3g}", Value));
      Metrics.push_back({fmt::format("{}.p{}", Base, Percent), Value, "ms"});
    }
    Rows.push_back(std::move(Row));
  }
  Metrics.push_back({Setup.Name_ + ".skipped", static_cast<double>(Result.Skipped_), "requests"});
  fmt::print("{}\n{}", formatTable(Heading, Rows), formatMetrics(Metrics));
  if (Output.empty())
    return {};
  if (const auto Failure = writeFile(Output + ".csv", formatCsv(Heading, Rows)))
    return Failure;
  return plotRun(Setup, Result, Output);
}

} // namespace rattancart
