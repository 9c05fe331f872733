#pragma once

#include "Core/Common/Ids.h"
#include "Core/Membership/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The events of a run of the system, as the stand-ins and the test clients record them.
namespace rattancart::history {

/// Wall-clock time of an event.
using EventTime = std::chrono::microseconds;

/// Fields of all events.
struct EventBase {
  /// Index of the event's text in History::Lines_.
  std::size_t Line_ = 0;
  EventTime At_{};
};

/// A caller's request with its outcome, recorded by the caller when it is over.
struct CallEvent : EventBase {
  RequestId Request_;
  std::string Caller_;
  IdempotencyKey Key_;
  /// Model requests only.
  std::string Prompt_;
  ModelVersion Version_;
  std::string Text_;
  /// "done", "not-run", "unknown", or "cut" if the connection ended before the answer was complete.
  std::string Outcome_;
  std::uint32_t Status_ = 0;
  /// Whether the caller could see that the answer ended early.
  bool Truncated_ = false;
  /// Whether the call may be repeated.
  bool Idempotent_ = false;
  EventTime Started_{};
  /// The process that served the request, if the caller knows it.
  std::string Process_;
};

/// A range of tokens of one attempt that an engine ran through a range of layers, or whose KV cache
/// it imported for these layers.
struct LayerRunEvent : EventBase {
  RequestId Request_;
  AttemptNumber Attempt_;
  std::uint32_t Position_ = 0;
  std::uint32_t Count_ = 0;
  LayerRange Layers_;
  std::uint32_t LayerCount_ = 0;
  ModelVersion Version_;
  EndpointId Engine_;
  Incarnation Incarnation_{0};
  /// Increases with the runs of the engine.
  std::uint64_t Sequence_ = 0;
  bool Imported_ = false;
};

/// A call that a service executed.
struct ExecutionEvent : EventBase {
  RequestId Call_;
  IdempotencyKey Key_;
  EndpointId Service_;
  Incarnation Incarnation_{0};
  std::string Method_;
  std::string Path_;
};

/// An endpoint first showed that it is leaving, or it is live again.
struct LeavingEvent : EventBase {
  EndpointId Endpoint_;
  Incarnation Incarnation_{0};
  /// False if the endpoint is live again.
  bool Leaving_ = true;
};

/// New work, a new attempt or a call, that arrived at a leaving endpoint, accepted or refused.
struct WorkEvent : EventBase {
  EndpointId Endpoint_;
  Incarnation Incarnation_{0};
  RequestId Request_;
};

/// A graceful shutdown that began or ended.
struct ShutdownEvent : EventBase {
  std::string Process_;
  bool Begins_ = true;
};

/// Settings that a process applied.
struct SettingsAppliedEvent : EventBase {
  std::string Process_;
  Incarnation Incarnation_{0};
  LogOffset Offset_ = NoOffset;
  std::string Digest_;
};

/// Whether a process accepted a settings change.
struct DecisionEvent : EventBase {
  std::string Process_;
  ChangeId Change_;
  bool Accepted_ = false;
};

/// The events of one run, by kind, each kind in the order of the lines.
struct History {
  std::vector<CallEvent> Calls_;
  std::vector<LayerRunEvent> LayerRuns_;
  std::vector<ExecutionEvent> Executions_;
  std::vector<LeavingEvent> LeavingEvents_;
  std::vector<WorkEvent> WorkEvents_;
  std::vector<ShutdownEvent> Shutdowns_;
  std::vector<SettingsAppliedEvent> AppliedSettings_;
  std::vector<DecisionEvent> Decisions_;
  /// The text of each event.
  std::vector<std::string> Lines_;
};

} // namespace rattancart::history
