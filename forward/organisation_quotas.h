// The quotas of organisations at one entry: admits the entry's share of each
// quota, which it learns from the sides that add up the demand at all entries.
// The arithmetic is in docs/design/10-quotas.md.
//
//   Quotas.setOrganisations(Now, Config.Organisations);
//   for (auto &[Side, Report] : Quotas.reports(Now, Sides)) ...  // each 10 ms
//   Quotas.onTotals(Now, Side, Totals);
//   Decision D = Quotas.admit(Now, Name, Cost);
//   if (D.Result == Outcome::Pending) ...        // until takeDecided() names
//   it
#ifndef GOLDCRESTLINK_FORWARD_ORGANISATION_QUOTAS_H
#define GOLDCRESTLINK_FORWARD_ORGANISATION_QUOTAS_H

#include <array>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admission/quota_ledger.h"
#include "catalog/types.h"

namespace goldcrestlink::forward {

/// What \p Inference costs its organisation under \p Quota, in its units.
/// Thread-safe.
double quotaCost(const QuotaSpec &Quota, uint32_t PromptTokens,
                 uint32_t OutputTokens);

/// \p Quota as a bucket that permits in each \p Window what the quota does, the
/// burst included: the burst is spread over the window instead of being
/// available once. Thread-safe.
QuotaSpec quotaPerWindow(const QuotaSpec &Quota, Duration Window);

/// The same for the quota of each organisation. Thread-safe.
std::vector<OrganisationSpec>
withQuotasPerWindow(std::span<const OrganisationSpec> Organisations,
                    Duration Window);

/// Not thread-safe.
class OrganisationQuotas {
public:
  class Options {
  public:
    Duration window() const { return Window; }
    double excess() const { return Excess; }
    double slack() const { return Slack; }
    Options &setWindow(Duration Length) {
      Window = Length;
      return *this;
    }
    Options &setExcess(double Share) {
      Excess = Share;
      return *this;
    }
    Options &setSlack(double Units) {
      Slack = Units;
      return *this;
    }

  private:
    // The bound is (rate x Window + burst) x (1 + Excess) + Slack.
    Duration Window = std::chrono::seconds(8);
    double Excess = 0.1;
    double Slack = 0;
  };

  /// Why a request was rejected.
  enum class Limit { None, Bucket, Debt };

  enum class Outcome {
    Admitted,
    Rejected,
    /// The sides are asked whether the debts of all entries leave room for the
    /// request; takeDecided() says so within ConfirmTimeout.
    Pending
  };

  struct Decision {
    Outcome Result = Outcome::Admitted;
    /// Identifies a pending request; 0 for others.
    uint64_t Ticket = 0;
    /// Time until the request would be admitted.
    Duration Wait{};
    // Inputs of the decision, for the log.
    Limit By = Limit::None;
    double Level = 0;
    double Capacity = 0;
    /// Of the rate.
    double Share = 0;
    double Total = 0;
    double TotalDebt = 0;
    /// Since the report that the total answers; zero on the floor.
    Duration TotalAge{};
    bool OnFloor = false;
  };

  struct Counters {
    uint64_t Admitted = 0;
    uint64_t Rejected = 0;
    uint64_t GivenBack = 0;
    /// Decisions that were taken without a recent total.
    uint64_t OnFloor = 0;
  };

  /// \p Entry identifies this process at the sides.
  OrganisationQuotas(Options O, uint64_t Entry) : Opts(O), Entry(Entry) {}

  /// Replaces the limits; they take effect at once. Tokens that no longer fit
  /// are lost. Organisations without a limit are not kept.
  void setOrganisations(Time Now, std::span<const OrganisationSpec> All);
  /// Charges a request to its organisation, unless it is over the share of this
  /// entry. Organisations without a limit are always admitted.
  Decision admit(Time Now, std::string_view Organisation, double Cost);
  /// The decisions on pending requests that have been taken since the last
  /// call.
  std::vector<Decision> takeDecided(Time Now);
  /// The caller of a pending request has left.
  void cancel(Time Now, uint64_t Ticket);
  /// The process stood still, perhaps with a clock that did too: no answer to
  /// an earlier report counts.
  void onStall(Time Now);
  /// Returns the tokens of an admitted request that has not run.
  void giveBack(Time Now, std::string_view Organisation, double Cost);
  /// The reports that are due, by the address of the side. To be called every
  /// few milliseconds; pending requests wait for it.
  std::map<std::string, QuotaReport>
  reports(Time Now, std::span<const std::string> Sides);
  /// A side's answer. Answers to reports that are a term old are ignored.
  void onTotals(Time Now, std::string_view Side, const QuotaTotals &Totals);

