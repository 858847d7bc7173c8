// The part of Forwarder that decides whether a call may be sent on behalf of
// the organisation that its key identifies. The key is looked up when the call
// arrives and again at each send, in the configuration of that moment, together
// with the age of the configuration: a call may have waited for long in
// between. Constant work per call, apart from hashing its key.
#include "forward/forwarder.h"

#include <algorithm>

namespace goldcrestlink::forward {

namespace {
// Retry-After time of calls that wait for a confirmation of the configuration.
// An entry that needs one asks the store at most this long after a failure.
constexpr Duration ConfirmationRetryAfter = std::chrono::milliseconds(300);
// Ranks of routes that are kept apart within one priority of organisations.
// The platform's routes have three.
constexpr uint32_t RouteRanks = 3;
// Ranks above this share the last one, as in the engine's ten priorities.
constexpr uint32_t MaxRank = 9;
} // namespace

uint32_t combinedRank(const OrganisationSpec *Organisation,
                      uint32_t RouteRank) {
  if (!Organisation || !Organisation->Rank)
    return RouteRank;
  return std::min(MaxRank, std::min(*Organisation->Rank, MaxRank) * RouteRanks +
                               std::min(RouteRank, RouteRanks - 1));
}

BootTime Forwarder::bootTimeOf(Time Now) const {
  return BootTime(Now.time_since_epoch() + Suspended);
}

bool Forwarder::mayUseKeys(Time Now) const {
  return !Keys.areRequired() || Age.mayUseKeys(bootTimeOf(Now));
}

bool Forwarder::isReady(Time Now) const {
  return isPlacing(Now) && mayUseKeys(Now);
}

std::optional<EndReason> Forwarder::checkKey(
    Time Now, std::string_view Key,
    std::shared_ptr<const OrganisationSpec> &Organisation) const {
  Organisation = Keys.find(Key);
  if (!Organisation)
    return Age.mayRejectKeys(bootTimeOf(Now)) ? EndReason::KeyUnknown
                                              : EndReason::ConfigUnconfirmed;
  if (!mayUseKeys(Now))
    return EndReason::ConfigUnconfirmed;
  return std::nullopt;
}

bool Forwarder::admitKey(Time Now, uint64_t Id, const IncomingCall &Request,
                         const RouteSpec &Route,
                         std::shared_ptr<const OrganisationSpec> &Out) {
  if (!Keys.areRequired() || Route.Public)
    return true;
  const std::optional<EndReason> Why = checkKey(Now, Request.Key, Out);
  if (!Why)
    return true;
  // The end line is kept; rejections may come at any rate.
  Port.log(LogClass::Routine, "key_rejected id=" + Request.RequestId +
                                  " route=" + Route.Name + " at=arrival" +
                                  describeKey(Now, Out.get()));
  const bool IsUnknown = *Why == EndReason::KeyUnknown;
  rejectNewCall(Id, Request, IsUnknown ? 401 : 503,
                IsUnknown
                    ? Duration(0)
                    : ConfirmationRetryAfter + spread(ConfirmationRetryAfter),
                *Why);
  return false;
}

std::optional<EndReason> Forwarder::checkKeyAtSend(Time Now, ActiveCall &Call) {
  Call.RemoveCredentials |= Keys.areRequired();
  if (!Keys.areRequired() || Call.Public) {
    Call.Organisation = nullptr;
    return std::nullopt;
  }
  std::shared_ptr<const OrganisationSpec> Found;
  const std::optional<EndReason> Why = checkKey(Now, Call.Request.Key, Found);
  if (Why) {
    Port.log(LogClass::Kept,
             "key_rejected " + describe(Call) +
                 " at=send sends=" + std::to_string(Call.Sends) +
                 " may_have_run=" + (Call.MayHaveRun ? "yes" : "no") +
                 describeKey(Now, Found.get()));
    Call.RetryDelay = ConfirmationRetryAfter;
    return Why;
  }
  Call.Organisation = std::move(Found);
  return std::nullopt;
}

bool Forwarder::maySend(Time Now, SendId Send) const {
  const ActiveCall *Call = find(Send);
  if (!Call || !Keys.areRequired() || Call->Public)
    return true;
  // The request names the organisation that the key had when it was sent.
  const auto Found = Keys.find(Call->Request.Key);
  return Found && Call->Organisation &&
         Found->Name == Call->Organisation->Name && mayUseKeys(Now);
}

void Forwarder::onWithheld(Time Now, ActiveCall &Call) {
  finishSend(Now, Call, CallOutcome::Unknown);
  // Nothing was sent, so this does not count as a send.
  --Call.Sends;
  if (const std::optional<EndReason> Why = checkKeyAtSend(Now, Call))
    return fail(Now, Call, *Why);
  placeRetry(Now, Call);
}

std::string Forwarder::describeKey(Time Now,
                                   const OrganisationSpec *Organisation) const {
  const std::optional<Duration> Known = Age.age(bootTimeOf(Now));
  const Duration Bound = Organisation ? Age.usableAge() : Age.rejectableAge();
  return (Organisation ? " organisation=" + Organisation->Name
                       : std::string(" organisation=unknown")) +
         " config=" + std::to_string(CurrentCatalog->config()->Version) +
         " age_ms=" + std::to_string(Known ? Known->count() / 1000 : -1) +
         " bound_ms=" + std::to_string(Bound.count() / 1000);
}

} // namespace goldcrestlink::forward
