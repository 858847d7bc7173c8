// A Forwarder with a small deployment and a port that records its actions.
//
//   Entry E;
//   E.call("/stream/x");
//   E.replyAdmission(2);
//   E.answer(10, Entry::head(200), "id: 1\n\n");
//   CHECK(E.Port.Status == 200);
#ifndef GOLDCRESTLINK_FORWARD_TESTING_FORWARDER_HARNESS_H
#define GOLDCRESTLINK_FORWARD_TESTING_FORWARDER_HARNESS_H

#include <algorithm>

#include "forward/forwarder.h"

namespace goldcrestlink::forward::testing {

inline Time at(int64_t Ms) {
  return Time(std::chrono::milliseconds(100000 + Ms));
}

inline RouteSpec route(const char *Prefix, const char *Service,
                       Repeatability Repeat, bool Streaming,
                       uint32_t Attempts) {
  RouteSpec R;
  R.Name = Prefix;
  R.Host = "h";
  R.PathPrefix = Prefix;
  R.Repeat = Repeat;
  R.Streaming = Streaming;
  R.MaxAttempts = Attempts;
  R.Rank = Repeat == Repeatability::ResumableStream ? 2 : 0;
  R.Timeout = std::chrono::milliseconds(5000);
  R.Objective = std::chrono::milliseconds(1000);
  R.MaxPause = std::chrono::milliseconds(300);
  R.Targets = {{Service, 1}};
  return R;
}

inline UpstreamRecord upstream(const char *Id, const char *Service) {
  UpstreamRecord U;
  U.Id = Id;
  U.Service = Service;
  U.Address = {"10.0.0.1", 80};
  U.Slots = 6;
  U.SoftwareVersion = "v1";
  return U;
}

inline std::shared_ptr<Catalog>
deployment(std::vector<OrganisationSpec> Organisations = {},
           uint64_t Version = 1) {
  auto Config = std::make_shared<DeploymentConfig>();
  Config->Version = Version;
  Config->Organisations = std::move(Organisations);
  Config->Routes = {
      route("/once/", "plain", Repeatability::AtMostOnce, false, 2),
      route("/read/", "plain", Repeatability::Idempotent, false, 2),
      route("/stream/", "engines", Repeatability::AtMostOnce, true, 2),
      route("/resume/", "engines", Repeatability::ResumableStream, true, 2)};
  ServiceSpec Plain;
  Plain.Name = "plain";
  ServiceSpec Engines;
  Engines.Name = "engines";
  Engines.IsEngine = true;
  Config->Services = {Plain, Engines};
  auto C = std::make_shared<Catalog>();
  C->applyConfig(Config, "");
  uint64_t Revision = 1;
  for (const char *Id : {"p1", "p2"}) {
    const UpstreamRecord U = upstream(Id, "plain");
    C->applyUpstream(at(0), {1, Revision++}, Id, &U);
  }
  for (const char *Id : {"e1", "e2", "e3"}) {
    const UpstreamRecord U = upstream(Id, "engines");
    C->applyUpstream(at(0), {1, Revision++}, Id, &U);
  }
  return C;
}

// Records the actions that a Forwarder requests.
struct Recorder : ForwardPort {
  struct Sent {
    SendId Id;
    SendOptions SendOpts;
  };
  struct SentAdmission {
    std::string Upstream;
    AdmissionRequest Request;
  };

  void requestAdmission(const UpstreamRecord &Engine,
                        const AdmissionRequest &Request) override {
    Admissions.push_back({Engine.Id, Request});
  }
  void endAdmission(const UpstreamRecord &, uint64_t AdmissionId,
                    Duration) override {
    EndedAdmissions.insert(AdmissionId);
  }
  void onSideTimeout(const UpstreamRecord &) override { ++SilentSides; }
  void send(SendId S, const IncomingCall &, const SendOptions &T) override {
    Sends.push_back({S, T});
  }
  void cancelSend(SendId) override { ++Cancelled; }
  void answerInFull(uint64_t, unsigned NewStatus, const http::Headers &,
                    std::string Text) override {
    Status = NewStatus;
    Body = std::move(Text);
    ++Ends;
  }
  void answerBegin(uint64_t, unsigned NewStatus,
                   const http::Headers &) override {
    Status = NewStatus;
  }
  void answerData(uint64_t, std::string Part) override { Body += Part; }
  void answerEnd(uint64_t) override { ++Ends; }
  void answerAbort(uint64_t) override {
    Aborted = true;
    ++Ends;
  }
  void answerWithError(uint64_t, unsigned NewStatus, std::string_view,
                       Duration After, EndReason Why) override {
    Status = NewStatus;
    RetryAfter = After;
    Reason = Why;
    ++Ends;
  }
  void shareLimit(const UpstreamRecord &, double PerSecond) override {
    Limit = PerSecond;
  }
  void shareLeaving(const UpstreamIncarnation &U) override {
    Leaving.push_back(U);
  }
  void recordOrigin(uint64_t Attempt, const StreamOrigin &Origin) override {
    Origins[Attempt] = Origin;
  }
  size_t requestOrigin(const OriginQuery &Query, size_t Keepers) override {
    Queries.push_back(Query);
    return std::min(Keepers, Sides);
  }
  void probe(const UpstreamRecord &Upstream) override {
    Probes.push_back(Upstream.Id);
  }
  void shareCrash(const CrashReport &Report) override {
    Reports.push_back(Report);
  }
  void shareOutput(std::span<const TraitOutput> New) override {
    Outputs.insert(Outputs.end(), New.begin(), New.end());
  }
  void shareVerdicts(std::span<const TraitVerdict> New) override {
    Verdicts.assign(New.begin(), New.end());
  }
  void log(LogClass, std::string Line) override {
    LastLine = Line;
    Lines.push_back(std::move(Line));
  }
  void record(uint32_t, std::string_view, Duration, Duration) override {}
  void recordPause(uint32_t, Duration Longest, Duration MaxPause) override {
    RecordedPauses.push_back({Longest, MaxPause});
  }

