#include "Net/Address.h"

#include "Core/Common/ErrorCode.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <string_view>

namespace rattancart {

Result<boost::asio::ip::tcp::endpoint> parseAddress(const NetAddress &Address) {
  const std::string_view Text = Address.str();
  const Error Bad{ErrorCode::BadAddress, Address.str()};
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return Bad;

  std::string_view Host = Text.substr(0, Colon);
  const bool Bracketed = Host.size() > 2 && Host.front() == '[' && Host.back() == ']';
  if (Bracketed)
    Host = Host.substr(1, Host.size() - 2);

  const std::string_view PortText = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const auto [End, ParseError] =
      std::from_chars(PortText.data(), PortText.data() + PortText.size(), Port);
  if (ParseError != std::errc{} || End != PortText.data() + PortText.size())
    return Bad;

  boost::system::error_code Failure;
  const auto Ip = boost::asio::ip::make_address(std::string(Host), Failure);
  if (Failure || Ip.is_v6() != Bracketed)
    return Bad;
  return boost::asio::ip::tcp::endpoint(Ip, Port);
}

NetAddress formatAddress(const boost::asio::ip::tcp::endpoint &Endpoint) {
  const std::string Ip = Endpoint.address().to_string();
  const std::string Port = std::to_string(Endpoint.port());
  return NetAddress(Endpoint.address().is_v6() ? "[" + Ip + "]:" + Port : Ip + ":" + Port);
}

} // namespace rattancart
