// A table maps each section name to the function that reads it; FieldReader
// checks the keys. Linear in the text.
#include "config/settings.h"

#include <fstream>
#include <iterator>

#include "config/field_reader.h"
#include "routing/candidate_choice.h"

namespace goldcrestlink {

namespace {

void readEndpoints(FieldReader &F, const char *Key,
                   std::vector<http::Endpoint> &Out, Need Presence) {
  std::vector<std::string> Words;
  F.words(Key, Words, Presence);
  for (const std::string &Word : Words) {
    try {
      Out.push_back(http::Endpoint::parse(Word));
    } catch (const std::invalid_argument &Bad) {
      F.problem(std::string("'") + Key + "': " + Bad.what(), Key);
    }
  }
}

void readProcess(FieldReader &F, Settings &Out) {
  std::string RoleName;
  F.text("role", RoleName, Need::Required);
  if (RoleName != "entry" && RoleName != "side")
    F.problem("'role' must be entry or side", "role");
  Out.ProcessRole = RoleName == "side" ? Role::Side : Role::Entry;
  F.text("instance", Out.InstanceName, Need::Required);
  F.text("data_center", Out.DataCenter, Need::Required);
  Out.Cell = Out.DataCenter;
  F.text("cell", Out.Cell);
  F.endpoint("listen", Out.Listen, Need::Required);
  F.text("source_address", Out.SourceAddress);
  F.integer("traffic_threads", Out.TrafficThreads, 1, 64);
  F.millis("drain_timeout_ms", Out.DrainTimeout, 0, 3600000);
  F.integer("log_lines_per_second", Out.LogLinesPerSecond, 1, 1000000);
}

void readSide(FieldReader &F, Settings &Out) {
  F.text("upstream", Out.Upstream, Need::Required);
  F.endpoint("listen", Out.SideListen, Need::Required);
}

void readPlatform(FieldReader &F, Settings &Out) {
  readEndpoints(F, "endpoints", Out.Platform, Need::Required);
  readEndpoints(F, "peers", Out.Peers, Need::Optional);
}

void readLimits(FieldReader &F, Settings &Out) {
  F.integer("max_body_bytes", Out.MaxBodyBytes, 1024, 64 * 1024 * 1024);
  F.integer("max_header_bytes", Out.MaxHeaderBytes, 1024, 1024 * 1024);
  F.integer("max_connections", Out.MaxConnections, 1, 1000000);
  F.integer("max_requests", Out.MaxRequestsInProgress, 1, 1000000);
  F.integer("memory_mb", Out.Fleet.MemoryMb, 0, 1000000000);
  F.boolean("hold_output", Out.Fleet.HoldOutput);
}

void readStrategy(FieldReader &F, Settings &Out) {
  F.text("routing", Out.Routing);
  F.boolean("share_ranks", Out.ShareRanks);
  F.boolean("brokered_loads", Out.BrokeredLoads);
  F.boolean("evict_by_recency", Out.EvictByRecency);
  if (!findChoiceStrategy(Out.Routing))
    F.problem("'routing' is not a known strategy", "routing");
}

void readStore(FieldReader &F, Settings &Out) {
  F.endpoint("address", Out.Fleet.Store, Need::Required);
}

void readFleet(FieldReader &F, Settings &Out) {
  FleetSettings &S = Out.Fleet;
  F.text("address", S.Address, Need::Required);
  F.integer("link_port", S.LinkPort, 1, 65535, Need::Required);
  F.integer("metrics_port", S.MetricsPort, 0, 65535);
  F.endpoint("ready_listen", S.ReadyListen);
  readEndpoints(F, "peers", S.Peers, Need::Optional);
  F.endpoint("engine", S.Engine);
  F.text("service", S.Service);
}

void readBounds(FieldReader &F, Settings &Out) {
  FleetSettings &S = Out.Fleet;
  double WindowSeconds = seconds(S.RetryWindow);
  double StopSeconds = seconds(S.StopTimeout);
  F.number("retry_ratio", S.RetryRatio, 0, 10);
  F.number("retry_slack", S.RetrySlack, 0, 1e9);
  F.number("retry_window_s", WindowSeconds, 0.1, 3600);
  F.number("stop_s", StopSeconds, 0.5, 3600);
  F.millis("drain_ms", S.DrainTime, 1, 3600000);
  F.boolean("revoke_strict", S.RevokeStrict);
  F.millis("revoke_ms", S.RevokeTime, 1000, 3600000);
  F.millis("config_apply_ms", S.ConfigApplyTime, 1, 3600000);
  double QuotaSeconds = seconds(S.QuotaWindow);
  F.number("quota_window_s", QuotaSeconds, 0.1, 3600);
  F.number("quota_excess", S.QuotaExcess, 0, 10);
  F.number("quota_slack", S.QuotaSlack, 0, 1e12);
  S.QuotaWindow = fromSeconds(QuotaSeconds);
  S.RetryWindow = fromSeconds(WindowSeconds);
  S.StopTimeout = fromSeconds(StopSeconds);
}

struct SectionRow {
  const char *Kind;
  void (*Read)(FieldReader &, Settings &);
};

constexpr SectionRow SectionRows[] = {
    {"process", readProcess},   {"side", readSide},
    {"platform", readPlatform}, {"limits", readLimits},
    {"store", readStore},       {"fleet", readFleet},
    {"bounds", readBounds},     {"strategy", readStrategy}};

} // namespace

Settings parseSettings(const std::string &File, std::string_view Text) {
  FindingList Findings;
  Settings Out;
  bool HasProcess = false;
  bool HasSide = false;
  bool HasPlatform = false;
  bool HasStore = false;
  bool HasFleet = false;
  for (const IniSection &S : readIni(File, Text, Findings)) {
    const SectionRow *Found = nullptr;
    for (const SectionRow &Row : SectionRows)
      if (S.Kind == Row.Kind)
        Found = &Row;
    if (!Found || !S.Name.empty()) {
      Findings.add({File, S.Line}, "unknown section [" + S.Kind + "]");
      continue;
    }
    HasProcess |= S.Kind == "process";
    HasSide |= S.Kind == "side";
    HasPlatform |= S.Kind == "platform";
    HasStore |= S.Kind == "store";
    HasFleet |= S.Kind == "fleet";
    FieldReader F(File, S, Findings);
    Found->Read(F, Out);
    F.finish();
  }
  if (!HasProcess)
    Findings.add({File, 0}, "section [process] is missing");
  if (!HasPlatform && !HasStore)
    Findings.add({File, 0}, "section [platform] is missing, and so is [store]");
  if (HasStore && !HasFleet)
    Findings.add({File, 0}, "section [store] needs section [fleet]");
  if (Out.ProcessRole == Role::Side && !HasSide && !HasStore)
    Findings.add({File, 0}, "role side needs section [side]");
  if (!Findings.empty())
    throw FindingError(Findings);
  return Out;
}

Settings loadSettings(const std::string &File) {
  std::ifstream In(File, std::ios::binary);
  if (!In) {
    FindingList Findings;
    Findings.add({File, 0}, "cannot be read");
    throw FindingError(Findings);
  }
  const std::string Text((std::istreambuf_iterator<char>(In)),
                         std::istreambuf_iterator<char>());
  return parseSettings(File, Text);
}

std::string defaultSettingsText() {
  const Settings Defaults;
  std::string Out;
  Out += "[process]\n; entry or side; required\nrole = entry\n"
         "; required\ninstance = entry-1\n; required\ndata_center = dc-1\n"
         "; defaults to the data centre\ncell = dc-1\n";
  Out += "listen = " + Defaults.Listen.text() + "\n";
  Out += "; local address for connections to sides\n"
         ";source_address = 127.0.0.1\n";
  Out += "traffic_threads = " + std::to_string(Defaults.TrafficThreads) + "\n";
  Out += "drain_timeout_ms = " +
         std::to_string(Defaults.DrainTimeout.count() / 1000) + "\n";
  Out +=
      "log_lines_per_second = " + std::to_string(Defaults.LogLinesPerSecond) +
      "\n";
  Out += "\n; role side only\n;[side]\n;upstream = engine-1\n;listen = " +
         Defaults.SideListen.text() + "\n";
  Out +=
      "\n[platform]\n; required\nendpoints = 127.0.0.1:9000\n"
      "; sides to request the configuration from while the platform is down\n"
      ";peers = 127.0.0.1:7000\n";
  Out +=
      "\n[limits]\nmax_body_bytes = " + std::to_string(Defaults.MaxBodyBytes) +
      "\nmax_header_bytes = " + std::to_string(Defaults.MaxHeaderBytes) +
      "\nmax_connections = " + std::to_string(Defaults.MaxConnections) +
      "\nmax_requests = " + std::to_string(Defaults.MaxRequestsInProgress) +
      "\n";
  Out += "\n; values other than these are for comparison only\n[strategy]\n"
         "; adaptive, random, least_loaded or consistent_hash\n"
         "routing = adaptive\nshare_ranks = yes\nbrokered_loads = yes\n"
         "evict_by_recency = no\n";
  return Out;
}

} // namespace goldcrestlink
