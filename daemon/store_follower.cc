// Changes that arrive together are announced once. Records that cannot be read
// are logged and leave the belief as it was; an upstream's unreadable record
// names no upstream to use and so removes it.
#include "daemon/store_follower.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace goldcrestlink {

namespace {
// Checks for upstreams whose grace after an outage is over.
constexpr Duration AbsenceCheck = std::chrono::milliseconds(200);
// Upstreams write every second or so, mostly what is of no interest here; a
// leaving one must be known well within the platform's two seconds.
constexpr Duration UpstreamGather = std::chrono::milliseconds(600);
// Mean time between the renewals of any entry's watch of a kind: a store that
// drops its history leaves waiting watches without news. Configurations are to
// be in force within two seconds, releases within five.
constexpr Duration ConfigRenewal = std::chrono::milliseconds(450);
constexpr Duration ReleaseRenewal = std::chrono::milliseconds(1000);
} // namespace

StoreFollower::StoreFollower(boost::asio::io_context &InIo,
                             const http::Endpoint &Address, uint64_t Seed,
                             OnChanged InChanged, OnLog InLog)
    : Io(InIo), Store(InIo, Address, platform::StoreClient::Options(), Seed),
      Timer(InIo), Changed(std::move(InChanged)), Log(std::move(InLog)) {}

void StoreFollower::start() {
  using platform::StoreObject;
  Store.onContact(
      [this](bool Reached, std::string_view Why) { onContact(Reached, Why); });
  platform::FollowHandlers Config;
  Config.OnList = [this](uint64_t Revision,
                         const std::vector<StoreObject> &List) {
    logList(platform::kinds::Config, Revision, List);
    for (const StoreObject &O : List)
      onConfigObject(O);
  };
  Config.OnChange = [this](const StoreObject &O) { onConfigObject(O); };
  Store.follow(platform::kinds::Config, std::move(Config));

  platform::FollowHandlers Upstreams;
  Upstreams.OnList = [this](uint64_t Revision,
                            const std::vector<StoreObject> &List) {
    onUpstreams(Revision, List);
  };
  Upstreams.OnChange = [this](const StoreObject &O) { onUpstream(O); };
  Upstreams.OnRegained = [this] {
    Believed.onStoreRegained(presentTime().Steady);
  };
  Upstreams.Gather = UpstreamGather;
  Store.follow(platform::kinds::Upstreams, std::move(Upstreams));

  platform::FollowHandlers Releases;
  Releases.OnList = [this](uint64_t Revision,
                           const std::vector<StoreObject> &List) {
    logList(platform::kinds::Releases, Revision, List);
    for (const StoreObject &O : List)
      onRelease(O);
  };
  Releases.OnChange = [this](const StoreObject &O) { onRelease(O); };
  Store.follow(platform::kinds::Releases, std::move(Releases));
}

void StoreFollower::setEntries(size_t Count) {
  const auto Factor = static_cast<int64_t>(Count);
  Store.setWatchTime(platform::kinds::Config, ConfigRenewal * Factor);
  Store.setWatchTime(platform::kinds::Releases, ReleaseRenewal * Factor);
}

void StoreFollower::logList(std::string_view Kind, uint64_t Revision,
                            const std::vector<platform::StoreObject> &List) {
  uint64_t Newest = 0;
  for (const platform::StoreObject &O : List)
    Newest = std::max(Newest, O.Revision);
  Log("store listed=" + std::string(Kind) + " objects=" +
      std::to_string(List.size()) + " revision=" + std::to_string(Revision) +
      " newest=" + std::to_string(Newest));
}

void StoreFollower::onConfigObject(const platform::StoreObject &O) {
  if (O.Removed || O.Content.empty())
    return;
  try {
    auto Config =
        std::make_shared<DeploymentConfig>(platform::decodeConfig(O.Content));
    const uint64_t Version = Config->Version;
    const size_t Routes = Config->Routes.size();
    if (!Believed.applyConfig(std::move(Config), O.Content))
      return;
    Log("config version=" + std::to_string(Version) + " revision=" +
        std::to_string(O.Revision) + " routes=" + std::to_string(Routes));
    changed();
  } catch (const platform::DecodeError &Bad) {
    Log("config object=" + O.Name + " outcome=unreadable why=\"" + Bad.what() +
        "\"");
  }
}

void StoreFollower::onUpstreams(
    uint64_t Revision, const std::vector<platform::StoreObject> &List) {
  std::map<std::string, UpstreamRecord> Records;
  for (const platform::StoreObject &O : List)
    if (auto R = platform::decodeUpstream(O.Name, O.Content))
      Records[O.Name] = std::move(*R);
  Log("upstreams listed=" + std::to_string(List.size()) + " usable=" +
      std::to_string(Records.size()) + " revision=" + std::to_string(Revision));
  Believed.applyUpstreams(presentTime().Steady, Revision, Records);
  changed();
  dropAbsent();
}

void StoreFollower::onUpstream(const platform::StoreObject &O) {
  std::optional<UpstreamRecord> R;
  if (!O.Removed)
    R = platform::decodeUpstream(O.Name, O.Content);
  if (!Believed.applyUpstream(presentTime().Steady, O.Revision, O.Name,
                              R ? &*R : nullptr))
    return;
  Log("upstream id=" + O.Name + " state=" +
      (R ? (R->Draining ? "draining" : "ready")
         : (O.Removed ? "removed" : "unreadable")) +
      " revision=" + std::to_string(O.Revision));
  changed();
  dropAbsent();
}

void StoreFollower::onRelease(const platform::StoreObject &O) {
  if (O.Removed)
    return;
  auto R = platform::decodeRelease(O.Content);
  if (!R) {
    Log("release object=" + O.Name + " outcome=unreadable");
    return;
  }
  R->Revision = O.Revision;
  if (!Believed.applyRelease(*R))
    return;
  Log("release model=" + R->Model + " adapter=" + R->Adapter + " version=" +
      std::to_string(R->Version) + " revision=" + std::to_string(O.Revision));
  changed();
}

void StoreFollower::onBeliefs(const BeliefUpdate &U) {
  bool Changed = Believed.applyBeliefs(presentTime().Steady, U);
  if (!U.ConfigText.empty()) {
    platform::StoreObject O;
    O.Name = "peer";
    O.Content = U.ConfigText;
    onConfigObject(O);
  }
  if (!Changed)
    return;
  Log("beliefs upstreams=" + std::to_string(U.Upstreams.size()) +
      " releases=" + std::to_string(U.Releases.size()) +
      " upstream_revision=" + std::to_string(U.AsOf.Upstreams) +
      " store=" + (InContact ? "reached" : "lost"));
  changed();
}

void StoreFollower::onContact(bool Reached, std::string_view Why) {
  InContact = Reached;
  Log(std::string("store state=") + (Reached ? "regained" : "lost") +
      " why=\"" + std::string(Why) + "\"");
}

void StoreFollower::changed() {
  if (Announced)
    return;
  Announced = true;
  boost::asio::post(Io, [this] {
    Announced = false;
    Changed();
  });
}

void StoreFollower::dropAbsent() {
  Timer.expires_after(AbsenceCheck);
  Timer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    if (Believed.onTimer(presentTime().Steady))
      changed();
    if (Believed.hasAbsent())
      dropAbsent();
  });
}

} // namespace goldcrestlink
