#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"
#include "Core/Common/Result.h"
#include "Core/Membership/Endpoint.h"
#include "Net/HttpClient.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace rattancart {

/// One record of a stream.
struct LogRecord {
  LogOffset Offset_ = NoOffset;
  std::string Body_;
};

/// The result of reading a stream.
struct LogPage {
  /// The oldest offset that the log still holds.
  LogOffset First_{0};
  /// The offset that the next appended record gets.
  LogOffset Next_{0};
  std::vector<LogRecord> Records_;
};

/// One entry of the platform's instance list.
struct ListedInstance {
  enum class Kind : std::uint8_t { Engine, Service, Entry };
  EndpointId Id_;
  Kind Kind_ = Kind::Service;
  NetAddress Address_;
  DataCenterId DataCenter_;
  bool Leaving_ = false;
  Incarnation Incarnation_{0};
  ServiceId Service_;
};

struct InstanceList {
  std::uint64_t Version_ = 0;
  std::vector<ListedInstance> Instances_;
};

/// The platform's append-only log. Not thread-safe; Done is called on the event loop.
class LogService {
public:
  virtual ~LogService() = default;
  /// Appends a record. Errors: AppendUnknown if the record may have been appended,
  /// PlatformUnreachable if no byte of the request was handed to a connection.
  virtual void append(const std::string &Stream, std::string Body,
                      std::function<void(Result<LogOffset>)> Done) = 0;
  /// Reads at most Max records, starting at offset From. If there are none yet, waits up to Wait
  /// for the first. Errors: OffsetTrimmed, PlatformUnreachable, PlatformSlow, PlatformMalformed.
  virtual void read(const std::string &Stream, LogOffset From, std::size_t Max, Duration Wait,
                    std::function<void(Result<LogPage>)> Done) = 0;
};

/// The platform's list of instances, which may be out of date. Not thread-safe.
class InstanceListService {
public:
  virtual ~InstanceListService() = default;
  /// Errors: PlatformUnreachable, PlatformSlow, PlatformMalformed.
  virtual void list(std::function<void(Result<InstanceList>)> Done) = 0;
};

/// HTTP client of the platform's log and instance list; docs/PROTOCOLS.md describes the protocol.
class HttpLogClient final : public LogService, public InstanceListService {
public:
  /// Precondition: Client outlives this object. Each request takes at most Timeout, plus
  /// the Wait of a read.
  HttpLogClient(HttpClient &Client, NetAddress Address, Duration Timeout);

  void append(const std::string &Stream, std::string Body,
              std::function<void(Result<LogOffset>)> Done) override;
  void read(const std::string &Stream, LogOffset From, std::size_t Max, Duration Wait,
            std::function<void(Result<LogPage>)> Done) override;
  void list(std::function<void(Result<InstanceList>)> Done) override;

private:
  HttpClient &Client_;
  NetAddress Address_;
  Duration Timeout_;
};

} // namespace rattancart
