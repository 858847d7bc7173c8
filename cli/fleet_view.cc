// The processes' own follower of the store does the reading, so that the tool
// believes what they would believe.
#include "cli/fleet_view.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "base/random.h"
#include "daemon/store_follower.h"

namespace goldcrestlink {

namespace {

using Json = nlohmann::ordered_json;

bool isWhole(const BeliefRevisions &R) {
  return R.Config > 0 && R.Upstreams > 0;
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

Json fleet(const Catalog &C) {
  Json Routes = Json::array();
  for (const RouteSpec &R : C.config()->Routes)
    Routes.push_back(routeJson(R));
  Json Upstreams = Json::array();
  for (const auto &[Id, U] : C.upstreams())
    Upstreams.push_back(upstreamJson(U));
  return {{"config_version", C.config()->Version},
          {"upstreams_revision", C.revisions().Upstreams},
          {"releases", C.releases().size()},
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

Catalog readFleet(const http::Endpoint &Store, Duration Longest) {
  boost::asio::io_context Io{1};
  std::string LastWords = "no answer";
  StoreFollower *Reading = nullptr;
  const auto EndIfWhole = [&] {
    if (isWhole(Reading->catalog().revisions()))
      Io.stop();
  };
  StoreFollower Follower(
      Io, Store, freshSeed(), EndIfWhole,
      [&](std::string Line) { LastWords = std::move(Line); });
  Reading = &Follower;
  boost::asio::steady_timer Limit(Io, Longest);
  Limit.async_wait([&](boost::system::error_code) { Io.stop(); });
  Follower.start();
  Io.run();
  if (!isWhole(Follower.catalog().revisions()))
    throw std::runtime_error("the store at " + Store.text() +
                             " did not tell the whole: " + LastWords);
  return Follower.catalog();
}

std::string fleetText(const Catalog &C) {
  const Json All = fleet(C);
  std::string Out;
  addLine(Out, {{"config_version", All["config_version"]},
                {"upstreams_revision", All["upstreams_revision"]},
                {"releases", All["releases"]}});
  for (const char *List : {"routes", "upstreams"})
    for (const Json &Object : All[List])
      addLine(Out, Object);
  return Out;
}

std::string fleetJson(const Catalog &C) { return fleet(C).dump(); }

} // namespace goldcrestlink
