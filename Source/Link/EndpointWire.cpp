#include "Link/EndpointWire.h"

#include <algorithm>

namespace rattancart {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

std::uint64_t toMicros(Duration Value) {
  return static_cast<std::uint64_t>(duration_cast<microseconds>(Value).count());
}

Duration fromMicros(std::uint64_t Value) {
  return microseconds(static_cast<std::int64_t>(std::min<std::uint64_t>(Value, 3'600'000'000)));
}

} // namespace

wire::EndpointInfoT toWire(const Endpoint &Record, Duration Age) {
  wire::EndpointInfoT Info;
  Info.id = Record.Id_.str();
  Info.kind = static_cast<std::uint8_t>(Record.Kind_);
  Info.incarnation = Record.Incarnation_.value();
  Info.address = Record.Address_.str();
  Info.data_center = Record.DataCenter_.str();
  Info.state = static_cast<std::uint8_t>(Record.State_);
  Info.model = Record.Model_.str();
  Info.version = Record.Version_.str();
  Info.layer_begin = Record.Layers_.Begin_;
  Info.layer_end = Record.Layers_.End_;
  Info.service = Record.Service_.str();
  Info.active = Record.Load_.Active_;
  Info.queued = Record.Load_.Queued_;
  Info.step_us = toMicros(Record.Load_.StepTime_);
  Info.prefill_us = toMicros(Record.Load_.PrefillTime_);
  Info.batch_slots = Record.Load_.BatchSlots_;
  Info.link_bytes_per_second = Record.Load_.LinkBytesPerSecond_;
  Info.link_delay_us = toMicros(Record.Load_.LinkDelay_);
  Info.load_sequence = Record.LoadSequence_;
  Info.silent = Record.Silent_;
  const auto AgeMs = duration_cast<milliseconds>(Age).count() + 1;
  Info.age_ms = static_cast<std::uint32_t>(std::clamp<std::int64_t>(AgeMs, 0, 3'600'000));
  return Info;
}

Endpoint fromWire(const wire::EndpointInfoT &Info) {
  Endpoint Record;
  Record.Id_ = EndpointId(Info.id);
  Record.Kind_ = Info.kind == 0 ? EndpointKind::Engine : EndpointKind::Service;
  Record.Incarnation_ = Incarnation(Info.incarnation);
  Record.Address_ = NetAddress(Info.address);
  Record.DataCenter_ = DataCenterId(Info.data_center);
  // A state that only a later version knows is taken as Gone, the most restrictive one.
  Record.State_ = static_cast<EndpointState>(std::min<std::uint8_t>(Info.state, 2));
  Record.Model_ = ModelId(Info.model);
  Record.Version_ = ModelVersion(Info.version);
  Record.Layers_ = {Info.layer_begin, Info.layer_end};
  Record.Service_ = ServiceId(Info.service);
  Record.Load_.Active_ = Info.active;
  Record.Load_.Queued_ = Info.queued;
  Record.Load_.StepTime_ = fromMicros(Info.step_us);
  Record.Load_.PrefillTime_ = fromMicros(Info.prefill_us);
  Record.Load_.BatchSlots_ = std::max<std::uint32_t>(Info.batch_slots, 1);
  Record.Load_.LinkBytesPerSecond_ = Info.link_bytes_per_second;
  Record.Load_.LinkDelay_ = fromMicros(Info.link_delay_us);
  Record.LoadSequence_ = Info.load_sequence;
  Record.Silent_ = Info.silent;
  return Record;
}

} // namespace rattancart
