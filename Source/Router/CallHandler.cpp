#include "Router/CallHandler.h"

#include <boost/json/array.hpp>

#include <utility>

namespace rattancart {

namespace {

/// The state dump lists at most this many calls one by one.
constexpr std::size_t MaxListed = 100;

} // namespace

CallHandler::CallHandler(RouterServices &Services, RetryBudget &Budget)
    : Services_(Services), Budget_(Budget),
      Picker_(Services.Endpoints_, Services.Random_, Services.DataCenter_) {}

void CallHandler::handle(RoutedRequest Request) {
  const std::uint64_t Number = NextSession_++;
  const auto Session =
      std::make_shared<CallSession>(Services_, Picker_, Stats_, Budget_, std::move(Request),
                                    [this, Number] { Sessions_.erase(Number); });
  Sessions_.emplace(Number, Session);
  Session->start();
}

boost::json::object CallHandler::state() const {
  boost::json::array Calls;
  for (const auto &[Number, Session] : Sessions_) {
    if (Calls.size() >= MaxListed)
      break;
    Calls.push_back(Session->state());
  }
  boost::json::object InFlight;
  for (const auto &[Id, Count] : Picker_.inFlight())
    InFlight[Id.str()] = Count;
  return {{"in_flight", Sessions_.size()},
          {"begun", Stats_.Started_},
          {"done", Stats_.Done_},
          {"not_run", Stats_.NotRun_},
          {"unknown", Stats_.Unknown_},
          {"callers_gone", Stats_.CallersGone_},
          {"sends", Stats_.Sends_},
          {"claims", Stats_.Claims_},
          {"endpoints", std::move(InFlight)},
          {"calls", std::move(Calls)}};
}

} // namespace rattancart
