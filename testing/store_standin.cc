// A list is in byte order of the names and goes on behind the name in the
// query, whether an object has that name or not.
//
// A watch stays open until the next change of its kind, and is then answered
// with all changes since the revision that it named. A watch that is already
// behind is answered at once, and any other after its maximum wait.
#include "testing/store_standin.h"

#include <algorithm>
#include <utility>

#include "testing/standin_support.h"

namespace goldcrestlink::testing {

using Json = nlohmann::json;

namespace {
constexpr std::string_view Prefix = "/-/objects/";
constexpr size_t TruncatedBytes = 7;
// Keys of an object whose text, or whose specification's text, is given.
constexpr const char *ObjectText = "object text";
constexpr const char *SpecText = "spec text";

std::string textOf(const Json &Object) {
  if (Object.contains(ObjectText))
    return Object[ObjectText].get<std::string>();
  if (!Object.contains(SpecText))
    return Object.dump();
  return "{\"metadata\":" + Object["metadata"].dump() +
         ",\"spec\":" + Object[SpecText].get<std::string>() +
         ",\"status\":null}";
}

std::string joined(const std::vector<std::string> &Texts) {
  std::string Out;
  for (const std::string &Text : Texts)
    Out += (Out.empty() ? "" : ",") + Text;
  return "[" + Out + "]";
}
} // namespace

StoreStandIn::StoreStandIn(boost::asio::io_context &InIo)
    : Io(InIo), Server(Io, {"127.0.0.1", 0}, http::ServerOptions(),
                       [this](const http::Request &Request,
                              const ResponderPtr &Responder) {
                         onRequest(Request, Responder);
                       }),
      SecondServer(
          Io, {"127.0.0.1", 0}, http::ServerOptions(),
          [this](const http::Request &Request, const ResponderPtr &Responder) {
            if (SecondRefused)
              return Responder->respond(503, headers(), "");
            SecondRequests.emplace_back(Responder);
            onRequest(Request, Responder);
          }) {}

void StoreStandIn::setSecondRefused(bool Refused) {
  SecondRefused = Refused;
  if (!Refused)
    return;
  for (const auto &Weak : std::exchange(SecondRequests, {}))
    if (const ResponderPtr To = Weak.lock())
      if (std::erase_if(Watches,
                        [&](const PendingWatch &W) { return W.To == To; }) > 0)
        To->abort();
}

http::Headers StoreStandIn::headers() const {
  http::Headers Out = jsonType();
  Out.push_back({"Store-Era", std::to_string(Era)});
  if (Fault == StoreFault::Throttled)
    Out.push_back({"Retry-After", "1"});
  return Out;
}

void StoreStandIn::keepCopy() {
  Copies.push_back({currentTime().Steady, Revision, Objects});
  if (Copies.size() > MaxCopies)
    Copies.pop_front();
}

void StoreStandIn::restore(Time Now, Duration Age) {
  while (Copies.size() > 1 && Copies.back().At > Now - Age)
    Copies.pop_back();
  if (!Copies.empty()) {
    Revision = Copies.back().Revision;
    Objects = Copies.back().Objects;
  }
  ++Era;
  std::erase_if(Changes,
                [&](const Change &C) { return C.Revision > Revision; });
  std::list<PendingWatch> Cut;
  Cut.swap(Watches);
  for (const PendingWatch &Pending : Cut)
    Pending.To->abort();
}

std::vector<std::string> StoreStandIn::names(const std::string &Kind) const {
  std::vector<std::string> Out;
  if (const auto It = Objects.find(Kind); It != Objects.end())
    for (const auto &[Name, Object] : It->second)
      Out.push_back(Name);
  return Out;
}

void StoreStandIn::put(const std::string &Kind, const std::string &Name,
                       Json Spec) {
  store(Kind, Name, {{"spec", std::move(Spec)}, {"status", nullptr}});
}

void StoreStandIn::putSpecText(const std::string &Kind, const std::string &Name,
                               const std::string &Spec) {
  store(Kind, Name, {{SpecText, Spec}});
}

void StoreStandIn::putObjectText(const std::string &Kind,
                                 const std::string &Name,
                                 const std::string &Object) {
  store(Kind, Name, {{ObjectText, Object}});
}

void StoreStandIn::store(const std::string &Kind, const std::string &Name,
                         Json Object) {
  ++Revision;
  Object["metadata"] = {{"name", Name},
                        {"revision", Revision},
                        {"created_rev", Revision},
                        {"finalizers", Json::array()},
                        {"deleting", false}};
  Objects[Kind][Name] = Object;
  keepCopy();
  notifyWatches(Kind, Object, false);
}

void StoreStandIn::erase(const std::string &Kind, const std::string &Name) {
  const auto It = Objects[Kind].find(Name);
  if (It == Objects[Kind].end())
    return;
  Json Object = It->second;
  Object["metadata"]["revision"] = ++Revision;
  Objects[Kind].erase(It);
  keepCopy();
  notifyWatches(Kind, Object, true);
}

void StoreStandIn::dropHistory() {
  HistoryFrom = Revision + 1;
  Changes.clear();
}

void StoreStandIn::notifyWatches(const std::string &Kind, const Json &Object,
                                 bool Removed) {
  Changes.push_back({Revision, Kind,
                     "{\"object\":" + textOf(Object) + ",\"tombstone\":" +
                         (Removed ? "true" : "false") + "}"});
  std::list<PendingWatch> Answered;
  for (auto It = Watches.begin(); It != Watches.end();) {
    const auto Next = std::next(It);
    if (It->Kind == Kind)
      Answered.splice(Answered.end(), Watches, It);
    It = Next;
  }
  for (const PendingWatch &Pending : Answered)
    answerWatch(Pending);
}

void StoreStandIn::answerWatch(const PendingWatch &Pending) {
  if (Pending.Since < HistoryFrom || Pending.Since > Revision)
    return Pending.To->respond(410, headers(), "{}");
  std::vector<std::string> Events;
  for (const Change &C : Changes)
    if (C.Revision > Pending.Since && C.Kind == Pending.Kind)
      Events.push_back(C.Event);
  Pending.To->respond(200, headers(),
                      "{\"events\":" + joined(Events) + ",\"store_revision\":" +
                          std::to_string(Revision) + "}");
}

bool StoreStandIn::hasChanges(const PendingWatch &Pending) const {
  return Pending.Since < HistoryFrom || Pending.Since > Revision ||
         std::any_of(Changes.begin(), Changes.end(), [&](const Change &C) {
           return C.Revision > Pending.Since && C.Kind == Pending.Kind;
         });
}

void StoreStandIn::onRequest(const http::Request &Request,
                             const ResponderPtr &Responder) {
  if (!Request.path().starts_with(Prefix))
    return Responder->respond(404, headers(), "");
  if (!answerWithFault(Request, Responder))
    serve(Request, Responder);
}

bool StoreStandIn::answerWithFault(const http::Request &Request,
                                   const ResponderPtr &Responder) {
  switch (Fault) {
  case StoreFault::None:
  case StoreFault::FirstPageOnly:
    return false;
  case StoreFault::Unavailable:
    Responder->respond(503, headers(), "");
    return true;
  case StoreFault::Throttled:
    Responder->respond(429, headers(), "");
    return true;
  case StoreFault::Silent:
    Unanswered.push_back(Responder);
    return true;
  case StoreFault::Slow:
    runAfter(SlowAnswer,
             [this, Request, Responder] { serve(Request, Responder); });
    return true;
  case StoreFault::Garbage:
    Responder->respond(200, headers(), "{\"items\": 7, \"events\": [[");
    return true;
  case StoreFault::Truncated:
    Responder->begin(200, headers());
    Responder->data(std::string("{\"items\": []}").substr(0, TruncatedBytes));
    Responder->abort();
    return true;
  }
  return false;
}

void StoreStandIn::serve(const http::Request &Request,
                         const ResponderPtr &Responder) {
  const std::string Kind(Request.path().substr(Prefix.size()));
  if (Request.query("watch").empty())
    return list(Kind,
                Fault == StoreFault::FirstPageOnly
                    ? ""
                    : decodeQueryValue(Request.query("after")),
                Responder);
  watch({Kind, parseNumber(Request.query("watch")), Responder},
        std::chrono::milliseconds(parseNumber(Request.query("wait_ms"))));
}

void StoreStandIn::list(const std::string &Kind, const std::string &After,
                        const ResponderPtr &Responder) const {
  std::vector<std::string> Items;
  size_t Bytes = 0;
  bool Truncated = false;
  if (const auto Found = Objects.find(Kind); Found != Objects.end())
    for (auto It = After.empty() ? Found->second.begin()
                                 : Found->second.upper_bound(After);
         It != Found->second.end(); ++It) {
      std::string Item = textOf(It->second);
      Bytes += Item.size();
      Truncated =
          Items.size() == PageSize || (!Items.empty() && Bytes > MaxPageBytes);
      if (Truncated)
        break;
      Items.push_back(std::move(Item));
    }
  Responder->respond(200, headers(),
                     "{\"items\":" + joined(Items) +
                         ",\"truncated\":" + (Truncated ? "true" : "false") +
                         ",\"store_revision\":" + std::to_string(Revision) +
                         "}");
}

void StoreStandIn::watch(PendingWatch Pending,
                         std::chrono::milliseconds MaxWait) {
  if (hasChanges(Pending))
    return answerWatch(Pending);
  Watches.push_back(Pending);
  runAfter(MaxWait, [this, To = Pending.To] {
    const auto It =
        std::find_if(Watches.begin(), Watches.end(),
                     [&](const PendingWatch &Other) { return Other.To == To; });
    if (It == Watches.end())
      return;
    Watches.erase(It);
    To->respond(
        200, headers(),
        Json{{"events", Json::array()}, {"store_revision", Revision}}.dump());
  });
}

void StoreStandIn::runAfter(std::chrono::milliseconds Delay,
                            std::function<void()> Callback) {
  runLater(Io, Delay, std::move(Callback));
}

} // namespace goldcrestlink::testing
