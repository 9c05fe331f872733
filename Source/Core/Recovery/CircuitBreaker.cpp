#include "Core/Recovery/CircuitBreaker.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>

namespace rattancart {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct PassRequested {
  TimePoint Now_;
};
struct Succeeded {
  TimePoint Now_;
};
struct Failed {
  TimePoint Now_;
};

template <CircuitPhase Value> struct PhaseState : msm::front::state<> {
  template <typename Event, typename Machine> void on_entry(const Event &, Machine &Fsm) {
    Fsm.Phase_ = Value;
  }
};

struct CountFailure {
  template <typename Machine, typename Source, typename Target>
  void operator()(const Failed &, Machine &Fsm, Source &, Target &) const {
    ++Fsm.Failures_;
  }
};
struct FailureThresholdReached {
  template <typename Machine, typename Source, typename Target>
  bool operator()(const Failed &, Machine &Fsm, Source &, Target &) const {
    return Fsm.Failures_ + 1 >= Fsm.Options_.Failures_;
  }
};
struct ResetFailures {
  template <typename Machine, typename Source, typename Target>
  void operator()(const Succeeded &, Machine &Fsm, Source &, Target &) const {
    Fsm.Failures_ = 0;
  }
};
struct Trip {
  template <typename Machine, typename Source, typename Target>
  void operator()(const Failed &Event, Machine &Fsm, Source &, Target &) const {
    Fsm.Wait_ = Fsm.Wait_ == Duration{0} ? Fsm.Options_.FirstWait_
                                         : std::min(Fsm.Wait_ * 2, Fsm.Options_.LongestWait_);
    Fsm.OpenUntil_ = Event.Now_ + Fsm.Wait_;
    Fsm.Trials_ = 0;
  }
};
struct WaitElapsed {
  template <typename Machine, typename Source, typename Target>
  bool operator()(const PassRequested &Event, Machine &Fsm, Source &, Target &) const {
    return Event.Now_ >= Fsm.OpenUntil_;
  }
};
struct StartTrial {
  template <typename Machine, typename Source, typename Target>
  void operator()(const PassRequested &Event, Machine &Fsm, Source &, Target &) const {
    Fsm.TrialUntil_ = Event.Now_ + Fsm.Options_.TrialTimeout_;
    Fsm.Passed_ = true;
  }
};
struct NoTrialRuns {
  template <typename Machine, typename Source, typename Target>
  bool operator()(const PassRequested &Event, Machine &Fsm, Source &, Target &) const {
    return Event.Now_ >= Fsm.TrialUntil_;
  }
};
struct EndTrial {
  template <typename Machine, typename Source, typename Target>
  void operator()(const Succeeded &, Machine &Fsm, Source &, Target &) const {
    ++Fsm.Trials_;
    Fsm.TrialUntil_ = TimePoint{};
  }
};
struct TrialThresholdReached {
  template <typename Machine, typename Source, typename Target>
  bool operator()(const Succeeded &, Machine &Fsm, Source &, Target &) const {
    return Fsm.Trials_ + 1 >= Fsm.Options_.Trials_;
  }
};
struct Recover {
  template <typename Machine, typename Source, typename Target>
  void operator()(const Succeeded &, Machine &Fsm, Source &, Target &) const {
    Fsm.Failures_ = Fsm.Trials_ = 0;
    Fsm.Wait_ = Duration{0};
  }
};
struct Pass {
  template <typename Machine, typename Source, typename Target>
  void operator()(const PassRequested &, Machine &Fsm, Source &, Target &) const {
    Fsm.Passed_ = true;
  }
};

struct CircuitDefinition : msm::front::state_machine_def<CircuitDefinition> {
  using Closed = PhaseState<CircuitPhase::Closed>;
  using Open = PhaseState<CircuitPhase::Open>;
  using HalfOpen = PhaseState<CircuitPhase::HalfOpen>;
  // Boost.MSM requires the names initial_state, transition_table and no_transition.
  using initial_state = Closed; // NOLINT
  // If two rows match, Boost.MSM tries the later one first. Results that arrive while the circuit
  // is open, from requests sent before it opened, change nothing.
  // clang-format off
  struct transition_table : boost::mpl::vector< // NOLINT
      Row<Closed,   PassRequested, none,     Pass,          none>,
      Row<Closed,   Succeeded,     none,     ResetFailures, none>,
      Row<Closed,   Failed,        none,     CountFailure,  none>,
      Row<Closed,   Failed,        Open,     Trip,          FailureThresholdReached>,
      Row<Open,     PassRequested, HalfOpen, StartTrial,    WaitElapsed>,
      Row<HalfOpen, PassRequested, none,     StartTrial,    NoTrialRuns>,
      Row<HalfOpen, Failed,        Open,     Trip,          none>,
      Row<HalfOpen, Succeeded,     none,     EndTrial,      none>,
      Row<HalfOpen, Succeeded,     Closed,   Recover,       TrialThresholdReached>> {};
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event &, Machine &, int) {} // NOLINT

