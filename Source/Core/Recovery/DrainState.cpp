#include "Core/Recovery/DrainState.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace rattancart {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct Requested {
  std::size_t InFlight_;
  TimePoint Now_;
};
struct Ticked {
  std::size_t InFlight_;
  TimePoint Now_;
};

template <DrainPhase Value> struct PhaseState : msm::front::state<> {
  template <typename Event, typename Machine> void on_entry(const Event &, Machine &Fsm) {
    Fsm.Phase_ = Value;
  }
};

struct StartDrain {
  template <typename Machine, typename Source, typename Target>
  void operator()(const Requested &Event, Machine &Fsm, Source &, Target &) const {
    Fsm.StartedAt_ = Event.Now_;
  }
};
struct RecordCutOff {
  template <typename Event, typename Machine, typename Source, typename Target>
  void operator()(const Event &Happened, Machine &Fsm, Source &, Target &) const {
    Fsm.CutOff_ = Happened.InFlight_;
  }
};
struct BalancerLagElapsed {
  template <typename Machine, typename Source, typename Target>
  bool operator()(const Ticked &Event, Machine &Fsm, Source &, Target &) const {
    return Event.Now_ - Fsm.StartedAt_ >= Fsm.Options_.BalancerLag_;
  }
};
struct IdleOrDeadlinePassed {
  template <typename Machine, typename Source, typename Target>
  bool operator()(const Ticked &Event, Machine &Fsm, Source &, Target &) const {
    return Event.InFlight_ == 0 || Event.Now_ - Fsm.StartedAt_ >= Fsm.Options_.Deadline_;
  }
};

struct DrainDefinition : msm::front::state_machine_def<DrainDefinition> {
  using Ready = PhaseState<DrainPhase::Ready>;
  using Announcing = PhaseState<DrainPhase::Announcing>;
  using Draining = PhaseState<DrainPhase::Draining>;
  using Finished = PhaseState<DrainPhase::Finished>;
  // Boost.MSM requires the names initial_state, transition_table and no_transition.
  using initial_state = Ready; // NOLINT
  // clang-format off
  struct transition_table : boost::mpl::vector< // NOLINT
      Row<Ready,      Requested, Announcing, StartDrain,   none>,
      Row<Announcing, Ticked,    Draining,   none,         BalancerLagElapsed>,
      Row<Announcing, Requested, Finished,   RecordCutOff, none>,
      Row<Draining,   Ticked,    Finished,   RecordCutOff, IdleOrDeadlinePassed>,
      Row<Draining,   Requested, Finished,   RecordCutOff, none>> {};
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event &, Machine &, int) {} // NOLINT

  DrainOptions Options_;
  DrainPhase Phase_ = DrainPhase::Ready;
  TimePoint StartedAt_{};
  std::size_t CutOff_ = 0;
};

} // namespace

struct DrainState::Impl {
  msm::back::state_machine<DrainDefinition> Machine_;
};

DrainState::DrainState(DrainOptions Options) : Impl_(std::make_unique<Impl>()) {
  Impl_->Machine_.Options_ = Options;
  Impl_->Machine_.start();
}

DrainState::~DrainState() = default;

void DrainState::request(std::size_t InFlight, TimePoint Now) {
  Impl_->Machine_.process_event(Requested{InFlight, Now});
}

void DrainState::tick(std::size_t InFlight, TimePoint Now) {
  Impl_->Machine_.process_event(Ticked{InFlight, Now});
}

DrainPhase DrainState::phase() const { return Impl_->Machine_.Phase_; }

std::size_t DrainState::cutOff() const { return Impl_->Machine_.CutOff_; }

} // namespace rattancart
