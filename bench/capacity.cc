// Measures the unit costs from which docs/CAPACITY.md extrapolates: processor
// time, memory and bytes per declared adapter, per known side, per request, per
// configuration change, per permit and per lease. Each cost that depends on a
// size is measured at three sizes, so that its growth can be seen.
//
//   build/capacity
#include <cstdio>
#include <fstream>
#include <functional>
#include <sstream>

#include <unistd.h>

#include "base/hash.h"
#include "config/bundle.h"
#include "config/config_replica.h"
#include "entry/entry_state_machine.h"
#include "membership/shard_lease.h"
#include "placement/load_broker.h"
#include "routing/rendezvous.h"
#include "side/side_state_machine.h"
#include "testing/test_deployment.h"

using namespace goldcrestlink;

namespace {

std::string baseText(size_t Engines) {
  std::string Out = "[rank urgent]\npriority = 0\ntarget_ms = 4000\n"
                    "share = 0.3\n[rank bulk]\npriority = 1\n"
                    "target_ms = 45000\nshare = 0.2\n";
  for (size_t I = 0; I < Engines; ++I)
    Out += "[engine e" + std::to_string(I) +
           "]\nmodel = oak\ndata_center = d\nside = 10.0.0.1:" +
           std::to_string(1000 + I) +
           "\naddress = 10.0.0.1:" + std::to_string(20000 + I) + "\n";
  return Out;
}

std::vector<DeclarationFile> declarationFiles(size_t Engines, size_t Adapters,
                                              size_t Changed = 0) {
  std::string Text;
  for (size_t I = 0; I < Adapters; ++I)
    Text += "[adapter stave-scribe-" + std::to_string(I) +
            "]\nmodel = oak\nversions = " +
            (Changed && I == Changed ? "1 2" : "1") + "\n";
  return {{"base.ini", baseText(Engines)}, {"adapters.ini", Text}};
}

std::shared_ptr<const Declarations> parse(size_t Engines, size_t Adapters) {
  FindingList Findings;
  auto D =
      Declarations::parse(declarationFiles(Engines, Adapters), 1, Findings);
  if (!Findings.empty())
    throw FindingError(Findings);
  return D;
}

double residentMb() {
  std::ifstream In("/proc/self/statm");
  double Total = 0;
  double Resident = 0;
  In >> Total >> Resident;
  return Resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

double microsPerCall(const std::function<void()> &Do, int Times) {
  const Time Start = currentTime().Steady;
  for (int I = 0; I < Times; ++I)
    Do();
  return 1e6 * seconds(currentTime().Steady - Start) / Times;
}

void measureDeclarations() {
  std::printf("declarations: adapters, ms to check and build, MB held, chunks, "
              "mean chunk bytes, head bytes, chunks moved by one change\n");
  for (const size_t Adapters : {5000, 15000, 45000}) {
    const double Before = residentMb();
    std::shared_ptr<const Declarations> Parsed;
    const double Micros =
        microsPerCall([&] { Parsed = parse(80, Adapters); }, 3);
    const double Held = residentMb() - Before;
    const Bundle Original = packBundle(declarationFiles(80, Adapters), 1);
    const Bundle Changed =
        packBundle(declarationFiles(80, Adapters, Adapters / 2), 2);
    size_t Moved = 0;
    size_t MovedBytes = 0;
    size_t Bytes = 0;
    for (const auto &[Hash, Data] : Original.Chunks)
      Bytes += Data.size();
    for (const auto &[Hash, Data] : Changed.Chunks)
      if (!Original.Chunks.count(Hash)) {
        ++Moved;
        MovedBytes += Data.size();
      }
    std::printf("  %6zu %8.1f %7.1f %6zu %8zu %8zu %4zu (%zu bytes)\n",
                Adapters, Micros / 1000, Held, Original.Chunks.size(),
                Bytes / Original.Chunks.size(), Original.Head.text().size(),
                Moved, MovedBytes);
  }
}

// Measures the time that a process needs to activate a small change, given the
// changed chunks: it parses them and builds the declarations. Each generation
// gives a second version to one adapter and takes it from the previous one.
void measureConfigChange() {
  std::printf(
      "one changed adapter: adapters, ms to read the chunk and build\n");
  for (const size_t Adapters : {5000, 15000, 45000}) {
    ConfigReplica R;
    uint64_t Generation = 0;
    const auto ApplyChange = [&] {
      ++Generation;
      const Bundle B = packBundle(
          declarationFiles(80, Adapters, 1 + Generation * 7), Generation);
      R.offerHead(B.Head.text());
      for (const std::string &Hash : R.missing())
        R.addChunk(Hash, B.Chunks.at(Hash));
      FindingList Findings;
      const Time Start = currentTime().Steady;
      R.activatePending(Findings);
      return seconds(currentTime().Steady - Start);
    };
    ApplyChange();
    double Sum = 0;
    constexpr int Times = 5;
    for (int I = 0; I < Times; ++I)
      Sum += ApplyChange();
    std::printf("  %6zu %7.1f\n", Adapters, 1000 * Sum / Times);
  }
}

// Starts a deployment with as many adapters as the capacity target, then
// measures how long it takes until one added adapter is in force at every
// process.
void measureApply(const std::string &Programs) {
  testing::DeploymentOptions Shape;
  Shape.Engines = 4;
  Shape.Adapters = 45000;
  testing::TestDeployment Deployment(Shape, Programs,
                                     "/tmp/goldcrestlink-capacity");
  Deployment.start();
  for (uint64_t Generation = 2; Generation <= 4; ++Generation) {
    ++Deployment.Shape.Adapters;
    const Time Start = currentTime().Steady;
    Deployment.apply();
    const Time Applied = currentTime().Steady;
    while (!Deployment.allHaveGeneration(Generation))
      testing::pauseFor(5);
    std::printf("45,000 adapters, one added: tool %.2f s, then in force at "
                "all processes after %.2f s\n",
                seconds(Applied - Start),
                seconds(currentTime().Steady - Applied));
  }
}

CurrentTime timeAt(int64_t Micros) {
  return {Time(Duration(1000000 + Micros)), WallTime(Duration(1000000))};
}

void measureEntryRequests() {
  std::printf("entry: sides known, us per request routed and ended, KB held "
              "per side\n");
  for (const size_t Sides : {20, 80, 320}) {
    const auto D = parse(Sides, 1000);
    const double Before = residentMb();
    entry::EntryStateMachine Machine(
        entry::EntryStateMachine::Options().setStrategy(
            *findChoiceStrategy("consistent_hash")),
        D, "d", 1);
    int64_t Clock = 0;
    const auto RunRequest = [&] {
      const CurrentTime RequestTime = timeAt(Clock += 100);
      entry::CallerRequest R;
      R.Id = "r" + std::to_string(Clock);
      R.Adapter = "stave-scribe-" + std::to_string(Clock / 100 % 1000);
      R.Version = "1";
      entry::Actions Out;
      Machine.onRequest(RequestTime, R, Out);
      for (const entry::Action &A : entry::Actions(Out))
        if (const auto *S = std::get_if<entry::SendToSide>(&A)) {
          wire::Envelope E;
          E.mutable_event()->set_attempt_id(S->Message.attempt().attempt_id());
          E.mutable_event()->set_kind(wire::AttemptEvent::DONE);
          E.mutable_event()->set_status(200);
          for (uint64_t H = 0; H < 8; ++H)
            E.mutable_event()->mutable_state()->add_resident(H);
          Machine.onEnvelope(RequestTime, S->Upstream, E, Out);
        }
    };
    const double Micros = microsPerCall(RunRequest, 20000);
    std::printf("  %4zu %7.2f %7.2f\n", Sides, Micros,
                1000 * (residentMb() - Before) / static_cast<double>(Sides));
  }
}

void measureSideRequests() {
  std::printf("side: waiting attempts, us to admit and cancel one "
              "attempt\n");
  for (const int Waiting : {10, 100, 400}) {
    side::SideStateMachine Machine(side::SideStateMachine::Options(),
                                   parse(1, 1000), "e0", 1);
    int64_t Serial = 0;
    const auto Admit = [&](const std::string &Id) {
      wire::Envelope E;
      wire::Attempt &A = *E.mutable_attempt();
      A.set_attempt_id(Id);
      A.set_upstream("e0");
      A.set_adapter("stave-scribe-" + std::to_string(Serial % 1000));
      A.set_version("1");
      A.set_rank("bulk");
      A.set_idempotent(true);
      A.set_time_left_us(90000000);
      A.set_target_left_us(90000000);
      A.set_max_tokens(1);
      side::Actions Out;
      Machine.onEnvelope(timeAt(1), "p", E, Out);
    };
    for (int I = 0; I < Waiting; ++I)
      Admit("w" + std::to_string(++Serial));
    const auto AdmitAndCancel = [&] {
      const std::string Id = "x" + std::to_string(++Serial);
      Admit(Id);
      wire::Envelope E;
      E.mutable_cancel()->set_attempt_id(Id);
      side::Actions Out;
      Machine.onEnvelope(timeAt(2), "p", E, Out);
    };
    std::printf("  %4d %8.2f\n", Waiting, microsPerCall(AdmitAndCancel, 500));
  }
}

void measurePermits() {
  std::printf("broker: load requests waiting, us per permit granted\n");
  for (const uint64_t RequestCount : {100, 1000, 4000}) {
    LoadBroker Broker(
        LoadBroker::Options().setRate(1e6).setBurst(1).setMaxInFlight(1000000),
        {0.3, 0.2});
    int64_t Clock = 0;
    for (uint64_t I = 0; I < RequestCount; ++I)
      Broker.request(timeAt(Clock).Steady,
                     {"s" + std::to_string(I % 80), I, I % 2, 1, true, {}, {}});
    const auto GrantPermits = [&] {
      Clock += 1;
      for (const PermitRequest &Granted : Broker.grant(timeAt(Clock).Steady)) {
        Broker.release(timeAt(Clock).Steady, Granted.Side, Granted.Adapter,
                       true);
        Broker.request(timeAt(Clock).Steady, Granted);
      }
    };
    std::printf("  %5llu %8.2f\n",
                static_cast<unsigned long long>(RequestCount),
                microsPerCall(GrantPermits, 200));
  }
}

void measureLeases() {
  std::printf("shard table: members, bytes, us per renewal\n");
  for (const size_t Members : {3, 20, 80}) {
    wire::ShardTable Table;
    std::vector<ShardLease> All;
    for (size_t I = 0; I < Members; ++I) {
      All.emplace_back(ShardLease::Options()
                           .setShards(static_cast<uint32_t>(4 * Members))
                           .setDeclaredMembers(Members),
                       "side-" + std::to_string(I), I + 1);
      ShardChanges Out;
      All.back().plan(timeAt(0).Steady, Table, Out);
      All.back().onWritten(timeAt(0).Steady, timeAt(0).Steady, Table, Out);
    }
    size_t Turn = 0;
    const auto RenewLease = [&] {
      ShardLease &L = All[++Turn % Members];
      ShardChanges Out;
      L.plan(timeAt(1000).Steady, Table, Out);
      L.onWritten(timeAt(1000).Steady, timeAt(1000).Steady, Table, Out);
    };
    const double Micros = microsPerCall(RenewLease, 500);
    std::printf("  %3zu %6zu %7.2f\n", Members,
                Table.SerializeAsString().size(), Micros);
  }
}

// Size of a message on the wire, with a typical generation and two bytes of
// framing.
size_t framedSize(wire::Envelope E) {
  E.set_generation(123456);
  return wire::Envelope(E).ByteSizeLong() + 2;
}

void printMessageSizes() {
  std::printf("message bytes: ");
  wire::Envelope Poll;
  Poll.mutable_config_request();
  wire::Envelope Probe;
  Probe.mutable_probe()->set_probe_id("0123456789abcdef-1000");
  Probe.mutable_probe()->set_adapter("stave-scribe-12345");
  Probe.mutable_probe()->set_version("12");
  Probe.mutable_probe()->set_rank("standard");
  wire::Envelope Reply;
  wire::ProbeReply &R = *Reply.mutable_probe_reply();
  R.set_probe_id("0123456789abcdef-1000");
  R.set_wait_us(100000);
  R.set_victim_value(1.5);
  R.mutable_state()->set_upstream("engine-1234");
  for (uint64_t I = 0; I < 8; ++I)
    R.mutable_state()->add_resident(hash64(std::to_string(I)));
  R.mutable_state()->set_running(9);
  R.mutable_state()->set_incarnation(hash64("x"));
  wire::Envelope Permit;
  Permit.mutable_permit_request()->set_side("engine-1234");
  Permit.mutable_permit_request()->set_adapter(hash64("x"));
  Permit.mutable_permit_request()->set_priority(2);
  Permit.mutable_permit_request()->set_waiting(3);
  std::printf("poll %zu, probe %zu, probe reply %zu, permit request %zu\n",
              framedSize(Poll), framedSize(Probe), framedSize(Reply),
              framedSize(Permit));
}

// Measures the processor time of processes without requests: timers, polls,
// health checks of upstreams, and leases.
void measureIdleProcesses(const std::string &Programs) {
  constexpr int Seconds = 20;
  std::printf("idle: engine sides in the cell, %% of a core per entry, per "
              "engine side, per service side\n");
  for (const size_t Engines : {4, 8, 16}) {
    testing::DeploymentOptions Shape;
    Shape.Engines = Engines;
    Shape.Adapters = 3000;
    testing::TestDeployment Deployment(Shape, Programs,
                                       "/tmp/goldcrestlink-capacity");
    Deployment.start();
    testing::pauseFor(3000);
    const auto Used = [](const std::vector<testing::ManagedProcess> &Group) {
      double Sum = 0;
      for (const testing::ManagedProcess &M : Group)
        Sum += M.Child->processorSeconds();
      return Sum / static_cast<double>(Group.size());
    };
    const double Before[] = {Used(Deployment.Entries),
                             Used(Deployment.EngineSides),
                             Used(Deployment.ServiceSides)};
    testing::pauseFor(Seconds * 1000);
    const double After[] = {Used(Deployment.Entries),
                            Used(Deployment.EngineSides),
                            Used(Deployment.ServiceSides)};
    std::printf("  %3zu", Engines);
    for (size_t I = 0; I < 3; ++I)
      std::printf(" %5.2f", 100 * (After[I] - Before[I]) / Seconds);
    std::printf("\n  platform calls so far:");
    std::istringstream Counts(
        Deployment.admin(Deployment.Platform.Http, "/admin/counts", "GET"));
    for (std::string Line; std::getline(Counts, Line);)
      std::printf(" %s;", Line.c_str());
    std::printf("\n");
  }
}

} // namespace

int main(int Argc, char **Argv) {
  const std::string Programs = Argc > 1 ? Argv[1] : "build";
  measureDeclarations();
  measureConfigChange();
  measureEntryRequests();
  measureSideRequests();
  measurePermits();
  measureLeases();
  printMessageSizes();
  measureApply(Programs);
  measureIdleProcesses(Programs);
}
