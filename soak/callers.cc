// A timer sends calls at an even rate, independent of the progress of earlier
// calls, up to a bound on open calls, which also bounds memory. A call ends
// when its answer is complete, its connection breaks, its caller disconnects or
// its deadline and grace period have passed.
#include "soak/callers.h"

#include <future>
#include <set>
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
// Percentage of calls by kind; the rest are streams.
constexpr uint64_t OncePercent = 25;
constexpr uint64_t ReadPercent = 25;
constexpr uint64_t ExtraPercent = 6;
// Percentage of streams that are long, and of streams whose caller disconnects
// AbandonAfter after the first byte.
constexpr uint64_t LongPercent = 10;
constexpr uint64_t AbandonedPercent = 10;
constexpr uint64_t MaxShortStreamEvents = 12;
constexpr uint64_t LongStreamEvents = 150;
constexpr uint64_t AbandonedStreamEvents = 300;
// About three seconds.
constexpr uint64_t FillingStreamEvents = 300;
// Between the answer to a deadly request and its next repeat.
constexpr auto DeadlyInterval = std::chrono::milliseconds(300);
constexpr auto AbandonAfter = std::chrono::milliseconds(300);

std::string_view pathOf(CallKind Kind) {
  constexpr std::string_view Paths[] = {"/once/x", "/read/x", "/stream/x",
                                        "/extra/x"};
  return Paths[static_cast<size_t>(Kind)];
}

struct OpenCall {
  std::string Id;
  ObservedAnswer Answer;
  std::shared_ptr<http::Call> Running;
  std::function<void(bool)> Done;
  bool Ended = false;
};

} // namespace

struct Callers::State {
  State(std::vector<http::Endpoint> InEntries, GuaranteeOracle &Oracle,
        uint64_t Seed, CallersOptions Opts)
      : Entries(std::move(InEntries)), Oracle(Oracle), Rand(Seed), Opts(Opts),
        Client(Io), Timer(Io), Thread([this] {
          auto Guard = asio::make_work_guard(Io);
          Io.run();
        }) {
    asio::post(Io, [this] { sendDueCalls(); });
  }

  ~State() {
    Io.stop();
    Thread.join();
  }

  static Time now() { return currentTime().Steady; }

  void sendDueCalls() {
    CallsDue += Opts.rate() * RateFactor *
                std::chrono::duration<double>(SendInterval).count();
    for (; CallsDue >= 1; CallsDue -= 1)
      if (Sending && OpenCalls < Opts.maxOpen())
        send(Rand.below(Entries.size()), randomKind(), {});
    Timer.expires_after(SendInterval);
    Timer.async_wait([this](boost::system::error_code Error) {
      if (!Error && Sending)
        sendDueCalls();
    });
  }

  CallKind randomKind() {
    const uint64_t Draw = Rand.below(100);
    if (Draw < OncePercent)
      return CallKind::Once;
    if (Draw < OncePercent + ReadPercent)
      return CallKind::Read;
    return Draw < OncePercent + ReadPercent + ExtraPercent ? CallKind::Extra
                                                           : CallKind::Stream;
  }

  // Skewed towards low numbers, so that a few adapters receive most calls.
  std::string randomAdapter() {
    const double Uniform = Rand.unit();
    return "a" + std::to_string(
                     static_cast<size_t>(Uniform * Uniform * AdapterCount));
  }

  void startDeadly(size_t Number) {
    if (Deadly.insert(Number).second)
      repeatDeadly(Number);
  }

  void repeatDeadly(size_t Number) {
    if (!Sending)
      return;
    constexpr CallKind Kinds[] = {CallKind::Once, CallKind::Read,
                                  CallKind::Stream};
    const auto Repeat = [this, Number](bool) {
      testing::runLater(Io, DeadlyInterval,
                        [this, Number] { repeatDeadly(Number); });
    };
    send(Rand.below(Entries.size()), Kinds[Number % std::size(Kinds)], Repeat,
         std::string(DeadlyBody) + std::to_string(Number));
  }

  // The content of a call is its id, unless \p Content is given, and its number
  // of events is random, unless \p EventCount is.
  void send(size_t Entry, CallKind Kind, std::function<void(bool)> Done,
            std::string Content = "", uint64_t EventCount = 0) {
    const uint64_t Draw = Rand.below(100);
    const bool IsAbandoned = Kind == CallKind::Stream && !Done &&
                             EventCount == 0 && Draw < AbandonedPercent;
    const bool IsLong = !Done && Draw < AbandonedPercent + LongPercent;
    const uint64_t RandomCount =
        IsAbandoned ? AbandonedStreamEvents
                    : (IsLong ? LongStreamEvents
                              : 1 + Rand.below(MaxShortStreamEvents));
    const uint64_t Events = EventCount > 0 ? EventCount : RandomCount;
    // Streams that fill the engines wait for each other; their deadline must
    // not cut them.
    const Duration Limit =
        EventCount > 0 ? Opts.deadline() + Opts.gracePeriod() : Opts.deadline();
    auto Call = std::make_shared<OpenCall>();
    Call->Id = "r" + std::to_string(++LastId);
    Call->Done = std::move(Done);
    http::Request Request;
    Request.Method = "POST";
    Request.Target = std::string(pathOf(Kind));
    const bool IsDeadly = !Content.empty();
    Request.Body = IsDeadly ? Content + " events=1"
                            : Call->Id + " events=" + std::to_string(Events);
    Request.Fields = {
        {"Host", "h"},
        {"Request-Id", Call->Id},
        {"Request-Deadline", std::to_string(Limit.count() / 1000)}};
    if (Kind == CallKind::Stream) {
      Request.Fields.push_back(
          {"Model", "m/" + (IsDeadly ? "a0" : randomAdapter())});
      Request.Fields.push_back(
          {"Token-Count", "100," + std::to_string(Events)});
    }
    Oracle.onSent(
        now(), {Call->Id, Kind, Entry, Request.Target, Request.Body, IsDeadly});
    ++OpenCalls;
    start(Call, Entry, std::move(Request), IsAbandoned);
  }