  CircuitOptions Options_;
  CircuitPhase Phase_ = CircuitPhase::Closed;
  std::uint32_t Failures_ = 0;
  std::uint32_t Trials_ = 0;
  Duration Wait_{};
  TimePoint OpenUntil_{};
  TimePoint TrialUntil_{};
  bool Passed_ = false;
};

} // namespace

struct CircuitBreaker::Impl {
  msm::back::state_machine<CircuitDefinition> Machine_;
};

CircuitBreaker::CircuitBreaker(CircuitOptions Options) : Impl_(std::make_unique<Impl>()) {
  Impl_->Machine_.Options_ = Options;
  Impl_->Machine_.start();
}

CircuitBreaker::~CircuitBreaker() = default;
CircuitBreaker::CircuitBreaker(CircuitBreaker &&) noexcept = default;
CircuitBreaker &CircuitBreaker::operator=(CircuitBreaker &&) noexcept = default;

bool CircuitBreaker::tryPass(TimePoint Now) {
  Impl_->Machine_.Passed_ = false;
  Impl_->Machine_.process_event(PassRequested{Now});
  return Impl_->Machine_.Passed_;
}

bool CircuitBreaker::mayPass(TimePoint Now) const {
  const auto &Machine = Impl_->Machine_;
  switch (Machine.Phase_) {
  case CircuitPhase::Closed:
    return true;
  case CircuitPhase::Open:
    return Now >= Machine.OpenUntil_;
  case CircuitPhase::HalfOpen:
    break;
  }
  return Now >= Machine.TrialUntil_;
}

void CircuitBreaker::succeeded(TimePoint Now) { Impl_->Machine_.process_event(Succeeded{Now}); }

void CircuitBreaker::failed(TimePoint Now) { Impl_->Machine_.process_event(Failed{Now}); }

CircuitPhase CircuitBreaker::phase() const { return Impl_->Machine_.Phase_; }

bool CircuitBreakers::tryPass(const EndpointId &Endpoint, TimePoint Now) {
  const auto It = Circuits_.find(Endpoint);
  return It == Circuits_.end() || It->second.tryPass(Now);
}

bool CircuitBreakers::mayPass(const EndpointId &Endpoint, TimePoint Now) const {
  const auto It = Circuits_.find(Endpoint);
  return It == Circuits_.end() || It->second.mayPass(Now);
}

void CircuitBreakers::succeeded(const EndpointId &Endpoint, TimePoint Now) {
  const auto It = Circuits_.find(Endpoint);
  if (It == Circuits_.end())
    return;
  It->second.succeeded(Now);
  if (It->second.phase() == CircuitPhase::Closed)
    Circuits_.erase(It);
}

void CircuitBreakers::failed(const EndpointId &Endpoint, TimePoint Now) {
  const auto It = Circuits_.try_emplace(Endpoint, Options_).first;
  It->second.failed(Now);
}

CircuitPhase CircuitBreakers::phase(const EndpointId &Endpoint) const {
  const auto It = Circuits_.find(Endpoint);
  return It == Circuits_.end() ? CircuitPhase::Closed : It->second.phase();
}

} // namespace rattancart
