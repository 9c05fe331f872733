#include "Net/SocketOptions.h"

#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/socket_base.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace rattancart {

namespace {

template <int Name>
using TcpOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

/// Unacknowledged data ends a connection after this time, in ms: longer than the retransmissions
/// of a lost packet take on a lossy link, shorter than callers wait for the next event of a stream.
constexpr int UnacknowledgedMs = 3000;
/// An idle connection is probed after this time, in s; the shortest that the kernel accepts.
constexpr int ProbeAfterSeconds = 1;
constexpr int ProbeIntervalSeconds = 1;
/// Number of unanswered probes after which a connection ends.
constexpr int ProbeCount = 3;

} // namespace

void setDeadPeerTimeouts(boost::asio::ip::tcp::socket &Socket) {
  // A socket on which an option can't be set still works; it only detects a dead peer later.
  boost::system::error_code Ignored;
  Socket.set_option(boost::asio::socket_base::keep_alive(true), Ignored);
  Socket.set_option(TcpOption<TCP_USER_TIMEOUT>(UnacknowledgedMs), Ignored);
  Socket.set_option(TcpOption<TCP_KEEPIDLE>(ProbeAfterSeconds), Ignored);
  Socket.set_option(TcpOption<TCP_KEEPINTVL>(ProbeIntervalSeconds), Ignored);
  Socket.set_option(TcpOption<TCP_KEEPCNT>(ProbeCount), Ignored);
}

} // namespace rattancart
