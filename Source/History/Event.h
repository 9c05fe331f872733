#pragma once

#include "Core/Common/Ids.h"
#include "Core/Membership/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Events of concurrent runs, as the stand-ins and the test clients record them.
namespace rattancart::history {

/// Wall-clock time of an event.
using EventTime = std::chrono::microseconds;

/// What every event has.
struct EventBase {
  /// The event's place in History::Lines_.
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
  /// "done", "not-run", "unknown", or "cut" if the connection ended before the answer did.
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

/// A span of tokens of one attempt that went through layers, or whose KV cache was imported.
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

/// The first sign that an endpoint is leaving, or the end of that.
struct LeavingEvent : EventBase {
  EndpointId Endpoint_;
  Incarnation Incarnation_{0};
  bool Leaving_ = true;
};

/// New work that arrived at a leaving endpoint, taken or refused: a new attempt or a call.
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

/// Settings that a process put in force.
struct AppliedEvent : EventBase {
  std::string Process_;
  Incarnation Incarnation_{0};
  LogOffset Offset_ = NoOffset;
  std::string Digest_;
};

/// What a process decided on a settings change.
struct DecisionEvent : EventBase {
  std::string Process_;
  ChangeId Change_;
  bool Accepted_ = false;
};

/// One run's events, by kind, each in the order of the lines.
struct History {
  std::vector<CallEvent> Calls_;
  std::vector<LayerRunEvent> LayerRuns_;
  std::vector<ExecutionEvent> Executions_;
  std::vector<LeavingEvent> Leavings_;
  std::vector<WorkEvent> Works_;
  std::vector<ShutdownEvent> Shutdowns_;
  std::vector<AppliedEvent> Applied_;
  std::vector<DecisionEvent> Decisions_;
  /// The events as they were read.
  std::vector<std::string> Lines_;
};

} // namespace rattancart::history
