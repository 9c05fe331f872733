#pragma once

#include "Core/Common/ErrorCode.h"
#include "LogClient/HttpLogClient.h"
#include "Net/Timer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace rattancart {

/// A fault of an append.
enum class AppendFault {
  None,
  /// The append takes effect, but its answer is lost.
  AnswerLost,
  /// The append has no effect, and its answer is lost.
  NeverTaken,
  /// The record is appended twice.
  Twice,
  /// The connection is refused; the append has no effect.
  Refused,
};

/// A log with one stream in memory and injected faults. Not thread-safe.
class FakeClaimLog final : public LogService {
public:
  explicit FakeClaimLog(boost::asio::io_context &Loop) : Loop_(Loop), WaitTimer_(Loop) {}

  void append(const std::string &, std::string Body,
              std::function<void(Result<LogOffset>)> Done) override {
    ++Appends_;
    Bytes_ += Body.size();
    auto Act = [this, Body = std::move(Body), Done = std::move(Done)] {
      const AppendFault Fault = Down_ ? AppendFault::Refused : takeFault();
      if (Fault == AppendFault::Refused)
        return Done(Error{ErrorCode::PlatformUnreachable, "refused"});
      if (Fault == AppendFault::NeverTaken)
        return Done(Error{ErrorCode::AppendUnknown, "lost"});
      Records_.push_back(Body);
      const LogOffset Offset = next(-1);
      if (Fault == AppendFault::Twice)
        Records_.push_back(Body);
      if (Fault == AppendFault::AnswerLost)
        Done(Error{ErrorCode::AppendUnknown, "lost"});
      else
        Done(Offset);
      answerWaiting();
    };
    if (AppendDelay_ == Duration{}) {
      boost::asio::post(Loop_, std::move(Act));
      return;
    }
    auto Delay = std::make_shared<Timer>(Loop_);
    Delay->after(AppendDelay_, [Delay, Act = std::move(Act)]() mutable {
      Act();
      Delay.reset();
    });
  }

  void read(const std::string &, LogOffset From, std::size_t Max, Duration Wait,
            std::function<void(Result<LogPage>)> Done) override {
    boost::asio::post(Loop_, [this, From, Max, Wait, Done = std::move(Done)] {
      if (Down_ || From < First_ || From < next(0) || Wait == Duration{}) {
        answerRead(From, Max, Done);
        return;
      }
      if (Waiting_.empty())
        WaitTimer_.after(Wait, [this] { answerWaiting(); });
      Waiting_.push_back([this, From, Max, Done] { answerRead(From, Max, Done); });
    });
  }

  void setDown(bool Down) {
    Down_ = Down;
    answerWaiting();
  }
  /// Drops the records before First.
  void trim(LogOffset First) { First_ = First; }
  LogOffset next(int Shift) const {
    return LogOffset(static_cast<std::int64_t>(Records_.size()) + Shift);
  }

  std::vector<std::string> Records_;
  std::deque<AppendFault> Faults_;
  Duration AppendDelay_{};
  std::uint64_t Appends_ = 0;
  std::uint64_t Bytes_ = 0;

private:
  AppendFault takeFault() {
    if (Faults_.empty())
      return AppendFault::None;
    const AppendFault Fault = Faults_.front();
    Faults_.pop_front();
    return Fault;
  }
  void answerWaiting() {
    for (const auto &Answer : std::exchange(Waiting_, {}))
      boost::asio::post(Loop_, Answer);
  }
  void answerRead(LogOffset From, std::size_t Max,
                  const std::function<void(Result<LogPage>)> &Done) {
    if (Down_)
      return Done(Error{ErrorCode::PlatformUnreachable, "down"});
    if (From < First_)
      return Done(Error{ErrorCode::OffsetTrimmed, "trimmed"});
    LogPage Page{First_, next(0), {}};
    for (LogOffset At = From; At < next(0) && Page.Records_.size() < Max; At = At.next())
      Page.Records_.push_back({At, Records_[static_cast<std::size_t>(At.value())]});
    Done(std::move(Page));
  }

  boost::asio::io_context &Loop_;
  LogOffset First_{0};
  Timer WaitTimer_;
  bool Down_ = false;
  std::vector<std::function<void()>> Waiting_;
};

} // namespace rattancart
