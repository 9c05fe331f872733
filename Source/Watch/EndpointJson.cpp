#include "Watch/EndpointJson.h"

#include <boost/json/object.hpp>

#include <string_view>
#include <utility>

namespace rattancart {

namespace {

std::string_view stateName(EndpointState State) {
  switch (State) {
  case EndpointState::Live:
    return "live";
  case EndpointState::Leaving:
    return "leaving";
  case EndpointState::Gone:
    break;
  }
  return "gone";
}

} // namespace

boost::json::array endpointsJson(const EndpointTable &Table, TimePoint Now) {
  boost::json::array Items;
  Table.forEach([&](const Endpoint &Known) {
    boost::json::object Item;
    Item["id"] = Known.Id_.str();
    Item["kind"] = Known.Kind_ == EndpointKind::Engine ? "engine" : "service";
    Item["address"] = Known.Address_.str();
    Item["data_center"] = Known.DataCenter_.str();
    Item["incarnation"] = Known.Incarnation_.value();
    Item["state"] = stateName(Known.State_);
    Item["silent"] = Known.Silent_;
    Item["may_take_work"] = Table.mayTakeWork(Known.Id_);
    Item["age_s"] = std::chrono::duration<double>(Now - Table.heardAt(Known.Id_)).count();
    Item["active"] = Known.Load_.Active_;
    Item["queued"] = Known.Load_.Queued_;
    if (Known.Kind_ == EndpointKind::Engine) {
      Item["model"] = Known.Model_.str();
      Item["version"] = Known.Version_.str();
      Item["layers"] = {Known.Layers_.Begin_, Known.Layers_.End_};
    } else {
      Item["service"] = Known.Service_.str();
    }
    Items.push_back(std::move(Item));
  });
  return Items;
}

} // namespace rattancart
