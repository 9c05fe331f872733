#pragma once

#include "Core/Common/Clock.h"
#include "Core/Membership/Endpoint.h"
#include "Net/Http.h"

#include <cstddef>
#include <functional>
#include <string_view>
#include <system_error>

namespace rattancart {

enum class ConnectionUse {
  /// An idle connection if there is one, else a new one.
  Pooled,
  /// A connection opened for this request, so that a failed connect proves that no byte of the
  /// request was handed over.
  Fresh,
};

/// What to do with an answer whose head has arrived.
enum class HeadDecision {
  /// Its body belongs to the request.
  Accept,
  /// It belongs to an earlier request on the connection: read past it and wait for the next one.
  Skip,
  /// The connection can't be trusted: end the request with MalformedResponse.
  Abort,
};

/// Takes an answer piece by piece. Called on the event loop.
class HttpResponseSink {
public:
  virtual ~HttpResponseSink() = default;
  /// Decides about an answer from its status and headers; Body_ is empty.
  virtual HeadDecision onHead(const HttpResponse &Head) = 0;
  /// The next bytes of the accepted answer's body. False if no answer can be that long: the request
  /// ends with ResponseTooLarge.
  virtual bool onBody(std::string_view Data) = 0;
};

struct HttpSendOptions {
  ConnectionUse Use_ = ConnectionUse::Pooled;
  Duration ConnectTimeout_ = std::chrono::seconds(1);
  /// From the first byte sent to the last byte received.
  Duration ResponseTimeout_ = std::chrono::seconds(10);
  std::size_t MaxBodyBytes_ = 16 * 1024 * 1024;
  /// Called once the connection is open and before any byte is handed to it; false ends the
  /// request with Cancelled and BytesHandedOver_ false.
  std::function<bool()> BeforeSend_;
  /// Gets the answer as it arrives; Response_ of the result then has no body. Must outlive the
  /// request. ResponseTimeout_ still bounds the whole answer.
  HttpResponseSink *Sink_ = nullptr;
  /// Keep the request's own Host header instead of naming the address.
  bool KeepHost_ = false;
};

struct HttpResult {
  /// No error means Response_ is complete. Otherwise ConnectFailed, ConnectionClosed,
  /// ResponseTimeout, MalformedResponse, ResponseTooLarge or Cancelled.
  std::error_code Error_;
  HttpResponse Response_;
  /// Whether any byte of the request was handed to a connection.
  bool BytesHandedOver_ = false;
  /// Whether the request went over a connection that had been idle in the pool.
  bool Reused_ = false;
  /// The answer had no length and ended with its connection.
  bool CloseDelimited_ = false;
};

using HttpCallId = StrongNumber<struct HttpCallTag>;
using HttpCallback = std::function<void(HttpResult)>;

/// Sends requests to addresses. Not thread-safe: use it on its event loop.
class HttpSender {
public:
  virtual ~HttpSender() = default;

  /// Sends Request; Done is called once, from the event loop, never from within send.
  virtual HttpCallId send(const NetAddress &Address, HttpRequest Request, HttpSendOptions Options,
                          HttpCallback Done) = 0;
  /// Ends a request; its Done gets Cancelled. An unknown id is ignored.
  virtual void cancel(HttpCallId Id) = 0;
};

} // namespace rattancart
