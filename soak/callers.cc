// Calls arrive by a timer at an even rate, whatever becomes of earlier ones, up
// to a bound on open calls. A call ends by its answer, by its connection, by
// its caller's departure, or by the caller's patience.
#include "soak/callers.h"

#include <future>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/random.h"
#include "http/client.h"
#include "soak/schedule.h"
#include "testing/standin_support.h"

namespace goldcrestlink::soak {

namespace asio = boost::asio;

namespace {

constexpr auto SendInterval = std::chrono::milliseconds(10);
// Shares of the kinds, in percent; the rest are streams.
constexpr uint64_t OnceShare = 25;
constexpr uint64_t ReadShare = 25;
constexpr uint64_t ExtraShare = 6;
// Of streams, in percent: long ones, and those whose caller leaves early.
constexpr uint64_t LongShare = 10;
constexpr uint64_t LeavingShare = 10;
constexpr uint64_t ShortEvents = 12;
constexpr uint64_t LongEvents = 150;
constexpr uint64_t LeftEvents = 300;
constexpr auto LeavesAfter = std::chrono::milliseconds(300);

std::string_view pathOf(CallKind K) {
  constexpr std::string_view Paths[] = {"/once/x", "/read/x", "/stream/x",
                                        "/extra/x"};
  return Paths[static_cast<size_t>(K)];
}

struct OpenCall {
  std::string Id;
  SeenAnswer Seen;
  std::shared_ptr<http::Call> Running;
  std::function<void(bool)> Done;
  bool Ended = false;
};

} // namespace

struct Callers::State {
  State(std::vector<http::Endpoint> InEntries, PromiseOracle &Judge,
        uint64_t Seed, CallersOptions O)
      : Entries(std::move(InEntries)), Judge(Judge), Luck(Seed), O(O),
        Client(Io), Timer(Io), Thread([this] {
          auto Guard = asio::make_work_guard(Io);
          Io.run();
        }) {
    asio::post(Io, [this] { sendDue(); });
  }

  ~State() {
    Io.stop();
    Thread.join();
  }

  static Time now() { return presentTime().Steady; }

  void sendDue() {
    Due +=
        O.rate() * Factor * std::chrono::duration<double>(SendInterval).count();
    for (; Due >= 1; Due -= 1)
      if (Sending && Open < O.maxOpen())
        send(Luck.below(Entries.size()), drawKind(), {});
    Timer.expires_after(SendInterval);
    Timer.async_wait([this](boost::system::error_code Error) {
      if (!Error && Sending)
        sendDue();
    });
  }

  CallKind drawKind() {
    const uint64_t Draw = Luck.below(100);
    if (Draw < OnceShare)
      return CallKind::Once;
    if (Draw < OnceShare + ReadShare)
      return CallKind::Read;
    return Draw < OnceShare + ReadShare + ExtraShare ? CallKind::Extra
                                                     : CallKind::Stream;
  }

  // Few adapters get most calls.
  std::string drawAdapter() {
    const double U = Luck.unit();
    return "a" + std::to_string(static_cast<size_t>(U * U * AdapterCount));
  }

  void send(size_t Entry, CallKind Kind, std::function<void(bool)> Done) {
    const uint64_t Draw = Luck.below(100);
    const bool Leaves =
        Kind == CallKind::Stream && !Done && Draw < LeavingShare;
    const bool Long = !Done && Draw < LeavingShare + LongShare;
    const uint64_t Events =
        Leaves ? LeftEvents : (Long ? LongEvents : 1 + Luck.below(ShortEvents));
    auto C = std::make_shared<OpenCall>();
    C->Id = "r" + std::to_string(++LastId);
    C->Done = std::move(Done);
    http::Request R;
    R.Method = "POST";
    R.Target = std::string(pathOf(Kind));
    R.Body = C->Id + " events=" + std::to_string(Events);
    R.Fields = {
        {"Host", "h"},
        {"Request-Id", C->Id},
        {"Request-Deadline", std::to_string(O.deadline().count() / 1000)}};
    if (Kind == CallKind::Stream) {
      R.Fields.push_back({"Model", "m/" + drawAdapter()});
      R.Fields.push_back({"Token-Count", "100," + std::to_string(Events)});
    }
    Judge.onSent(now(), {C->Id, Kind, Entry, R.Target, R.Body});
    ++Open;
    start(C, Entry, std::move(R), Leaves);
  }

