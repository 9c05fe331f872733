#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace rattancart {

/// Makes the kernel end a connection whose peer no longer responds: after a few seconds of
/// unacknowledged data or unanswered keep-alive probes. A peer behind a network partition sends no
/// reset that would end the connection. Thread-safe.
void setDeadPeerTimeouts(boost::asio::ip::tcp::socket &Socket);

} // namespace rattancart
