#include "Gateway/DatagramSocket.h"

#include "Core/Common/ErrorCode.h"

#include <fmt/format.h>

namespace rattancart {

using Udp = boost::asio::ip::udp;

std::string addressText(const DatagramSocket::Endpoint &Endpoint) {
  return fmt::format("{}:{}", Endpoint.address().to_string(), Endpoint.port());
}

std::error_code DatagramSocket::listen(const NetAddress &Address) {
  const auto Target = parseAddress(Address);
  if (!Target)
    return Target.error().Code_;
  const Endpoint Local(Target->address(), Target->port());
  boost::system::error_code E;
  Socket_.open(Local.protocol(), E);
  Socket_.set_option(Udp::socket::reuse_address(true), E);
  if (Socket_.bind(Local, E))
    return ErrorCode::BindFailed;
  Address_ = addressText(Socket_.local_endpoint(E));
  Socket_.non_blocking(true, E);
  receive();
  return {};
}

void DatagramSocket::receive() {
  Socket_.async_receive_from(boost::asio::buffer(Buffer_), Sender_,
                             [this](boost::system::error_code E, std::size_t Size) {
                               if (E == boost::asio::error::operation_aborted)
                                 return;
                               if (!E)
                                 dispatch(Size);
                               receive();
                             });
}

void DatagramSocket::dispatch(std::size_t Size) {
  auto Content = unpackDatagram({Buffer_.data(), Size});
  if (!Content) {
    Log_.log(LogEvent::FrameRejected, {{"bytes", Size}, {"reason", "datagram"}});
    return;
  }
  for (const Handler &Receive : Handlers_)
    Receive(*Content, Sender_);
}

void DatagramSocket::send(const Endpoint &To, const DatagramBytes &Packed) {
  boost::system::error_code E;
  Socket_.send_to(boost::asio::buffer(Packed), To, 0, E);
  Metrics_.count("datagrams_total", E ? "dropped" : "sent");
  if (!E)
    return;
  ++Dropped_;
  DropReason_ = E;
}

void DatagramSocket::send(const std::string &To, const DatagramBytes &Packed) {
  if (const auto Target = parseAddress(NetAddress(To)))
    send(Endpoint(Target->address(), Target->port()), Packed);
}

void DatagramSocket::logDropped(std::size_t Receivers) {
  if (Dropped_ > 0)
    Log_.log(LogEvent::DatagramsDropped, {{"datagrams", std::exchange(Dropped_, 0)},
                                          {"receivers", Receivers},
                                          {"reason", DropReason_.message()}});
}

} // namespace rattancart
