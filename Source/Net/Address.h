#pragma once

#include "Core/Common/Result.h"
#include "Core/Membership/Endpoint.h"

#include <boost/asio/ip/tcp.hpp>

namespace rattancart {

/// Parses "IP:PORT" or "[IPv6]:PORT". Host names are not resolved. Errors: BadAddress. Thread-safe.
Result<boost::asio::ip::tcp::endpoint> parseAddress(const NetAddress &Address);
/// Returns a TCP endpoint as "IP:PORT" or "[IPv6]:PORT". Thread-safe.
NetAddress formatAddress(const boost::asio::ip::tcp::endpoint &Endpoint);

} // namespace rattancart
