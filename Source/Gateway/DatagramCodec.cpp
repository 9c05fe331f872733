#include "Gateway/DatagramCodec.h"

#include <utility>

namespace rattancart {

using std::chrono::milliseconds;

DatagramBytes packDatagram(const wire::GatewayDatagramT &Content) {
  flatbuffers::FlatBufferBuilder Builder(512);
  Builder.Finish(wire::GatewayDatagram::Pack(Builder, &Content));
  return {Builder.GetBufferPointer(), Builder.GetBufferPointer() + Builder.GetSize()};
}

std::optional<wire::GatewayDatagramT> unpackDatagram(std::span<const std::uint8_t> Bytes) {
  flatbuffers::Verifier Verifier(Bytes.data(), Bytes.size());
  if (!wire::VerifyGatewayDatagramBuffer(Verifier))
    return std::nullopt;
  wire::GatewayDatagramT Content;
  wire::GetGatewayDatagram(Bytes.data())->UnPackTo(&Content);
  return Content;
}

std::unique_ptr<wire::EngineStateT> toWire(const EndpointId &Id, const EndpointRecord &Record,
                                           TimePoint Now) {
  auto State = std::make_unique<wire::EngineStateT>();
  State->id = Id.str();
  State->run = Record.Listing_.Run_.value();
  State->first_layer = Record.Report_.Layers_.Begin_;
  State->end_layer = Record.Report_.Layers_.End_;
  State->busy = Record.Report_.Busy_;
  State->orders = Record.Report_.Orders_;
  State->waiting = Record.Report_.Waiting_;
  State->running = Record.Report_.Running_;
  State->used = Record.Report_.UsedTokenLayers_;
  State->total = Record.Report_.TotalTokenLayers_;
  State->slowdown = Record.Report_.Slowdown_;
  State->silent = Record.silent(Now);
  State->reported = Record.reported();
  if (Record.reported())
    State->age_ms = static_cast<std::uint32_t>((Now - Record.ReportedAt_) / milliseconds(1));
  return State;
}

EngineReport reportFromWire(const wire::EngineStateT &State) {
  EngineReport Report;
  Report.Run_ = Incarnation(State.run);
  Report.Layers_ = {State.first_layer, State.end_layer};
  Report.Busy_ = State.busy;
  Report.Orders_ = State.orders;
  Report.Waiting_ = State.waiting;
  Report.Running_ = State.running;
  Report.UsedTokenLayers_ = State.used;
  Report.TotalTokenLayers_ = State.total;
  Report.Slowdown_ = State.slowdown;
  return Report;
}

WireSuspects toWire(const std::vector<PromptSuspect> &Suspects, TimePoint Now) {
  WireSuspects Encoded;
  for (const PromptSuspect &Suspect : Suspects) {
    auto Entry = std::make_unique<wire::PromptSuspectT>();
    Entry->part = Suspect.Part_.str();
    Entry->served = Suspect.Served_;
    for (const EngineCrash &Each : Suspect.Crashes_) {
      auto Crash = std::make_unique<wire::EngineCrashT>();
      Crash->engine = Each.Engine_.str();
      Crash->run = Each.Run_.value();
      Crash->age_ms = static_cast<std::uint32_t>((Now - Each.At_) / milliseconds(1));
      Crash->cleared = Each.Cleared_;
      Entry->crashes.push_back(std::move(Crash));
    }
    Entry->trial = Suspect.Trial_.value();
    if (Suspect.Trial_ != TurnNumber(0))
      Entry->trial_age_ms = static_cast<std::uint32_t>((Now - Suspect.TrialAt_) / milliseconds(1));
    Encoded.push_back(std::move(Entry));
  }
  return Encoded;
}

std::vector<PromptSuspect> fromWire(const WireSuspects &Encoded, TimePoint Now) {
  std::vector<PromptSuspect> Suspects;
  for (const auto &Entry : Encoded) {
    if (!Entry)
      continue;
    PromptSuspect Suspect{PromptPartId(Entry->part),
                          Entry->served,
                          {},
                          TurnNumber(Entry->trial),
                          Now - milliseconds(Entry->trial_age_ms)};
    for (const auto &Crash : Entry->crashes)
      if (Crash)
        Suspect.Crashes_.push_back({EndpointId(Crash->engine), Incarnation(Crash->run),
                                    Now - milliseconds(Crash->age_ms), Crash->cleared});
    Suspects.push_back(std::move(Suspect));
  }
  return Suspects;
}

std::unique_ptr<wire::EndpointLimitT> toWire(const LimitState &State, TimePoint Now) {
  const EndpointLimit &Limit = State.Limit_;
  auto Encoded = std::make_unique<wire::EndpointLimitT>();
  Encoded->endpoint = Limit.Endpoint_.str();
  Encoded->run = Limit.Run_.value();
  Encoded->limited = Limit.Rate_.has_value();
  Encoded->per_second = Limit.Rate_.value_or(RequestRate{}).PerSecond_;
  Encoded->age_ms = static_cast<std::uint32_t>((Now - Limit.KnownAt_) / milliseconds(1));
  Encoded->wanted = State.Wanted_.PerSecond_;
  Encoded->sent = State.Sent_;
  Encoded->gateways = State.Gateways_;
  return Encoded;
}

EndpointLimit limitFromWire(const wire::EndpointLimitT &Encoded, TimePoint Now) {
  EndpointLimit Limit{EndpointId(Encoded.endpoint), Incarnation(Encoded.run), std::nullopt,
                      Now - milliseconds(Encoded.age_ms)};
  if (Encoded.limited)
    Limit.Rate_ = RequestRate{Encoded.per_second};
  return Limit;
}

} // namespace rattancart
