// The part of SideAdmission that divides the engine between organisations.
//
// The queue is kept in the order of service that FairShares gives:
// organisations in excess of their shares last, then by rank, virtual start
// time of the organisation, and arrival. Without organisations in it that is
// rank and arrival, and nothing is sorted. A sort takes n log n time for at
// most Options::maxWaiting() requests.
#include <algorithm>
#include <cmath>

#include "admission/side_admission.h"

namespace goldcrestlink {

FairItem SideAdmission::fairItem(const Time &Now,
                                 const AdmissionRequest &Request) const {
  FairItem Out;
  Out.Rank = Request.Rank;
  Out.Flow = Request.Organisation;
  // On average a request produces about half of its largest output.
  Out.Cost =
      std::max<double>(1, static_cast<double>(unreadTokens(Now, Request)) +
                              Request.OutputTokens / 2.0);
  Out.IsReady = ready(Now, Request);
  return Out;
}

bool SideAdmission::hasOrganisations() const {
  return std::any_of(Queue.begin(), Queue.end(), [](const WaitingRequest &W) {
    return W.Request.Organisation != 0;
  });
}

std::vector<const SideAdmission::WaitingRequest *>
SideAdmission::byArrival() const {
  std::vector<const WaitingRequest *> Out;
  Out.reserve(Queue.size() + 1);
  for (const WaitingRequest &W : Queue)
    Out.push_back(&W);
  std::sort(Out.begin(), Out.end(),
            [](const WaitingRequest *A, const WaitingRequest *B) {
              return A->Number < B->Number;
            });
  return Out;
}

void SideAdmission::sortQueue(const Time &Now) {
  if (!hasOrganisations())
    return;
  Queue.sort([](const WaitingRequest &A, const WaitingRequest &B) {
    return A.Number < B.Number;
  });
  std::vector<std::list<WaitingRequest>::iterator> Places;
  std::vector<FairItem> Items;
  for (auto It = Queue.begin(); It != Queue.end(); ++It) {
    Places.push_back(It);
    Items.push_back(fairItem(Now, It->Request));
  }
  for (const size_t I : Shares.order(Now, Items))
    Queue.splice(Queue.end(), Queue, Places[I]);
}

std::vector<SideAdmission::AheadRequest>
SideAdmission::waitingAhead(const Time &Now,
                            const AdmissionRequest *For) const {
  std::vector<AheadRequest> Out;
  if (!For || (For->Organisation == 0 && !hasOrganisations())) {
    for (const WaitingRequest &W : Queue)
      Out.push_back({&W, 1});
    return Out;
  }
  std::vector<const WaitingRequest *> Waiting = byArrival();
  std::vector<FairItem> Items;
  size_t Own = Waiting.size();
  for (size_t I = 0; I < Waiting.size(); ++I) {
    Items.push_back(fairItem(Now, Waiting[I]->Request));
    if (Waiting[I]->Request.Id == For->Id &&
        Waiting[I]->Request.Peer == For->Peer)
      Own = I;
  }
  if (Own == Waiting.size())
    Items.push_back(fairItem(Now, *For));
  const FairItem Item = Items[Own];
  // Requests of other organisations go on arriving meanwhile and take turns
  // with its own.
  const double OwnDelay = Shares.ownDelayFactor(Now, Items, Item.Flow);
  for (const size_t I : Shares.order(Now, Items)) {
    if (I == Own)
      break;
    const bool SameFlow =
        Items[I].Flow == Item.Flow && Items[I].Rank == Item.Rank;
    Out.push_back({Waiting[I], SameFlow ? OwnDelay : 1});
  }
  return Out;
}

size_t SideAdmission::countAhead(const Time &Now,
                                 const AdmissionRequest *For) const {
  double Out = 0;
  for (const AheadRequest &A : waitingAhead(Now, For))
    Out += A.Count;
  return static_cast<size_t>(std::ceil(Out));
}

bool SideAdmission::makeRoom(const Time &Now, const AdmissionRequest &New) {
  if (Queue.size() < Opts.maxWaiting())
    return true;
  if (New.Organisation == 0 && !hasOrganisations())
    return false;
  const std::vector<const WaitingRequest *> Waiting = byArrival();
  std::vector<FairItem> Items;
  for (const WaitingRequest *W : Waiting)
    Items.push_back(fairItem(Now, W->Request));
  Items.push_back(fairItem(Now, New));
  const size_t Chosen = Shares.givesWay(Now, Items);
  if (Chosen == Waiting.size())
    return false;
  const uint64_t Number = Waiting[Chosen]->Number;
  shed(
      Now,
      std::find_if(Queue.begin(), Queue.end(),
                   [&](const WaitingRequest &W) { return W.Number == Number; }),
      "shed");
  return true;
}

void SideAdmission::shed(const Time &Now,
                         std::list<WaitingRequest>::iterator Where,
                         std::string_view Reason) {
  const Duration Wait = expectedWait(Now, Where->Request);
  const AdmissionRequest Request = std::move(Where->Request);
  const FairItem Item = fairItem(Now, Request);
  Queue.erase(Where);
  ++RequestsShed;
  const auto Waiting =
      std::count_if(Queue.begin(), Queue.end(), [&](const WaitingRequest &W) {
        return W.Request.Organisation == Request.Organisation;
      });
  Port.log(
      LogClass::Kept,
      "shed ask=" + std::to_string(Request.Id) +
          " organisation=" + std::to_string(Request.Organisation) + " rank=" +
          std::to_string(Request.Rank) + " reason=" + std::string(Reason) +
          " cost=" + std::to_string(static_cast<int64_t>(Item.Cost)) +
          " weight=" + std::to_string(Shares.weight(Item.Flow)) +
          " share=" + std::to_string(Shares.receivedShare(Now, Item.Flow)) +
          " waiting_own=" + std::to_string(Waiting) +
          " waiting=" + std::to_string(Queue.size()) +
          " expected_ms=" + std::to_string(Wait.count() / 1000));
  refuse(Request, Wait, Item.IsReady, Reason);
}

// The estimate of a request's wait rises when requests of other organisations
// arrive and are served before it.
void SideAdmission::refuseOvertaken(const Time &Now) {
  if (!hasOrganisations() || Grants.empty() || MeanRunTime == Duration(0))
    return;
  int64_t Ahead = 0;
  for (auto It = Queue.begin(); It != Queue.end();) {
    const auto Next = std::next(It);
    if (ready(Now, It->Request)) {
      const Duration Wait =
          MeanRunTime * Ahead / static_cast<int64_t>(Grants.size());
      if (!batchHasRoom(memoryNeed(It->Request)) && Now + Wait > It->Until)
        shed(Now, It, "overtaken");
      else
        ++Ahead;
    }
    It = Next;
  }
}

} // namespace goldcrestlink