  const Counters &counters() const { return Counts; }
  size_t size() const { return Organisations.size(); }

  static constexpr Duration ReportInterval = std::chrono::milliseconds(200);
  /// For the answers of the sides to a pending request. A round trip takes a
  /// few milliseconds; without any answer the request is rejected.
  static constexpr Duration ConfirmTimeout = std::chrono::milliseconds(80);
  /// More pending requests are rejected.
  static constexpr size_t MaxPending = 256;
  /// Sides that add up the demand of an organisation.
  static constexpr size_t Keepers = 2;

private:
  // A term of reports that are 10 ms apart.
  static constexpr size_t RoundsKept = 128;

  struct Answer {
    uint64_t Side = 0;
    uint64_t Round = 0;
    // When the report was sent.
    Time SentAt{};
    double Total = 0;
    double TotalDebt = 0;
    uint32_t Entries = 1;
    uint32_t SilentEntries = 0;
  };

  struct State {
    uint64_t Key = 0;
    QuotaSpec Quota;
    double Level = 0;
    // Decayed rate of arrivals in units per second.
    double Demand = 0;
    // Part of the rate; a slower average of it is the part of the burst.
    double Share = 0;
    double BurstShare = 0;
    Time Updated{};
    // When the organisation became known.
    Time Since{};
    Time LastArrival{};
    // A report is due at once.
    bool Urgent = false;
    // The total demand exceeds the rate.
    bool Overloaded = false;
    std::array<Answer, Keepers> Answers;
    // What was reported in the last rounds.
    std::array<double, RoundsKept> OwnDemand{};
    std::array<double, RoundsKept> OwnDebt{};
    // Entries that were known last.
    uint32_t KnownEntries;
  };

  struct PendingRequest {
    Decision Inputs;
    uint64_t Key = 0;
    double Cost = 0;
    // The first report that counts the request; 0 if none was sent.
    uint64_t Round = 0;
    size_t Asked = 0;
    // Sides that have answered, and the largest debt of other entries.
    std::vector<uint64_t> Answered;
    double OthersDebt = 0;
    Time Until;
  };

  /// The answers of both keepers as one.
  struct View {
    bool Valid = false;
    Time SentAt{};
    double Total = 0;
    double TotalDebt = 0;
    uint32_t Entries = 1;
    uint32_t SilentEntries = 0;
  };

  static double capacity(const State &S) {
    return S.Quota.Burst * S.BurstShare;
  }
  static double floorShare(const State &S) { return 0.5 / S.KnownEntries; }
  static double demand(const State &S);
  /// The demand that this entry reports.
  static double ownDemand(const State &S);
  View view(Time Now, const State &S) const;
  /// Brings the state to \p Now.
  void advance(Time Now, State &S) const;
  static void refill(State &S, Time To, double Share);
  double maxDebt(const State &S) const;
  /// Whether the debt of this entry is small enough not to be confirmed.
  bool isSmallDebt(const State &S, double Debt) const;
  /// Whether a request over the greatest debt runs while the debts of others
  /// are small; one that exceeds the quota of a window never does.
  bool mayRunAlone(const State &S, double Cost, double OthersDebt) const;
  void reject(Decision &D, Limit By, double WaitSeconds);
  void decide(Time Now, PendingRequest &P);
  static void putBack(State &S, double Cost);

  Options Opts;
  uint64_t Entry;
  // By the hash of the name.
  std::unordered_map<uint64_t, State> Organisations;
  uint64_t Round = 0;
  // Answers to earlier rounds are ignored.
  uint64_t FirstRound = 1;
  std::array<Time, RoundsKept> SentAt{};
  uint64_t RegularRounds = 0;
  Time NextRegular{};
  bool AnyUrgent = false;
  std::vector<PendingRequest> Pending;
  uint64_t LastTicket = 0;
  Counters Counts;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_ORGANISATION_QUOTAS_H
