// A token bucket for each organisation, with a share of its rate and burst.
// While the total demand is below the rate, the share is the entry's own demand
// and an equal part of the rest; otherwise its part of the demand. The part of
// the burst is an average of the share over time, so the sum over all entries
// has the same bound. A request that exceeds the bucket's capacity runs on
// debt; the debts of all entries together are bounded, since they are what the
// sum of all buckets exceeds the quota by. Each operation costs constant time;
// reports visit every organisation.
#include "forward/organisation_quotas.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "forward/origin_keepers.h"

namespace goldcrestlink::forward {

namespace {
// Of the average that the demand is. A change of the demand is known after that
// time; a single request of 42,000 tokens counts as 21,000 a second.
constexpr double DemandSeconds = 2;
// Least time that the average of the demand is assumed to cover.
constexpr double MinDemandSeconds = 0.5;
// Of the average of shares from which the capacity follows: a single large
// request elsewhere must not empty the buckets of all others.
constexpr double BurstSeconds = 2;
// Without demand for this long an organisation is reported less often.
constexpr Duration ActiveTime = std::chrono::seconds(2);
// Idle organisations are reported each so many rounds, so that their totals are
// known when their first request arrives.
constexpr uint64_t IdleRounds = 4;
// Entries that are assumed before a side has named a number; the largest
// deployment has 37.
constexpr uint32_t UnknownEntries = 40;
// Part of the permitted excess that debts may take up; the rest covers totals
// that are a report old.
constexpr double DebtPart = 0.75;
// Part of what the rate allows in a window that the slack counts as at most:
// the slack is in tokens, and would lift a limit of a few requests a second.
constexpr double MaxSlack = 0.5;
// Part of the greatest debt that entries may run into together without having
// it confirmed, so that most requests are not delayed.
constexpr double SmallDebts = 0.2;
// Over the limit, an entry whose bucket is full reports this part of its
// demand, so that it keeps a share.
constexpr double FullDemand = 0.01;
constexpr double FullBucket = 0.9;
// Parts of the greatest debt of all entries up to which an entry in debt may
// add to it, while the total demand is below the rate and while it is not.
constexpr double SharedDebt = 0.7;
constexpr double SharedDebtOverLimit = 0.3;
// Part of what a window permits that its bucket holds, at most. With less,
// clumps of requests at one entry are rejected; with more, less of the
// permitted excess is left for debts.
constexpr double WindowBurst = 0.04;
// Units per second; keeps waiting times finite.
constexpr double MinRate = 1e-9;
constexpr Duration MinWait = std::chrono::milliseconds(50);
constexpr Duration MaxWait = std::chrono::seconds(60);
// Keeps the key of debts apart from that of demand.
constexpr uint64_t DebtSeed = 0x6465627473;

uint64_t debtKey(uint64_t Key) { return mixHash(Key, DebtSeed); }

bool isAmount(double Value) { return std::isfinite(Value) && Value >= 0; }

double debtOf(double Level) { return std::max(0.0, -Level); }
} // namespace

double quotaCost(const QuotaSpec &Quota, uint32_t PromptTokens,
                 uint32_t OutputTokens) {
  if (Quota.Unit == QuotaUnit::Requests)
    return 1;
  const double Tokens =
      static_cast<double>(PromptTokens) + static_cast<double>(OutputTokens);
  return Tokens > 0 ? Tokens : Quota.PlainTokens;
}

QuotaSpec quotaPerWindow(const QuotaSpec &Quota, Duration Window) {
  QuotaSpec Out = Quota;
  if (Quota.RatePerSecond <= 0)
    return Out;
  const double Permitted = Quota.RatePerSecond * seconds(Window) + Quota.Burst;
  Out.RatePerSecond = Permitted / seconds(Window);
  Out.Burst = std::min(Quota.Burst, WindowBurst * Permitted);
  return Out;
}

std::vector<OrganisationSpec>
withQuotasPerWindow(std::span<const OrganisationSpec> Organisations,
                    Duration Window) {
  std::vector<OrganisationSpec> Out(Organisations.begin(), Organisations.end());
  for (OrganisationSpec &O : Out)
    O.Quota = quotaPerWindow(O.Quota, Window);
  return Out;
}

void OrganisationQuotas::setOrganisations(
    Time Now, std::span<const OrganisationSpec> All) {
  std::unordered_map<uint64_t, State> Kept;
  for (const OrganisationSpec &O : All) {
    if (O.Quota.RatePerSecond <= 0)
      continue;
    const uint64_t Key = hash64(O.Name);
    State S;
    S.Key = Key;
    S.Updated = S.Since = Now;
    S.KnownEntries = UnknownEntries;
    if (const auto It = Organisations.find(Key); It != Organisations.end()) {
      S = It->second;
      advance(Now, S);
      // A debt was permitted by the old rate and is repaid from the new one.
      if (S.Level < 0)
        S.Level *= std::min(1.0, O.Quota.RatePerSecond / S.Quota.RatePerSecond);
    }
    S.Quota = O.Quota;
    S.Level = std::min(S.Level, capacity(S));
    Kept.emplace(Key, S);
  }
  Organisations = std::move(Kept);
}

double OrganisationQuotas::demand(const State &S) {
  // Right after the start the average lacks the time before it.
  const double Age = seconds(S.Updated - S.Since);
  return S.Demand /
         (1 - std::exp(-std::max(Age, MinDemandSeconds) / DemandSeconds));
}

double OrganisationQuotas::ownDemand(const State &S) {
  const double Demand = demand(S);
  // Over the limit, tokens that would overflow here are of use to entries that
  // are in debt.
  if (S.Overloaded && S.Level >= FullBucket * capacity(S))
    return FullDemand * Demand;
  return Demand;
}

OrganisationQuotas::View OrganisationQuotas::view(Time Now,
                                                  const State &S) const {
  View Out;
  for (const Answer &A : S.Answers) {
    if (A.Side == 0 || Now - A.SentAt >= QuotaLedger::Term)
      continue;
    const size_t Slot = A.Round % RoundsKept;
    const double Others = std::max(0.0, A.Total - S.OwnDemand[Slot]);
    const double OthersDebt = std::max(0.0, A.TotalDebt - S.OwnDebt[Slot]);
    Out.Total = std::max(Out.Total, Others + ownDemand(S));
    Out.TotalDebt = std::max(Out.TotalDebt, OthersDebt + debtOf(S.Level));
    Out.Entries = std::max(Out.Entries, A.Entries);
    Out.SilentEntries = std::max(Out.SilentEntries, A.SilentEntries);
    Out.SentAt = std::max(Out.SentAt, A.SentAt);
    Out.Valid = true;
  }
  return Out;
}

void OrganisationQuotas::refill(State &S, Time To, double Share) {
  const double Elapsed = std::max(0.0, seconds(To - S.Updated));
  S.Demand *= std::exp(-Elapsed / DemandSeconds);
  S.BurstShare +=
      (Share - S.BurstShare) * (1 - std::exp(-Elapsed / BurstSeconds));
  S.Level = std::min(S.Level + Share * S.Quota.RatePerSecond * Elapsed,
                     std::max(capacity(S), 0.0));
  S.Updated = std::max(S.Updated, To);
}

void OrganisationQuotas::advance(Time Now, State &S) const {
  // A process that stood still has had its share for a term only.
  Time ValidUntil{};
  for (const Answer &A : S.Answers)
    if (A.Side != 0)
      ValidUntil = std::max(ValidUntil, A.SentAt + QuotaLedger::Term);
  if (S.Updated < ValidUntil)
    refill(S, std::min(Now, ValidUntil), S.Share);
  if (Now > S.Updated)
    refill(S, Now, std::min(S.Share, floorShare(S)));
  const View V = view(Now, S);
  if (!V.Valid) {
    S.Share = floorShare(S);
    S.BurstShare = std::min(S.BurstShare, S.Share);
    S.Level = std::min(S.Level, capacity(S));
    return;
  }
  const double Known = V.Entries + V.SilentEntries;
  const double Reserved = 0.5 * V.SilentEntries / Known;
  const double Rate = S.Quota.RatePerSecond * (1 - Reserved);
  S.Overloaded = V.Total >= Rate;
  const double Own = ownDemand(S);
  const double Allowed = V.Total >= Rate ? Rate * Own / V.Total
                                         : Own + (Rate - V.Total) / V.Entries;
  S.Share = std::clamp(Allowed / S.Quota.RatePerSecond, 0.0, 1.0);
}

double OrganisationQuotas::maxDebt(const State &S) const {
  const double InWindow = S.Quota.RatePerSecond * seconds(Opts.window());
  return DebtPart * (std::min(Opts.slack(), MaxSlack * InWindow) +
                     Opts.excess() * (InWindow + S.Quota.Burst));
}

bool OrganisationQuotas::mayRunAlone(const State &S, double Cost,
                                     double OthersDebt) const {
  return OthersDebt <= SharedDebtOverLimit * maxDebt(S) &&
         Cost <= S.Quota.RatePerSecond * seconds(Opts.window()) + S.Quota.Burst;
}

bool OrganisationQuotas::isSmallDebt(const State &S, double Debt) const {
  return Debt <= SmallDebts * maxDebt(S) / S.KnownEntries;
}

void OrganisationQuotas::reject(Decision &D, Limit By, double WaitSeconds) {
  D.Result = Outcome::Rejected;
  D.By = By;
  D.Wait = std::clamp(fromSeconds(std::min(WaitSeconds, seconds(MaxWait))),
                      MinWait, MaxWait);
  ++Counts.Rejected;
}

OrganisationQuotas::Decision
OrganisationQuotas::admit(Time Now, std::string_view Organisation,
                          double Cost) {
  Decision Out;
  const auto It = Organisations.find(hash64(Organisation));
  if (It == Organisations.end())
    return Out;
  State &S = It->second;
  advance(Now, S);
  S.Demand += Cost / DemandSeconds;
  S.LastArrival = Now;
  const View V = view(Now, S);
  const double Rate = S.Quota.RatePerSecond;
  // The level from which the request runs, if the debts of others stay the
  // same. Entries that are cut off do not know those, so each has an equal
  // part.
  const double Others = V.TotalDebt - debtOf(S.Level);
  const double Allowance = V.Valid ? std::max(0.0, maxDebt(S) - Others)
                                   : maxDebt(S) / S.KnownEntries;
  // In debt, a further request runs only while there is plenty of room.
  const double Room =
      (V.Total < Rate ? SharedDebt : SharedDebtOverLimit) * maxDebt(S);
  const bool IsAlone = mayRunAlone(S, Cost, Others);
  double Needed = V.Valid
                      ? std::min(std::clamp(Cost - Allowance, 0.0, capacity(S)),
                                 Cost + Others - Room)
                      : std::max(0.0, Cost - Allowance);
  if (V.Valid && IsAlone)
    Needed = std::min(Needed, 0.0);
  const double UntilNeeded =
      (Needed - S.Level) / std::max(S.Share * Rate, MinRate);
  const double Debt = debtOf(S.Level - Cost);
  const double NewDebt = Debt - debtOf(S.Level);
  Out.Level = S.Level;
  Out.Capacity = capacity(S);
  Out.Share = S.Share;
  Out.Total = V.Total;
  Out.TotalDebt = V.TotalDebt;
  Out.TotalAge = V.Valid ? Now - V.SentAt : Duration(0);
  Out.OnFloor = !V.Valid;
  Counts.OnFloor += V.Valid ? 0 : 1;
  if (S.Level < Cost) {
    const bool MayBorrow =
        S.Level >= 0 || (V.Valid && V.TotalDebt + NewDebt <= Room);
    if (!MayBorrow) {
      reject(Out, Limit::Bucket, UntilNeeded);
      return Out;
    }
    if (!V.Valid && Debt > Allowance) {
      reject(Out, Limit::Debt, UntilNeeded);
      return Out;
    }
    const double Free = maxDebt(S) - V.TotalDebt;
    if (V.Valid && NewDebt > Free && !IsAlone) {
      reject(Out, Limit::Debt, (NewDebt - Free) / Rate);
      return Out;
    }
    if (V.Valid && !isSmallDebt(S, Debt)) {
      if (Pending.size() >= MaxPending) {
        reject(Out, Limit::Debt, 0);
        return Out;
      }
      Out.Result = Outcome::Pending;
      Out.Ticket = ++LastTicket;
      S.Urgent = AnyUrgent = true;
      PendingRequest P;
      P.Inputs = Out;
      P.Key = S.Key;
      P.Cost = Cost;
      P.Until = Now + ConfirmTimeout;
      Pending.push_back(std::move(P));
    }
  }
  // Tokens of pending requests are taken, so that the report counts them.
  S.Level -= Cost;
  if (Out.Result == Outcome::Admitted)
    ++Counts.Admitted;
  return Out;
}

void OrganisationQuotas::putBack(State &S, double Cost) {
  S.Level = std::min(S.Level + Cost, std::max(capacity(S), 0.0));
}

void OrganisationQuotas::decide(Time Now, PendingRequest &P) {
  Decision &D = P.Inputs;
  D.Result = Outcome::Admitted;
  const auto It = Organisations.find(P.Key);
  if (It == Organisations.end()) {
    ++Counts.Admitted; // The limit was removed.
    return;
  }
  State &S = It->second;
  advance(Now, S);
  const double Free = maxDebt(S) - P.OthersDebt - debtOf(S.Level);
  D.TotalDebt = P.OthersDebt + debtOf(S.Level);
  const bool RunsAlone = D.Level >= 0 && mayRunAlone(S, P.Cost, P.OthersDebt);
  if (!P.Answered.empty() && (Free >= 0 || RunsAlone)) {
    ++Counts.Admitted;
    return;
  }
  putBack(S, P.Cost);
  S.Urgent = AnyUrgent = true;
  reject(D, Limit::Debt,
         P.Answered.empty() ? 0 : -Free / S.Quota.RatePerSecond);
}

std::vector<OrganisationQuotas::Decision>
OrganisationQuotas::takeDecided(Time Now) {
  std::vector<Decision> Out;
  for (PendingRequest &P : Pending) {
    if (Now < P.Until && (P.Round == 0 || P.Answered.size() < P.Asked))
      continue;
    decide(Now, P);
    Out.push_back(P.Inputs);
  }
  std::erase_if(Pending, [](const PendingRequest &P) {
    return P.Inputs.Result != Outcome::Pending;
  });
  return Out;
}

void OrganisationQuotas::cancel(Time Now, uint64_t Ticket) {
  const auto P =
      std::find_if(Pending.begin(), Pending.end(), [&](const auto &Item) {
        return Item.Inputs.Ticket == Ticket;
      });
  if (P == Pending.end())
    return;
  if (const auto It = Organisations.find(P->Key); It != Organisations.end()) {
    advance(Now, It->second);
    putBack(It->second, P->Cost);
    ++Counts.GivenBack;
  }
  Pending.erase(P);
}

void OrganisationQuotas::onStall(Time Now) {
  FirstRound = Round + 1;
  for (auto &[Key, S] : Organisations) {
    S.Answers = {};
    advance(Now, S);
  }
}

void OrganisationQuotas::giveBack(Time Now, std::string_view Organisation,
                                  double Cost) {
  const auto It = Organisations.find(hash64(Organisation));
  if (It == Organisations.end())
    return;
  advance(Now, It->second);
  putBack(It->second, Cost);
  ++Counts.GivenBack;
}

std::map<std::string, QuotaReport>
OrganisationQuotas::reports(Time Now, std::span<const std::string> Sides) {
  std::map<std::string, QuotaReport> Out;
  const bool Regular = Now >= NextRegular;
  if (!Regular && !AnyUrgent)
    return Out;
  AnyUrgent = false;
  if (Regular) {
    NextRegular = Now + ReportInterval;
    ++RegularRounds;
  }
  ++Round;
  const size_t Slot = Round % RoundsKept;
  SentAt[Slot] = Now;
  for (auto &[Key, S] : Organisations) {
    const bool Active =
        S.LastArrival != Time{} && Now - S.LastArrival < ActiveTime;
    if (!S.Urgent && (!Regular || (!Active && RegularRounds % IdleRounds != 1)))
      continue;
    advance(Now, S);
    S.Urgent = false;
    S.OwnDemand[Slot] = ownDemand(S);
    S.OwnDebt[Slot] = debtOf(S.Level);
    const std::vector<std::string> Asked = originKeepers(Key, Sides, Keepers);
    for (PendingRequest &P : Pending)
      if (P.Key == Key && P.Round == 0) {
        P.Round = Round;
        P.Asked = Asked.size();
      }
    for (const std::string &Side : Asked) {
      QuotaReport &Report = Out[Side];
      Report.Entry = Entry;
      Report.Round = Round;
      Report.Amounts.push_back({Key, S.OwnDemand[Slot]});
      Report.Amounts.push_back({debtKey(Key), S.OwnDebt[Slot]});
    }
  }
  return Out;
}

void OrganisationQuotas::onTotals(Time Now, std::string_view Side,
                                  const QuotaTotals &Totals) {
  const size_t Slot = Totals.Round % RoundsKept;
  if (Totals.Round < FirstRound || Totals.Round > Round ||
      Round - Totals.Round >= RoundsKept || Totals.Entries == 0 ||
      Now - SentAt[Slot] >= QuotaLedger::Term)
    return;
  std::unordered_map<uint64_t, double> Amounts;
  for (const QuotaAmount &A : Totals.Totals)
    Amounts[A.Key] = A.Amount;
  const uint64_t From = hash64(Side);
  for (const auto &[Key, Total] : Amounts) {
    const auto It = Organisations.find(Key);
    if (It == Organisations.end())
      continue;
    // A side that has no room for a further key may know the demand only.
    const auto Debt = Amounts.find(debtKey(Key));
    if (Debt == Amounts.end() || !isAmount(Total) || !isAmount(Debt->second))
      continue;
    State &S = It->second;
    advance(Now, S);
    for (PendingRequest &P : Pending) {
      if (P.Key != Key || P.Round == 0 || Totals.Round < P.Round ||
          std::find(P.Answered.begin(), P.Answered.end(), From) !=
              P.Answered.end())
        continue;
      P.Answered.push_back(From);
      P.OthersDebt = std::max(P.OthersDebt, Debt->second - S.OwnDebt[Slot]);
    }
    Answer *Place = &S.Answers[0];
    for (Answer &A : S.Answers)
      if (A.Side == From || (Place->Side != From && A.SentAt < Place->SentAt))
        Place = &A;
    if (Place->Side == From && Place->Round > Totals.Round)
      continue;
    *Place = {From,         Totals.Round,   SentAt[Slot],        Total,
              Debt->second, Totals.Entries, Totals.SilentEntries};
    S.KnownEntries = Totals.Entries + Totals.SilentEntries;
    advance(Now, S);
  }
}

} // namespace goldcrestlink::forward
