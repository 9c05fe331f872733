#include "Gateway/GatewayGauges.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

namespace rattancart {

namespace {

double seconds(Duration Time) { return std::chrono::duration<double>(Time).count(); }

const char *stateName(const EndpointRecord &Record, TimePoint Now) {
  if (Record.MissingUntil_)
    return "missing";
  if (Record.Listing_.State_ != EndpointState::Live)
    return "leaving";
  if (Record.addressTaken(Now))
    return "address_taken";
  if (Record.silent(Now))
    return "silent";
  return Record.declines(Now) ? "declining" : "live";
}

} // namespace

void GaugeText::add(std::string_view Name, double Value, const std::vector<GaugeLabel> &Labels) {
  if (Last_ != Name)
    fmt::format_to(std::back_inserter(Text_), "# TYPE {}{} gauge\n", Prefix_, Name);
  Last_ = Name;
  std::string Listed;
  for (const GaugeLabel &Label : Labels)
    Listed += fmt::format("{}{}=\"{}\"", Listed.empty() ? "" : ",", Label.Name_, Label.Value_);
  fmt::format_to(std::back_inserter(Text_), "{}{}{} {}\n", Prefix_, Name,
                 Listed.empty() ? Listed : "{" + Listed + "}", Value);
}

void addEndpointGauges(GaugeText &Gauges, const EndpointRoster &Roster, TimePoint Now) {
  struct Key {
    std::string DataCenterName_;
    std::string State_;
    auto operator<=>(const Key &) const = default; // NOLINT
  };
  std::map<Key, std::size_t> Counts;
  std::map<std::string, Duration> OldestReport;
  for (const auto &[Id, Record] : Roster.all()) {
    const std::string &DataCenter = Record.Listing_.DataCenter_.str();
    ++Counts[{DataCenter, stateName(Record, Now)}];
    if (Record.reported() && Roster.takesWork(Record, Now))
      OldestReport[DataCenter] = std::max(OldestReport[DataCenter], Now - Record.ReportedAt_);
  }
  for (const auto &[Of, Count] : Counts)
    Gauges.add("endpoints", static_cast<double>(Count),
               {{"data_center", Of.DataCenterName_}, {"state", Of.State_}});
  for (const auto &[DataCenter, Age] : OldestReport)
    Gauges.add("report_age_seconds", seconds(Age), {{"data_center", DataCenter}});
}

void addSlowStartGauges(GaugeText &Gauges, const EndpointSlowStart &SlowStart) {
  if (!SlowStart.enabled())
    return;
  Gauges.add("endpoints_warming", static_cast<double>(SlowStart.warmingCount()));
  SlowStart.visitWarming([&](const EndpointId &Id, double Window) {
    Gauges.add("slow_start_window", Window, {{"endpoint", Id.str()}});
  });
}

void addServingGauges(GaugeText &Gauges, const ConfigHolder &Config, const EndpointRoster &Roster,
                      const PathChooser &Paths, const RetryShare &Retries, TimePoint Now) {
  const ServingIndexPtr &Current = Config.current();
  if (!Current)
    return;
  Gauges.add("config_revision", static_cast<double>(Current->config().Revision_.value()));
  Gauges.add("config_age_seconds", seconds(Now - Config.changedAt()));
  for (const ServingService &Service : Current->config().Services_)
    Gauges.add("retry_budget_left", Retries.left(Service.Id_, Now),
               {{"service", Service.Id_.str()}});
  for (const ServingService &Service : Current->config().Services_)
    Gauges.add("retry_budget_spent", Retries.spent(Service.Id_, Now),
               {{"service", Service.Id_.str()}});
  Gauges.add("retry_budget_gateways", Retries.processes().value_or(0));
  for (const ServingService &Service : Current->config().Services_) {
    if (!Service.Model_)
      continue;
    std::set<DataCenterId> DataCenters;
    for (const auto &[Id, Record] : Roster.all())
      if (Record.Listing_.Service_ == Service.Id_)
        DataCenters.insert(Record.Listing_.DataCenter_);
    const auto HoldingModel = Paths.dataCentersHoldingModel(*Service.Model_, Service.Id_, Now);
    for (const DataCenterId &DataCenter : DataCenters)
      Gauges.add(
          "holds_whole_model",
          std::find(HoldingModel.begin(), HoldingModel.end(), DataCenter) == HoldingModel.end() ? 0
                                                                                                : 1,
          {{"service", Service.Id_.str()}, {"data_center", DataCenter.str()}});
  }
}

void addReserveGauges(GaugeText &Gauges, const ConfigHolder &Config, const ClassReserve &Reserve,
                      TimePoint Now) {
  const ServingIndexPtr &Current = Config.current();
  if (!Current)
    return;
  for (const ServingService &Service : Current->config().Services_)
    for (std::uint32_t Class = 0; Class < Current->classCount(Service.Id_); ++Class)
      Gauges.add("memory_kept_share", Reserve.keptShare(Service.Id_, Class, Duration{}, Now),
                 {{"service", Service.Id_.str()}, {"class", std::to_string(Class)}});
}

} // namespace rattancart
