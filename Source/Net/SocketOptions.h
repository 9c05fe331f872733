#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace rattancart {

/// Makes the kernel end a connection whose peer no longer acknowledges: unacknowledged data and
/// unanswered keep-alive probes both end it after a few seconds. A peer behind a partition answers
/// neither with a reset. Thread-safe.
void setDeadPeerTimeouts(boost::asio::ip::tcp::socket &Socket);

} // namespace rattancart