  void start(const std::shared_ptr<OpenCall> &C, size_t Entry, http::Request R,
             bool Leaves) {
    http::CallHandlers On;
    On.OnHead = [C](const http::ResponseHead &Head) {
      C->Seen.Status = Head.Status;
      C->Seen.RequestId = std::string(Head.header("Request-Id"));
      C->Seen.Signature = std::string(Head.header("Response-Seal"));
      C->Seen.HasRetryAfter = !Head.header("Retry-After").empty();
    };
    On.OnData = [this, C, Leaves](std::string Part) {
      if (Leaves && C->Seen.Body.empty())
        testing::runLater(Io, LeavesAfter,
                          [this, C] { giveUp(C, CallEnd::LeftByCaller); });
      C->Seen.Body += Part;
    };
    On.OnDone = [this, C] { end(C, CallEnd::Whole); };
    On.OnError = [this, C](http::CallError, const std::string &) {
      end(C, CallEnd::Broken);
    };
    const Duration Longest = O.deadline() + O.patience();
    http::CallOptions Options;
    Options.setRepeatReads(false).setSilenceTimeout(Longest * 2);
    C->Running = Client.start(Entries[Entry], std::move(R), Options, On);
    testing::runLater(
        Io, std::chrono::duration_cast<std::chrono::milliseconds>(Longest),
        [this, C] { giveUp(C, CallEnd::Unanswered); });
  }

  void giveUp(const std::shared_ptr<OpenCall> &C, CallEnd How) {
    if (C->Ended)
      return;
    C->Running->cancel();
    end(C, How);
  }

  void end(const std::shared_ptr<OpenCall> &C, CallEnd How) {
    if (C->Ended)
      return;
    C->Ended = true;
    C->Seen.End = How;
    Judge.onAnswer(now(), C->Id, C->Seen);
    --Open;
    if (C->Done)
      C->Done(How == CallEnd::Whole && C->Seen.Status == 200);
    // The handlers in the call refer to C.
    asio::post(Io, [C] { C->Running.reset(); });
  }

  std::vector<http::Endpoint> Entries;
  PromiseOracle &Judge;
  Random Luck;
  CallersOptions O;
  double Factor = 1;
  double Due = 0;
  size_t Open = 0;
  uint64_t LastId = 0;
  bool Sending = true;
  asio::io_context Io{1};
  http::Client Client;
  asio::steady_timer Timer;
  std::thread Thread;
};

Callers::Callers(std::vector<http::Endpoint> Entries, PromiseOracle &Judge,
                 uint64_t Seed, CallersOptions O)
    : Shared(std::make_unique<State>(std::move(Entries), Judge, Seed, O)) {}

Callers::~Callers() = default;

void Callers::setRateFactor(double Factor) {
  asio::post(Shared->Io, [S = Shared.get(), Factor] { S->Factor = Factor; });
}

void Callers::dropIdle(size_t Entry) {
  asio::post(Shared->Io, [S = Shared.get(), Entry] {
    S->Client.dropIdle(S->Entries[Entry]);
  });
}

bool Callers::isServed(size_t Entry, CallKind Kind) {
  std::promise<bool> Served;
  asio::post(Shared->Io, [&] {
    Shared->send(Entry, Kind, [&](bool Well) { Served.set_value(Well); });
  });
  return Served.get_future().get();
}

void Callers::stop() {
  for (;;) {
    std::promise<size_t> Left;
    asio::post(Shared->Io, [&] {
      Shared->Sending = false;
      Left.set_value(Shared->Open);
    });
    if (Left.get_future().get() == 0)
      return;
    std::this_thread::sleep_for(SendInterval);
  }
}

} // namespace goldcrestlink::soak
