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

/// An HTTP/1.1 client with a pool of idle connections for each address. It never repeats a
/// request by itself. Not thread-safe: use it on its event loop.
class HttpClient final : public HttpSender {
public:
  /// Precondition: Loop outlives the client. At most MaxIdle idle connections an address.
  explicit HttpClient(boost::asio::io_context &Loop, std::size_t MaxIdle = 64);
  ~HttpClient() override;
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Host and Content-Length are added.
  HttpCallId send(const NetAddress &Address, HttpRequest Request, HttpSendOptions Options,
                  HttpCallback Done) override;
  void cancel(HttpCallId Id) override;
  /// Calls Handler whenever the other side ends an idle connection: the first sign that a process
  /// there is gone.
  void onIdleClosed(std::function<void(const NetAddress &)> Handler);
  /// Closes the idle connections to an address, or all.
  void closeIdle(const NetAddress &Address);
  void closeAllIdle();
  HttpClientStats stats() const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace rattancart
