// A stand-in for the platform's store. It serves lists and watches of objects
// by kind, keeps a log of changes, can be set to answer faultily, and can come
// back from an older copy of its state.
//
//   StoreStandIn Store(Io);
//   Store.put("config", "main", Spec);
//   Store.setFault(StoreFault::Silent);
#ifndef GOLDCRESTLINK_TESTING_STORE_STANDIN_H
#define GOLDCRESTLINK_TESTING_STORE_STANDIN_H

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/time.h"
#include "http/server.h"

namespace goldcrestlink::testing {

/// How the store answers requests.
enum class StoreFault {
  /// Correctly.
  None,
  /// With status 503.
  Unavailable,
  /// With status 429.
  Throttled,
  /// Never; the connection stays open.
  Silent,
  /// Correctly, after SlowAnswer.
  Slow,
  /// With a body that is not valid JSON.
  Garbage,
  /// With a part of the body, after which the connection is closed.
  Truncated,
  /// Every page of a list with the first one.
  FirstPageOnly
};

/// Not thread-safe: to be used on the thread that runs its io_context.
class StoreStandIn {
public:
  explicit StoreStandIn(boost::asio::io_context &Io);

  uint16_t port() const { return Server.port(); }
  /// A second port, for clients that the store is to refuse while it serves the
  /// others.
  uint16_t secondPort() const { return SecondServer.port(); }
  /// While set, requests to the second port are answered with 503; those in
  /// progress are cut off.
  void setSecondRefused(bool Refused);
  /// Creates or replaces an object and notifies the watches of its kind.
  void put(const std::string &Kind, const std::string &Name,
           nlohmann::json Spec);
  /// The same with a specification that need not be valid JSON.
  void putSpecText(const std::string &Kind, const std::string &Name,
                   const std::string &Spec);
  /// The same with a complete object that need not be valid JSON. \p Name only
  /// identifies it here.
  void putObjectText(const std::string &Kind, const std::string &Name,
                     const std::string &Object);
  /// Lists have at most this many objects on a page from now on.
  void setPageSize(size_t Count) { PageSize = Count; }
  /// Removes an object and notifies the watches of its kind. Does nothing if
  /// the object does not exist.
  void erase(const std::string &Kind, const std::string &Name);
  /// Drops the log of changes up to the present revision. Open watches are not
  /// notified; the next change of their kind answers them with 410, which
  /// requires a new list. Later watches from the present revision or an earlier
  /// one are answered with 410 at once.
  void dropHistory();
  void setFault(StoreFault F) { Fault = F; }
  /// Returns to the state of \p Age ago, or to the oldest copy that is kept.
  /// Revisions go back with it, the era rises, and open watches are cut off.
  void restore(Time Now, Duration Age);
  std::vector<std::string> names(const std::string &Kind) const;
  uint64_t revision() const { return Revision; }

  static constexpr auto SlowAnswer = std::chrono::milliseconds(1500);
  /// The size of the objects on a page, unless the first alone is larger.
  static constexpr size_t MaxPageBytes = 1024 * 1024;
  /// Copies of the state that are kept, one for each change.
  static constexpr size_t MaxCopies = 512;

private:
  using ResponderPtr = std::shared_ptr<http::Responder>;
  using ObjectMap =
      std::map<std::string, std::map<std::string, nlohmann::json>>;
  struct Copy {
    Time At{};
    uint64_t Revision = 0;
    ObjectMap Objects;
  };
  struct Change {
    uint64_t Revision;
    std::string Kind;
    std::string Event;
  };
  /// A watch that has not been answered yet.
  struct PendingWatch {
    std::string Kind;
    uint64_t Since;
    ResponderPtr To;
  };

  http::Headers headers() const;
  void keepCopy();
  void notifyWatches(const std::string &Kind, const nlohmann::json &Object,
                     bool Removed);
  void answerWatch(const PendingWatch &Pending);
  bool hasChanges(const PendingWatch &Pending) const;
  void onRequest(const http::Request &Request, const ResponderPtr &Responder);
  bool answerWithFault(const http::Request &Request,
                       const ResponderPtr &Responder);
  void serve(const http::Request &Request, const ResponderPtr &Responder);
  void store(const std::string &Kind, const std::string &Name,
             nlohmann::json Object);
  void list(const std::string &Kind, const std::string &After,
            const ResponderPtr &Responder) const;
  void watch(PendingWatch Pending, std::chrono::milliseconds MaxWait);
  void runAfter(std::chrono::milliseconds Delay,
                std::function<void()> Callback);

  boost::asio::io_context &Io;
  uint64_t Revision = 1;
  /// Watches from a revision below this are answered with 410.
  uint64_t HistoryFrom = 0;
  uint64_t Era = 1;
  StoreFault Fault = StoreFault::None;
  ObjectMap Objects;
  size_t PageSize = 500;
  std::deque<Copy> Copies;
  std::vector<Change> Changes;
  std::list<PendingWatch> Watches;
  /// Held open for StoreFault::Silent: destroying a responder closes its
  /// connection.
  std::vector<ResponderPtr> Unanswered;
  bool SecondRefused = false;
  /// Of requests to the second port.
  std::vector<std::weak_ptr<http::Responder>> SecondRequests;
  http::Server Server;
  http::Server SecondServer;
};

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_STORE_STANDIN_H
