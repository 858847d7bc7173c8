// Watches that wait are answered by the next change of their kind, with all
// changes since the revision that they named.
#include "testing/store_standin.h"

#include <algorithm>

#include "testing/standin_support.h"

namespace goldcrestlink::testing {

using Json = nlohmann::json;

namespace {
constexpr std::string_view Prefix = "/-/objects/";
constexpr size_t TornBytes = 7;
} // namespace

StoreStandIn::StoreStandIn(boost::asio::io_context &InIo)
    : Io(InIo), Server(Io, {"127.0.0.1", 0}, http::ServerOptions(),
                       [this](const http::Request &R, const Answer &A) {
                         onCall(R, A);
                       }) {}

void StoreStandIn::put(const std::string &Kind, const std::string &Name,
                       Json Spec) {
  ++Revision;
  Json Object = {{"metadata",
                  {{"name", Name},
                   {"revision", Revision},
                   {"created_rev", Revision},
                   {"finalizers", Json::array()},
                   {"deleting", false}}},
                 {"spec", std::move(Spec)},
                 {"status", nullptr}};
  Objects[Kind][Name] = Object;
  announce(Kind, Object, false);
}

void StoreStandIn::erase(const std::string &Kind, const std::string &Name) {
  const auto It = Objects[Kind].find(Name);
  if (It == Objects[Kind].end())
    return;
  Json Object = It->second;
  Object["metadata"]["revision"] = ++Revision;
  Objects[Kind].erase(It);
  announce(Kind, Object, true);
}

void StoreStandIn::dropHistory() {
  HistoryFrom = Revision + 1;
  Log.clear();
}

void StoreStandIn::announce(const std::string &Kind, const Json &Object,
                            bool Gone) {
  Log.push_back({Revision, Kind, {{"object", Object}, {"tombstone", Gone}}});
  std::list<Waiting> Answered;
  for (auto It = Watches.begin(); It != Watches.end();) {
    const auto Next = std::next(It);
    if (It->Kind == Kind)
      Answered.splice(Answered.end(), Watches, It);
    It = Next;
  }
  for (const Waiting &W : Answered)
    answerWatch(W);
}

void StoreStandIn::answerWatch(const Waiting &W) {
  if (W.Since < HistoryFrom)
    return W.To->whole(410, jsonType(), "{}");
  Json Events = Json::array();
  for (const Change &C : Log)
    if (C.Revision > W.Since && C.Kind == W.Kind)
      Events.push_back(C.Event);
  W.To->whole(200, jsonType(),
              Json{{"events", Events}, {"store_revision", Revision}}.dump());
}

bool StoreStandIn::hasNews(const Waiting &W) const {
  return W.Since < HistoryFrom ||
         std::any_of(Log.begin(), Log.end(), [&](const Change &C) {
           return C.Revision > W.Since && C.Kind == W.Kind;
         });
}

void StoreStandIn::onCall(const http::Request &R, const Answer &A) {
  if (!R.path().starts_with(Prefix))
    return A->whole(404, {}, "");
  if (!answerFaulty(R, A))
    serve(R, A);
}

bool StoreStandIn::answerFaulty(const http::Request &R, const Answer &A) {
  switch (Fault) {
  case StoreFault::None:
    return false;
  case StoreFault::Unavailable:
    A->whole(503, {}, "");
    return true;
  case StoreFault::Throttled:
    A->whole(429, {{"Retry-After", "1"}}, "");
    return true;
  case StoreFault::Silent:
    Unanswered.push_back(A);
    return true;
  case StoreFault::Slow:
    later(SlowAnswer, [this, R, A] { serve(R, A); });
    return true;
  case StoreFault::Garbage:
    A->whole(200, jsonType(), "{\"items\": 7, \"events\": [[");
    return true;
  case StoreFault::Torn:
    A->begin(200, jsonType());
    A->data(std::string("{\"items\": []}").substr(0, TornBytes));
    A->abort();
    return true;
  }
  return false;
}

void StoreStandIn::serve(const http::Request &R, const Answer &A) {
  const std::string Kind(R.path().substr(Prefix.size()));
  if (R.query("watch").empty())
    return list(Kind, A);
  watch({Kind, numberOf(R.query("watch")), A},
        std::chrono::milliseconds(numberOf(R.query("wait_ms"))));
}

void StoreStandIn::list(const std::string &Kind, const Answer &A) const {
  Json Items = Json::array();
  if (const auto It = Objects.find(Kind); It != Objects.end())
    for (const auto &[Name, Object] : It->second)
      Items.push_back(Object);
  A->whole(
      200, jsonType(),
      Json{{"items", Items}, {"truncated", false}, {"store_revision", Revision}}
          .dump());
}

void StoreStandIn::watch(Waiting W, std::chrono::milliseconds Longest) {
  if (hasNews(W))
    return answerWatch(W);
  Watches.push_back(W);
  later(Longest, [this, To = W.To] {
    const auto It =
        std::find_if(Watches.begin(), Watches.end(),
                     [&](const Waiting &Other) { return Other.To == To; });
    if (It == Watches.end())
      return;
    Watches.erase(It);
    To->whole(
        200, jsonType(),
        Json{{"events", Json::array()}, {"store_revision", Revision}}.dump());
  });
}

void StoreStandIn::later(std::chrono::milliseconds D,
                         std::function<void()> Do) {
  runLater(Io, D, std::move(Do));
}

} // namespace goldcrestlink::testing
