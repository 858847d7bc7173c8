// A stand-in of the platform's store: objects by kind, a log of changes, lists
// and watches, and the ways in which a store misbehaves.
//
//   StoreStandIn Store(Io);
//   Store.put("config", "main", Spec);
//   Store.setFault(StoreFault::Silent);
#ifndef GOLDCRESTLINK_TESTING_STORE_STANDIN_H
#define GOLDCRESTLINK_TESTING_STORE_STANDIN_H

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http/server.h"

namespace goldcrestlink::testing {

/// How calls to the store are answered: as they should be, with 503, with 429,
/// never, after SlowAnswer, with bytes that are no JSON, or with the connection
/// cut in the midst of the answer.
enum class StoreFault {
  None,
  Unavailable,
  Throttled,
  Silent,
  Slow,
  Garbage,
  Torn
};

/// Not thread-safe: all on the thread of its io_context.
class StoreStandIn {
public:
  explicit StoreStandIn(boost::asio::io_context &Io);

  uint16_t port() const { return Server.port(); }
  void put(const std::string &Kind, const std::string &Name,
           nlohmann::json Spec);
  /// Nothing happens if there is no such object.
  void erase(const std::string &Kind, const std::string &Name);
  /// Watches that wait hear nothing of it; later ones are told to list again.
  void dropHistory();
  void setFault(StoreFault F) { Fault = F; }

  static constexpr auto SlowAnswer = std::chrono::milliseconds(1500);

private:
  using Answer = std::shared_ptr<http::Responder>;
  struct Change {
    uint64_t Revision;
    std::string Kind;
    nlohmann::json Event;
  };
  struct Waiting {
    std::string Kind;
    uint64_t Since;
    Answer To;
  };

  void announce(const std::string &Kind, const nlohmann::json &Object,
                bool Gone);
  void answerWatch(const Waiting &W);
  bool hasNews(const Waiting &W) const;
  void onCall(const http::Request &R, const Answer &A);
  bool answerFaulty(const http::Request &R, const Answer &A);
  void serve(const http::Request &R, const Answer &A);
  void list(const std::string &Kind, const Answer &A) const;
  void watch(Waiting W, std::chrono::milliseconds Longest);
  void later(std::chrono::milliseconds D, std::function<void()> Do);

  boost::asio::io_context &Io;
  uint64_t Revision = 1;
  uint64_t HistoryFrom = 0;
  StoreFault Fault = StoreFault::None;
  std::map<std::string, std::map<std::string, nlohmann::json>> Objects;
  std::vector<Change> Log;
  std::list<Waiting> Watches;
  /// Kept, since an answer that is dropped closes its connection.
  std::vector<Answer> Unanswered;
  http::Server Server;
};

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_STORE_STANDIN_H
