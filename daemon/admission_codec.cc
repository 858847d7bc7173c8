// Field by field; durations travel in microseconds.
#include "daemon/admission_codec.h"

#include <algorithm>

namespace goldcrestlink {

namespace {
constexpr double MinPrefillRate = 0.1;
} // namespace

wire::Envelope encodeAsk(const AdmissionAsk &A) {
  wire::Envelope E;
  wire::AdmissionAsk &M = *E.mutable_admission_ask();
  M.set_id(A.Id);
  M.set_model(A.Model);
  M.set_adapter(A.Adapter);
  M.set_version(A.Version);
  M.set_rank(A.Rank);
  M.set_prompt_tokens(A.PromptTokens);
  M.set_output_tokens(A.OutputTokens);
  M.set_patience_us(static_cast<uint64_t>(A.Patience.count()));
  M.set_time_left_us(static_cast<uint64_t>(A.TimeLeft.count()));
  M.set_prefetch(A.Prefetch);
  M.set_objective_left_us(A.ObjectiveLeft.count());
  return E;
}

AdmissionAsk decodeAsk(const wire::AdmissionAsk &M, std::string Peer) {
  AdmissionAsk A;
  A.Peer = std::move(Peer);
  A.Id = M.id();
  A.Model = M.model();
  A.Adapter = M.adapter();
  A.Version = M.version();
  A.Rank = M.rank();
  A.PromptTokens = M.prompt_tokens();
  A.OutputTokens = M.output_tokens();
  A.Patience = Duration(static_cast<int64_t>(M.patience_us()));
  A.TimeLeft = Duration(static_cast<int64_t>(M.time_left_us()));
  A.Prefetch = M.prefetch();
  A.ObjectiveLeft = Duration(M.objective_left_us());
  return A;
}

wire::Envelope encodeReply(uint64_t AskId, const AdmissionReply &R) {
  wire::Envelope E;
  wire::AdmissionReply &M = *E.mutable_admission_reply();
  M.set_id(AskId);
  M.set_verdict(R.What == Verdict::Go     ? wire::AdmissionReply::GO
                : R.What == Verdict::Wait ? wire::AdmissionReply::WAIT
                                          : wire::AdmissionReply::REFUSE);
  M.set_version(R.Version);
  M.set_expected_us(static_cast<uint64_t>(R.Expected.count()));
  M.set_only_holders(!R.TryElsewhere);
  return E;
}

AdmissionReply decodeReply(const wire::AdmissionReply &M) {
  AdmissionReply R;
  R.What = M.verdict() == wire::AdmissionReply::GO     ? Verdict::Go
           : M.verdict() == wire::AdmissionReply::WAIT ? Verdict::Wait
                                                       : Verdict::Refuse;
  R.Version = M.version();
  R.Expected = Duration(static_cast<int64_t>(M.expected_us()));
  R.TryElsewhere = !M.only_holders();
  return R;
}

wire::Envelope encodeEnd(uint64_t AskId, Duration FirstToken) {
  wire::Envelope E;
  E.mutable_admission_end()->set_id(AskId);
  E.mutable_admission_end()->set_first_token_us(
      static_cast<uint64_t>(FirstToken.count()));
  return E;
}

wire::Envelope encodeLoad(const EngineLoad &L, std::string_view UpstreamId,
                          size_t Entries) {
  wire::Envelope E;
  wire::EngineLoad &M = *E.mutable_engine_load();
  M.set_serving(L.Serving);
  for (const Duration D : L.Backlog)
    M.add_backlog_us(static_cast<uint64_t>(D.count()));
  M.set_prefill_tokens_per_s(static_cast<uint32_t>(L.PrefillRate * 1000));
  M.set_utilisation_percent(static_cast<uint32_t>(L.Utilisation * 100));
  M.set_running(L.Running);
  for (const uint32_t Hash : L.Held)
    M.add_held(Hash);
  M.set_upstream(std::string(UpstreamId));
  M.set_entries(static_cast<uint32_t>(Entries));
  return E;
}

EngineLoad decodeLoad(const wire::EngineLoad &M) {
  EngineLoad L;
  L.Serving = M.serving();
  for (size_t Row = 0; Row < BacklogRanks; ++Row)
    if (static_cast<int>(Row) < M.backlog_us_size())
      L.Backlog[Row] =
          Duration(static_cast<int64_t>(M.backlog_us(static_cast<int>(Row))));
  L.PrefillRate = std::max(MinPrefillRate, M.prefill_tokens_per_s() / 1000.0);
  L.Utilisation = M.utilisation_percent() / 100.0;
  L.Running = M.running();
  L.Held.assign(M.held().begin(), M.held().end());
  return L;
}

} // namespace goldcrestlink
