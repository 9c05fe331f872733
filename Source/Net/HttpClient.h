#pragma once

#include "Net/HttpSender.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace rattancart {

struct HttpClientStats {
  std::uint64_t Sent_ = 0;
  std::uint64_t Failed_ = 0;
  std::uint64_t Connects_ = 0;
  std::size_t Idle_ = 0;
  std::size_t InFlight_ = 0;
};

/// An HTTP/1.1 client with a pool of idle connections for each address. It never retries a
/// request. Not thread-safe: use it on its event loop.
class HttpClient final : public HttpSender {
public:
  /// Precondition: Loop outlives the client. At most MaxIdle idle connections are kept
  /// for each address.
  explicit HttpClient(boost::asio::io_context &Loop, std::size_t MaxIdle = 64);
  ~HttpClient() override;
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sets Host (unless KeepHost_ keeps the request's own) and Content-Length.
  HttpCallId send(const NetAddress &Address, HttpRequest Request, HttpSendOptions Options,
                  HttpCallback Done) override;
  void cancel(HttpCallId Id) override;
  /// Calls Handler whenever the server closes an idle connection: the first sign that its process
  /// has ended.
  void onIdleClosed(std::function<void(const NetAddress &)> Handler);
  /// Calls Handler for each connect when it was accepted, or when it was refused or not accepted in
  /// time. Took: how long that took.
  void onConnect(std::function<void(const NetAddress &, bool Accepted, Duration Took)> Handler);
  /// Closes the idle connections to one address, or to all.
  void closeIdle(const NetAddress &Address);
  void closeAllIdle();
  HttpClientStats stats() const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace rattancart
