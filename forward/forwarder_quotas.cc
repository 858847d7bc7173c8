// The part of Forwarder that charges calls to the quotas of their
// organisations. A call whose debt has to be confirmed by the sides is held
// before it is placed, and then passes through onCall() once more, so that what
// may have changed in between is checked again.
#include "forward/forwarder.h"

#include <algorithm>
#include <utility>

namespace goldcrestlink::forward {

namespace {
std::string_view limitName(const OrganisationQuotas::Decision &D) {
  if (D.OnFloor)
    return "floor";
  return D.By == OrganisationQuotas::Limit::Debt ? "debt" : "share";
}

std::string whole(double Units) {
  return std::to_string(static_cast<int64_t>(Units));
}
} // namespace

bool Forwarder::admitQuota(Time Now, uint64_t Id, IncomingCall &Request,
                           const OrganisationSpec *Organisation,
                           QuotaCharge &Charge) {
  if (ConfirmedCharge) {
    Charge = std::move(*ConfirmedCharge);
    ConfirmedCharge.reset();
    return true;
  }
  if (!Organisation || Organisation->Quota.RatePerSecond <= 0)
    return true;
  Charge = {Organisation->Name,
            quotaCost(Organisation->Quota, Request.Inference.PromptTokens,
                      Request.Inference.MaxOutputTokens)};
  const OrganisationQuotas::Decision D =
      Quotas.admit(Now, Charge.Organisation, Charge.Cost);
  switch (D.Result) {
  case OrganisationQuotas::Outcome::Admitted:
    return true;
  case OrganisationQuotas::Outcome::Rejected:
    rejectOverQuota(Id, Request, Charge, D);
    return false;
  case OrganisationQuotas::Outcome::Pending:
    HeldCalls[D.Ticket] = {Id, std::move(Request), std::move(Charge), Now};
    return false;
  }
  return false;
}

void Forwarder::rejectOverQuota(uint64_t Id, const IncomingCall &Request,
                                const QuotaCharge &Charge,
                                const OrganisationQuotas::Decision &D) {
  // Not kept: an organisation over its limit causes hundreds of lines a second.
  Port.log(LogClass::Routine,
           "end id=" + Request.RequestId +
               " outcome=quota_exceeded status=429 organisation=" +
               Charge.Organisation + " limit=" + std::string(limitName(D)) +
               " cost=" + whole(Charge.Cost) + " level=" + whole(D.Level) +
               " capacity=" + whole(D.Capacity) +
               " share=" + std::to_string(D.Share) +
               " total=" + whole(D.Total) + " debts=" + whole(D.TotalDebt) +
               " total_age_ms=" + std::to_string(D.TotalAge.count() / 1000) +
               " wait_ms=" + std::to_string(D.Wait.count() / 1000));
  Port.record(0, endReasonName(EndReason::QuotaExceeded), Duration(0),
              Duration(0));
  Port.answerWithError(Id, 429, Request.RequestId, D.Wait,
                       EndReason::QuotaExceeded);
}

void Forwarder::onQuotaTotals(Time Now, std::string_view Side,
                              const QuotaTotals &Totals) {
  Quotas.onTotals(Now, Side, Totals);
  resumeHeldCalls(Now);
}

void Forwarder::resumeHeldCalls(Time Now) {
  for (const OrganisationQuotas::Decision &D : Quotas.takeDecided(Now)) {
    const auto It = HeldCalls.find(D.Ticket);
    if (It == HeldCalls.end())
      continue;
    HeldCall Held = std::move(It->second);
    HeldCalls.erase(It);
    if (D.Result == OrganisationQuotas::Outcome::Rejected) {
      rejectOverQuota(Held.Id, Held.Request, Held.Charge, D);
      continue;
    }
    if (Held.Request.TimeLeft > Duration(0))
      Held.Request.TimeLeft =
          std::max(Duration(1), Held.Request.TimeLeft - (Now - Held.Since));
    ConfirmedCharge = std::move(Held.Charge);
    onCall(Now, Held.Id, std::move(Held.Request));
    // Set if the call was rejected for another reason.
    if (ConfirmedCharge)
      returnQuota(Now, *std::exchange(ConfirmedCharge, std::nullopt));
  }
}

void Forwarder::cancelHeldCall(Time Now, uint64_t Id) {
  const auto It =
      std::find_if(HeldCalls.begin(), HeldCalls.end(),
                   [&](const auto &Item) { return Item.second.Id == Id; });
  if (It == HeldCalls.end())
    return;
  Quotas.cancel(Now, It->first);
  HeldCalls.erase(It);
}

void Forwarder::returnQuota(Time Now, const QuotaCharge &Charge) {
  if (Charge.Cost > 0)
    Quotas.giveBack(Now, Charge.Organisation, Charge.Cost);
}

} // namespace goldcrestlink::forward