  std::vector<SentAdmission> Admissions;
  std::vector<Sent> Sends;
  std::set<uint64_t> EndedAdmissions;
  std::vector<std::string> Probes;
  double Limit = -1;
  // Number of sides that can be asked for an origin.
  size_t Sides = 2;
  std::map<uint64_t, StreamOrigin> Origins;
  std::vector<OriginQuery> Queries;
  std::vector<UpstreamIncarnation> Leaving;
  std::vector<CrashReport> Reports;
  std::vector<TraitOutput> Outputs;
  std::vector<TraitVerdict> Verdicts;
  std::vector<std::pair<Duration, Duration>> RecordedPauses;
  std::string LastLine;
  std::vector<std::string> Lines;
  unsigned Status = 0;
  std::string Body;
  Duration RetryAfter{};
  EndReason Reason = EndReason::NoConfig;
  bool Aborted = false;
  int Ends = 0;
  int Cancelled = 0;
  int SilentSides = 0;
};

struct Entry {
  explicit Entry(const Forwarder::Options &O = {},
                 const std::shared_ptr<Catalog> &Known = deployment())
      : Machine(O, Port, 7) {
    Machine.onCatalog(at(0), Known);
    Machine.onSideState(at(0));
    Machine.onCurrentCatalog(at(0));
  }

  static IncomingCall incoming(const std::string &Target,
                               int64_t TimeLeftMs = 10000,
                               std::vector<uint64_t> Parts = {}) {
    IncomingCall C;
    C.RequestId = "r1";
    C.Method = "POST";
    C.Host = "h";
    C.Target = Target;
    C.TimeLeft = std::chrono::milliseconds(TimeLeftMs);
    C.Inference = {"m", "a1", 500, 50, std::move(Parts)};
    return C;
  }

  void call(const std::string &Target, int64_t TimeLeftMs = 10000,
            std::vector<uint64_t> Parts = {}, uint64_t Id = 1) {
    Machine.onCall(at(1), Id, incoming(Target, TimeLeftMs, std::move(Parts)));
  }

  void replyAdmission(int64_t Ms, Verdict V = Verdict::Go) {
    AdmissionReply R;
    R.Decision = V;
    R.Version = 1;
    R.Expected = std::chrono::milliseconds(400);
    R.ObservesPauses = ObservesPauses;
    const Recorder::SentAdmission &A = Port.Admissions.back();
    Machine.onAdmission(at(Ms), A.Upstream, A.Request.Id, R);
  }

  static AnswerHead head(unsigned Status, bool NotRun = false) {
    AnswerHead H;
    H.Status = Status;
    H.NotRun = NotRun;
    H.Signed = !NotRun;
    H.EventStream = Status == 200;
    return H;
  }

  void answer(int64_t Ms, const AnswerHead &H, const std::string &Body) {
    const SendId S = Port.Sends.back().Id;
    Machine.onHead(at(Ms), S, H);
    if (!Body.empty())
      Machine.onData(at(Ms), S, Body);
    Machine.onDone(at(Ms), S);
  }

  /// The first send of a resumable stream breaks after event 1, and the stream
  /// is sent to another upstream.
  void breakAfterEvent1() {
    call("/resume/x");
    replyAdmission(2);
    const SendId First = Port.Sends.back().Id;
    Machine.onHead(at(5), First, head(200));
    Machine.onData(at(6), First, "id: 1\n\n");
    failSend(10);
    replyAdmission(12);
  }

  void failSend(int64_t Ms, SendError E = SendError::Broken) {
    Machine.onError(at(Ms), Port.Sends.back().Id, E, "reset");
  }

  // Whether sides report the pauses of their engines.
  bool ObservesPauses = true;
  Recorder Port;
  Forwarder Machine;
};

} // namespace goldcrestlink::forward::testing

#endif // GOLDCRESTLINK_FORWARD_TESTING_FORWARDER_HARNESS_H
