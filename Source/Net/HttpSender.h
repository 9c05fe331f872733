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
  /// Reuses an idle connection if there is one, else opens one.
  Pooled,
  /// Opens a connection for this request, so that a failed connect proves that no byte of the
  /// request was handed over.
  Fresh,
};

/// What to do with a response whose status line and headers have arrived.
enum class HeadDecision {
  /// The response belongs to the request; pass its body on.
  Accept,
  /// The response belongs to an earlier request on the connection: discard it and read the next.
  Skip,
  /// The connection can't be trusted: end the request with MalformedResponse.
  Abort,
};

/// Receives a response as it arrives. Called on the event loop.
class HttpResponseSink {
public:
  virtual ~HttpResponseSink() = default;
  /// Decides what to do with a response from its status and headers; Body_ is empty.
  virtual HeadDecision onHead(const HttpResponse &Head) = 0;
  /// Takes the next bytes of the accepted response's body. If it returns false, the response is
  /// too long and the request ends with ResponseTooLarge.
  virtual bool onBody(std::string_view Data) = 0;
};

struct HttpSendOptions {
  ConnectionUse Use_ = ConnectionUse::Pooled;
  Duration ConnectTimeout_ = std::chrono::seconds(1);
  /// Maximum time from the first byte sent to the last byte received.
  Duration ResponseTimeout_ = std::chrono::seconds(10);
  std::size_t MaxBodyBytes_ = 16 * 1024 * 1024;
  /// Called when the connection is open, before any byte is handed to it. If it returns false, the
  /// request ends with Cancelled, and BytesHandedOver_ is false.
  std::function<bool()> BeforeSend_;
  /// Receives the response as it arrives; the result's Response_ then has no body. Must outlive the
  /// request. ResponseTimeout_ still limits the whole response; MaxBodyBytes_ does not apply.
  HttpResponseSink *Sink_ = nullptr;
  /// Whether to send the request's own Host header instead of the address.
  bool KeepHost_ = false;
};

struct HttpResult {
  /// If there is no error, Response_ is complete. Errors: ConnectFailed, ConnectionClosed,
  /// ResponseTimeout, MalformedResponse, ResponseTooLarge or Cancelled.
  std::error_code Error_;
  HttpResponse Response_;
  /// Whether any byte of the request was handed to a connection, and so may have reached the
  /// server.
  bool BytesHandedOver_ = false;
  /// Whether the server's address refused the connection, which only a host does that works.
  bool Refused_ = false;
  /// Whether the request went over a connection that had been idle in the pool.
  bool Reused_ = false;
  /// Whether the response had no length and was ended by the close of its connection.
  bool CloseDelimited_ = false;
};

using HttpCallId = StrongNumber<struct HttpCallTag>;
using HttpCallback = std::function<void(HttpResult)>;

/// Sends requests to addresses. Not thread-safe: use it on its event loop.
class HttpSender {
public:
  virtual ~HttpSender() = default;

  /// Sends Request. Done is called once, from the event loop and never from within send.
  virtual HttpCallId send(const NetAddress &Address, HttpRequest Request, HttpSendOptions Options,
                          HttpCallback Done) = 0;
  /// Cancels a request; its Done gets Cancelled. Does nothing if the id is unknown.
  virtual void cancel(HttpCallId Id) = 0;
};

} // namespace rattancart
