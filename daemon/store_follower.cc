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
constexpr Duration UpstreamGather = std::chrono::milliseconds(500);
// Configurations come in quick succession at times.
constexpr Duration ChangeGather = std::chrono::milliseconds(150);
} // namespace

StoreFollower::StoreFollower(boost::asio::io_context &InIo,
                             const http::Endpoint &Address, Options O,
                             uint64_t Seed, OnChanged InChanged, OnLog InLog)
    : Io(InIo), Opts(O),
      Store(InIo, Address,
            platform::StoreClient::Options().setStaleLists(O.staleLists()),
            Seed),
      Timer(InIo), Changed(std::move(InChanged)), Log(std::move(InLog)) {}

void StoreFollower::start() {
  using platform::StoreObject;
  Store.onContact(
      [this](bool Reached, std::string_view Why) { onContact(Reached, Why); });
  Store.follow(platform::kinds::Config,
               {[this](uint64_t, const std::vector<StoreObject> &List) {
                  for (const StoreObject &O : List)
                    onConfigObject(O);
                },
                [this](const StoreObject &O) { onConfigObject(O); },
                {},
                ChangeGather});
  if (Opts.upstreams())
    Store.follow(
        platform::kinds::Upstreams,
        {[this](uint64_t Revision, const std::vector<StoreObject> &List) {
           onUpstreams(Revision, List);
         },
         [this](const StoreObject &O) { onUpstream(O); },
         [this] { Believed.onStoreRegained(presentTime().Steady); }});
  Store.follow(platform::kinds::Releases,
               {[this](uint64_t, const std::vector<StoreObject> &List) {
                  for (const StoreObject &O : List)
                    onRelease(O);
                },
                [this](const StoreObject &O) { onRelease(O); },
                {},
                ChangeGather});
}

void StoreFollower::onConfigObject(const platform::StoreObject &O) {
  if (O.Removed || O.Content.empty())
    return;
  try {
    auto Config =
        std::make_shared<DeploymentConfig>(platform::decodeConfig(O.Content));
    const uint64_t Version = Config->Version;
    const size_t Routes = Config->Routes.size();
    if (!Believed.applyConfig(std::move(Config)))
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
  const auto Old = Believed.upstreams().find(O.Name);
  const bool Same = R ? Old != Believed.upstreams().end() && Old->second == *R
                      : Old == Believed.upstreams().end();
  Believed.applyUpstream(presentTime().Steady, O.Revision, O.Name,
                         R ? &*R : nullptr);
  if (Same)
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
  const auto R = platform::decodeRelease(O.Content);
  if (!R) {
    Log("release object=" + O.Name + " outcome=unreadable");
    return;
  }
  if (!Believed.applyRelease(*R))
    return;
  Log("release model=" + R->Model + " adapter=" + R->Adapter + " version=" +
      std::to_string(R->Version) + " revision=" + std::to_string(O.Revision));
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
