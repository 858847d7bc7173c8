// Copies field by field. On the wire durations are in microseconds and prefill
// rates in tokens per second.
#include "daemon/admission_codec.h"

#include <algorithm>

#include "daemon/catalog_codec.h"

namespace goldcrestlink {

namespace {
constexpr double MinPrefillTokensPerMs = 0.1;
// Rows of backlogs that are always sent: earlier builds expect three.
constexpr size_t MinBacklogRows = 3;
// A greater limit, in requests per second, is none in practice.
constexpr double MaxRate = 1e9;

uint64_t toWireRate(double PerSecond) {
  return static_cast<uint64_t>(std::min(PerSecond, MaxRate) * 1000);
}
} // namespace

wire::Envelope encodeAdmissionRequest(const AdmissionRequest &Request,
                                      uint64_t Entry) {
  wire::Envelope Out;
  wire::AdmissionAsk &Message = *Out.mutable_admission_ask();
  Message.set_id(Request.Id);
  Message.set_model(Request.Model);
  Message.set_adapter(Request.Adapter);
  if (!Request.Announced.empty()) {
    const AnnouncedVersion &Newest = Request.Announced.back();
    Message.set_version(Newest.Version);
    Message.set_version_age_us(toWireAge(Newest.Age));
    for (const AnnouncedVersion &A : Request.Announced)
      if (A.Version < Newest.Version) {
        Message.add_older_versions(A.Version);
        Message.add_older_age_us(toWireAge(A.Age));
      }
  }
  Message.set_rank(Request.Rank);
  Message.set_prompt_tokens(Request.PromptTokens);
  Message.set_output_tokens(Request.OutputTokens);
  Message.set_patience_us(static_cast<uint64_t>(Request.MaxWait.count()));
  Message.set_time_left_us(static_cast<uint64_t>(Request.TimeLeft.count()));
  Message.set_prefetch(Request.Prefetch);
  Message.set_objective_left_us(Request.ObjectiveLeft.count());
  Message.set_request(Request.Request);
  Message.set_organisation(Request.Organisation);
  Message.set_entry(Entry);
  for (const PromptPart &P : Request.Parts) {
    Message.add_part_keys(P.Key);
    Message.add_part_tokens(P.TokensToEnd);
  }
  Message.set_max_pause_us(static_cast<uint64_t>(Request.MaxPause.count()));
  return Out;
}

AdmissionRequest decodeAdmissionRequest(const wire::AdmissionAsk &Message,
                                        std::string Peer) {
  AdmissionRequest Request;
  Request.Peer = std::move(Peer);
  Request.Id = Message.id();
  Request.Model = Message.model();
  Request.Adapter = Message.adapter();
  for (int I = 0;
       I < std::min(Message.older_versions_size(), Message.older_age_us_size());
       ++I)
    Request.Announced.push_back(
        {Message.older_versions(I), fromWireAge(Message.older_age_us(I))});
  if (Message.version() > 0)
    Request.Announced.push_back(
        {Message.version(), fromWireAge(Message.version_age_us())});
  Request.Organisation = Message.organisation();
  Request.Rank = Message.rank();
  Request.PromptTokens = Message.prompt_tokens();
  Request.OutputTokens = Message.output_tokens();
  Request.MaxWait = Duration(static_cast<int64_t>(Message.patience_us()));
  Request.TimeLeft = Duration(static_cast<int64_t>(Message.time_left_us()));
  Request.Prefetch = Message.prefetch();
  Request.ObjectiveLeft = Duration(Message.objective_left_us());
  Request.Request = Message.request();
  for (int I = 0;
       I < std::min(Message.part_keys_size(), Message.part_tokens_size()); ++I)
    Request.Parts.push_back({Message.part_keys(I), Message.part_tokens(I)});
  Request.MaxPause = Duration(static_cast<int64_t>(Message.max_pause_us()));
  return Request;
}

wire::Envelope encodeReply(uint64_t RequestId, const AdmissionReply &Reply) {
  wire::Envelope Out;
  wire::AdmissionReply &Message = *Out.mutable_admission_reply();
  Message.set_id(RequestId);
  Message.set_verdict(Reply.Decision == Verdict::Go ? wire::AdmissionReply::GO
                      : Reply.Decision == Verdict::Wait
                          ? wire::AdmissionReply::WAIT
                          : wire::AdmissionReply::REFUSE);
  Message.set_version(Reply.Version);
  Message.set_expected_us(static_cast<uint64_t>(Reply.Expected.count()));
  Message.set_only_holders(!Reply.TryElsewhere);
  Message.set_engine_started_ms(Reply.EngineStartedMs);
  Message.set_observes_pauses(Reply.ObservesPauses);
  return Out;
}

wire::Envelope encodePause(uint64_t RequestId, Duration Length) {
  wire::Envelope Out;
  Out.mutable_stream_pause()->set_id(RequestId);
  Out.mutable_stream_pause()->set_pause_us(
      static_cast<uint64_t>(Length.count()));
  return Out;
}

AdmissionReply decodeReply(const wire::AdmissionReply &Message) {
  AdmissionReply Reply;
  Reply.Decision = Message.verdict() == wire::AdmissionReply::GO ? Verdict::Go
                   : Message.verdict() == wire::AdmissionReply::WAIT
                       ? Verdict::Wait
                       : Verdict::Refuse;
  Reply.Version = Message.version();
  Reply.Expected = Duration(static_cast<int64_t>(Message.expected_us()));
  Reply.TryElsewhere = !Message.only_holders();
  Reply.EngineStartedMs = Message.engine_started_ms();
  Reply.ObservesPauses = Message.observes_pauses();
  return Reply;
}

wire::Envelope encodeEnd(uint64_t RequestId, Duration FirstToken,
                         uint64_t Entry) {
  wire::Envelope Out;
  Out.mutable_admission_end()->set_id(RequestId);
  Out.mutable_admission_end()->set_entry(Entry);
  Out.mutable_admission_end()->set_first_token_us(
      static_cast<uint64_t>(FirstToken.count()));
  return Out;
}

wire::Envelope encodeLoad(const EngineLoad &Load, std::string_view UpstreamId,
                          size_t EntryCount) {
  wire::Envelope Out;
  wire::EngineLoad &Message = *Out.mutable_engine_load();
  Message.set_serving(Load.Serving);
  // Without the last rows that are equal to the one before.
  size_t Rows = BacklogRanks;
  while (Rows > 1 && Load.Backlog[Rows - 1] == Load.Backlog[Rows - 2])
    --Rows;
  for (size_t Row = 0; Row < std::max(Rows, MinBacklogRows); ++Row)
    Message.add_backlog_us(static_cast<uint64_t>(Load.Backlog[Row].count()));
  Message.set_prefill_tokens_per_s(
      static_cast<uint32_t>(Load.PrefillRate * 1000));
  Message.set_utilisation_percent(
      static_cast<uint32_t>(Load.Utilisation * 100));
  Message.set_running(Load.Running);
  Message.set_streams_on_time(Load.StreamsOnTime);
  Message.set_slowdown_risk_percent(
      static_cast<uint32_t>(Load.SlowdownRisk * 100));
  Message.set_slow_share_percent(static_cast<uint32_t>(Load.SlowShare * 100));
  Message.set_limit_per_1000_s(toWireRate(Load.RequestLimit));
  for (const uint32_t Hash : Load.Held)
    Message.add_held(Hash);
  for (const uint32_t Hash : Load.Incoming)
    Message.add_incoming(Hash);
  for (const AdapterShare &S : Load.Demand) {
    Message.add_demanded(S.Adapter);
    Message.add_demand_percent(S.Percent);
  }
  Message.set_upstream(std::string(UpstreamId));
  Message.set_entries(static_cast<uint32_t>(EntryCount));
  return Out;
}

EngineLoad decodeLoad(const wire::EngineLoad &Message) {
  EngineLoad Load;
  Load.Serving = Message.serving();
  for (size_t Rank = 0; Rank < BacklogRanks; ++Rank)
    if (static_cast<int>(Rank) < Message.backlog_us_size())
      Load.Backlog[Rank] = Duration(
          static_cast<int64_t>(Message.backlog_us(static_cast<int>(Rank))));
    else if (Rank > 0)
      Load.Backlog[Rank] = Load.Backlog[Rank - 1];
  Load.PrefillRate =
      std::max(MinPrefillTokensPerMs, Message.prefill_tokens_per_s() / 1000.0);
  Load.Utilisation = Message.utilisation_percent() / 100.0;
  Load.Running = Message.running();
  Load.StreamsOnTime = Message.streams_on_time();
  Load.SlowdownRisk = std::max(1.0, Message.slowdown_risk_percent() / 100.0);
  Load.SlowShare = std::min(1.0, Message.slow_share_percent() / 100.0);
  Load.RequestLimit = static_cast<double>(Message.limit_per_1000_s()) / 1000;
  Load.Held.assign(Message.held().begin(), Message.held().end());
  Load.Incoming.assign(Message.incoming().begin(), Message.incoming().end());
  const int Demands =
      std::min({Message.demanded_size(), Message.demand_percent_size(),
                static_cast<int>(AdapterDemand::MaxAdapters)});
  for (int I = 0; I < Demands; ++I)
    Load.Demand.push_back(
        {Message.demanded(I),
         std::min(Message.demand_percent(I), AdapterDemand::MaxPercent)});
  return Load;
}

wire::Envelope encodeLimit(std::string_view UpstreamId, double PerSecond) {
  wire::Envelope Out;
  wire::UpstreamLimit &Message = *Out.mutable_upstream_limit();
  Message.set_upstream(std::string(UpstreamId));
  Message.set_limit_per_1000_s(toWireRate(PerSecond));
  return Out;
}

double decodeLimit(const wire::UpstreamLimit &Message) {
  return static_cast<double>(Message.limit_per_1000_s()) / 1000;
}

} // namespace goldcrestlink
