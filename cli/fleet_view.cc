// Reads with the store watcher that the processes themselves use, so that the
// tool shows the catalog as they see it. Reading ends when the catalog is
// complete, or at the timeout.
#include "cli/fleet_view.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "base/random.h"
#include "config/settings.h"
#include "daemon/store_watcher.h"

namespace goldcrestlink {

namespace {

using Json = nlohmann::ordered_json;

bool isComplete(const CatalogRevisions &R) {
  return R.Config > 0 && R.Upstreams.Number > 0;
}

Json routeJson(const RouteSpec &R) {
  Json Targets = Json::object();
  for (const RouteTarget &T : R.Targets)
    Targets[T.Service] = T.Weight;
  return {{"route", R.Name},
          {"host", R.Host},
          {"path_prefix", R.PathPrefix},
          {"rank", R.Rank},
          {"timeout_ms", R.Timeout.count() / 1000},
          {"objective_ms", R.Objective.count() / 1000},
          {"max_pause_ms", R.MaxPause.count() / 1000},
          {"max_attempts", R.MaxAttempts},
          {"targets", Targets}};
}

Json upstreamJson(const UpstreamRecord &U) {
  return {{"upstream", U.Id},
          {"service", U.Service},
          {"address", U.Address.text()},
          {"data_center", U.DataCentre},
          {"state", U.Draining ? "draining" : "ready"}};
}

Json toJson(const Catalog &C) {
  Json Routes = Json::array();
  for (const RouteSpec &R : C.config()->Routes)
    Routes.push_back(routeJson(R));
  Json Upstreams = Json::array();
  for (const auto &[Id, U] : C.upstreams())
    Upstreams.push_back(upstreamJson(U));
  return {{"config_version", C.config()->Version},
          {"store_era", C.revisions().Upstreams.Era},
          {"upstreams_revision", C.revisions().Upstreams.Number},
          {"releases", C.releaseCount()},
          {"routes", Routes},
          {"upstreams", Upstreams}};
}

void addLine(std::string &Out, const Json &Object) {
  for (const auto &[Key, Value] : Object.items())
    Out += (Out.empty() || Out.back() == '\n' ? "" : " ") + Key + "=" +
           (Value.is_string() ? Value.get<std::string>() : Value.dump());
  Out += "\n";
}

} // namespace

Catalog readFleet(const http::Endpoint &Store, Duration Timeout) {
  boost::asio::io_context Io{1};
  std::string LastLogLine = "no answer";
  StoreWatcher *WatcherPtr = nullptr;
  const auto StopIfComplete = [&] {
    if (isComplete(WatcherPtr->catalog().revisions()))
      Io.stop();
  };
  StoreWatcher Watcher(
      Io, Store, FleetSettings().DrainTime, freshSeed(), StopIfComplete,
      [&](std::string Line) { LastLogLine = std::move(Line); });
  WatcherPtr = &Watcher;
  boost::asio::steady_timer Deadline(Io, Timeout);
  Deadline.async_wait([&](boost::system::error_code) { Io.stop(); });
  Watcher.start();
  Io.run();
  if (!isComplete(Watcher.catalog().revisions()))
    throw std::runtime_error(
        "the store at " + Store.text() +
        " did not send configuration and upstreams in time: " + LastLogLine);
  return Watcher.catalog();
}

std::string fleetText(const Catalog &C) {
  const Json All = toJson(C);
  std::string Out;
  addLine(Out, {{"config_version", All["config_version"]},
                {"store_era", All["store_era"]},
                {"upstreams_revision", All["upstreams_revision"]},
                {"releases", All["releases"]}});
  for (const char *List : {"routes", "upstreams"})
    for (const Json &Object : All[List])
      addLine(Out, Object);
  return Out;
}

std::string fleetJson(const Catalog &C) { return toJson(C).dump(); }

} // namespace goldcrestlink
