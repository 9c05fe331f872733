#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Logger.h"
#include "Core/Membership/Endpoint.h"
#include "Net/Http.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <system_error>
#include <utility>

namespace rattancart {

/// Answers one request. The handler keeps it until the response is complete; destroying it earlier
/// closes the connection. Not thread-safe: use it on the server's event loop.
class HttpResponder {
public:
  virtual ~HttpResponder() = default;
  /// Sends a complete response with Content-Length. Precondition: nothing was sent yet.
  virtual void send(HttpResponse Response) = 0;
  /// Starts a chunked response. Precondition: nothing was sent yet.
  virtual void startChunked(HttpResponse Head) = 0;
  /// Starts a response without a length, whose end is that of the connection. If it is aborted, the
  /// connection is reset, so that it doesn't look complete. Precondition: nothing was sent yet.
  virtual void startUntilClose(HttpResponse Head) { startChunked(std::move(Head)); }
  /// Queues one part of the body. Precondition: startChunked or startUntilClose was called. Empty
  /// parts are ignored.
  virtual void sendChunk(std::string_view Data) = 0;
  /// Ends a response that startChunked or startUntilClose started.
  virtual void finishChunked() = 0;
  /// Closes the connection without ending the response, so that the caller sees an incomplete one.
  virtual void abort() = 0;
  /// Whether the response can still be sent: it is not complete and the connection is open.
  virtual bool isOpen() const = 0;
  /// Bytes queued for the caller and not yet written.
  virtual std::size_t queuedBytes() const = 0;
  /// Calls Handler once if the connection closes before the response is complete.
  virtual void onClosed(std::function<void()> Handler) = 0;
};

using HttpResponderPtr = std::shared_ptr<HttpResponder>;

/// Handles parsed requests.
class HttpHandler {
public:
  virtual ~HttpHandler() = default;
  /// Called on the event loop for each complete request. Must not block. If it throws, the request
  /// is answered with 500, or its response is cut if that has begun.
  virtual void handle(HttpRequest Request, HttpResponderPtr Responder) = 0;
};

struct HttpServerOptions {
  std::size_t MaxHeaderBytes_ = 16 * 1024;
  std::size_t MaxBodyBytes_ = 1024 * 1024;
  std::size_t MaxConnections_ = 4096;
  /// A request's header must arrive within this time of its first byte.
  Duration HeaderTimeout_ = std::chrono::seconds(15);
  /// A request must arrive completely within this time of its first byte.
  Duration RequestTimeout_ = std::chrono::seconds(15);
  /// An idle connection is closed after this time.
  Duration IdleTimeout_ = std::chrono::seconds(75);
};

struct HttpServerStats {
  std::uint64_t Accepted_ = 0;
  std::uint64_t Requests_ = 0;
  std::uint64_t Malformed_ = 0;
  std::uint64_t TimedOut_ = 0;
  std::uint64_t CallersGone_ = 0;
  std::size_t Open_ = 0;
  std::size_t InFlight_ = 0;
};

/// An HTTP/1.1 server. Pipelined requests are answered one at a time, in order.
/// A malformed request gets 400, an oversized header 431, an oversized body 413, a slow one 408;
/// each closes the connection. Not thread-safe: use it on its event loop.
class HttpServer {
public:
  /// Precondition: Loop, Handler and Log outlive the server.
  HttpServer(boost::asio::io_context &Loop, HttpServerOptions Options, HttpHandler &Handler,
             Logger &Log);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Starts to accept connections. Port 0 stands for any free port. Errors: BadAddress, BindFailed.
  std::error_code listen(const NetAddress &Address);
  /// The address on which the server listens.
  NetAddress address() const;
  /// Continues to accept connections, but adds "Connection: close" to each response that begins
  /// from now on, so that callers reconnect and can reach another process. Meant for the time until
  /// a load balancer has noticed that this process is shutting down.
  void announceClose();
  /// Sets the limits for requests that start from now on. Connections that are idle now stay open
  /// for the longer of both idle limits.
  void setLimits(const HttpServerOptions &Options);
  /// Accepts no more connections than those already established. A connection is closed when it has
  /// been idle for half a second, or after a response with "Connection: close", as each response
  /// has that begins from now on.
  void drain();
  /// Accepts no new connections and closes all open ones.
  void stop();
  HttpServerStats stats() const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace rattancart