  void start(const std::shared_ptr<OpenCall> &Call, size_t Entry,
             http::Request Request, bool IsAbandoned) {
    http::CallHandlers On;
    On.OnHead = [Call](const http::ResponseHead &Head) {
      Call->Answer.Status = Head.Status;
      Call->Answer.RequestId = std::string(Head.header("Request-Id"));
      Call->Answer.Signature = std::string(Head.header("Response-Seal"));
      Call->Answer.HasRetryAfter = !Head.header("Retry-After").empty();
    };
    On.OnData = [this, Call, IsAbandoned](std::string Part) {
      if (IsAbandoned && Call->Answer.Body.empty())
        testing::runLater(Io, AbandonAfter, [this, Call] {
          cancel(Call, CallEnd::CallerDisconnected);
        });
      Call->Answer.Body += Part;
    };
    On.OnDone = [this, Call] { end(Call, CallEnd::Complete); };
    On.OnError = [this, Call](http::CallError, const std::string &) {
      end(Call, CallEnd::Broken);
    };
    const Duration MaxWait = Opts.deadline() + Opts.gracePeriod();
    http::CallOptions HttpOptions;
    HttpOptions.setRetryGets(false).setReadTimeout(MaxWait * 2);
    Call->Running =
        Client.start(Entries[Entry], std::move(Request), HttpOptions, On);
    testing::runLater(
        Io, std::chrono::duration_cast<std::chrono::milliseconds>(MaxWait),
        [this, Call] { cancel(Call, CallEnd::Unanswered); });
  }

  void cancel(const std::shared_ptr<OpenCall> &Call, CallEnd End) {
    if (Call->Ended)
      return;
    Call->Running->cancel();
    end(Call, End);
  }

  void end(const std::shared_ptr<OpenCall> &Call, CallEnd End) {
    if (Call->Ended)
      return;
    Call->Ended = true;
    Call->Answer.End = End;
    Oracle.onAnswer(now(), Call->Id, Call->Answer);
    --OpenCalls;
    if (Call->Done)
      Call->Done(End == CallEnd::Complete && Call->Answer.Status == 200);
    // The handlers of the HTTP call hold Call, which holds the HTTP call:
    // releasing Running breaks the cycle. The release is posted, since this
    // function may run inside one of the handlers.
    asio::post(Io, [Call] { Call->Running.reset(); });
  }

  std::vector<http::Endpoint> Entries;
  GuaranteeOracle &Oracle;
  Random Rand;
  CallersOptions Opts;
  double RateFactor = 1;
  double CallsDue = 0;
  size_t OpenCalls = 0;
  // Numbers of the deadly requests that are repeated.
  std::set<size_t> Deadly;
  uint64_t LastId = 0;
  bool Sending = true;
  asio::io_context Io{1};
  http::Client Client;
  asio::steady_timer Timer;
  std::thread Thread;
};

Callers::Callers(std::vector<http::Endpoint> Entries, GuaranteeOracle &Oracle,
                 uint64_t Seed, CallersOptions Opts)
    : Shared(std::make_unique<State>(std::move(Entries), Oracle, Seed, Opts)) {}

Callers::~Callers() = default;

void Callers::setRateFactor(double Factor) {
  asio::post(Shared->Io,
             [S = Shared.get(), Factor] { S->RateFactor = Factor; });
}

void Callers::dropIdle(size_t Entry) {
  asio::post(Shared->Io, [S = Shared.get(), Entry] {
    S->Client.dropIdle(S->Entries[Entry]);
  });
}

void Callers::startDeadly(size_t Number) {
  asio::post(Shared->Io,
             [S = Shared.get(), Number] { S->startDeadly(Number); });
}

void Callers::sendLongStreams(size_t Entry, size_t Count) {
  asio::post(Shared->Io, [S = Shared.get(), Entry, Count] {
    for (size_t I = 0; I < Count; ++I)
      S->send(Entry, CallKind::Stream, {}, "", FillingStreamEvents);
  });
}

bool Callers::callAndWait(size_t Entry, CallKind Kind) {
  std::promise<bool> Served;
  asio::post(Shared->Io, [&] {
    Shared->send(Entry, Kind, [&](bool Success) { Served.set_value(Success); });
  });
  return Served.get_future().get();
}

void Callers::stop() {
  for (;;) {
    std::promise<size_t> Remaining;
    asio::post(Shared->Io, [&] {
      Shared->Sending = false;
      Remaining.set_value(Shared->OpenCalls);
    });
    if (Remaining.get_future().get() == 0)
      return;
    std::this_thread::sleep_for(SendInterval);
  }
}

} // namespace goldcrestlink::soak
