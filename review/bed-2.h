// Stand-ins for the cases of the second review: the platform's store, model
// runners, plain runners and clients, with blocking sockets and one thread for
// each connection, and the processes under test. Everything is on loopback
// addresses and on the real clock.
//
//   bed::Bed B("review/6/record.txt");
//   bed::Plain P(B, "i-p1", "wuno96b", "127.0.13.1");
//   B.Store.put("config", "main", bed::configText(1));
//   B.startEntry("entry-1", "127.0.12.1");
//   bed::Answer A = bed::call({"127.0.12.1", B.FrontPort}, Request, 4000);
#ifndef GOLDCRESTLINK_REVIEW_BED_2_H
#define GOLDCRESTLINK_REVIEW_BED_2_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace bed {

using Clock = std::chrono::steady_clock;

inline Clock::time_point start() {
  static const Clock::time_point Start = Clock::now();
  return Start;
}

/// Milliseconds since the start of the case.
inline double now() {
  return std::chrono::duration<double, std::milli>(Clock::now() - start())
      .count();
}

inline void sleepMs(double Ms) {
  if (Ms > 0)
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(Ms));
}

struct Address {
  std::string Ip;
  int Port = 0;
  std::string text() const { return Ip + ":" + std::to_string(Port); }
};

inline sockaddr_in socketAddress(const Address &A) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(static_cast<uint16_t>(A.Port));
  inet_pton(AF_INET, A.Ip.c_str(), &Out.sin_addr);
  return Out;
}

/// A port that is free on all loopback addresses at this moment.
inline int freePort() {
  const int Handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in A{};
  A.sin_family = AF_INET;
  A.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof(A);
  int Port = 0;
  if (bind(Handle, reinterpret_cast<sockaddr *>(&A), sizeof(A)) == 0 &&
      getsockname(Handle, reinterpret_cast<sockaddr *>(&A), &Length) == 0)
    Port = ntohs(A.sin_port);
  close(Handle);
  return Port;
}

using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string lower(std::string Text) {
  for (char &C : Text)
    if (C >= 'A' && C <= 'Z')
      C = static_cast<char>(C + 32);
  return Text;
}

inline std::string field(const Fields &All, const std::string &Name) {
  for (const auto &[Key, Value] : All)
    if (lower(Key) == lower(Name))
      return Value;
  return "";
}

/// A connection with a read buffer. Not thread-safe, but for shut().
class Connection {
public:
  explicit Connection(int InHandle) : Handle(InHandle) {
    const int On = 1;
    setsockopt(Handle, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() { close(Handle); }

  bool write(const std::string &Text) {
    size_t Done = 0;
    while (Done < Text.size()) {
      const ssize_t N =
          send(Handle, Text.data() + Done, Text.size() - Done, MSG_NOSIGNAL);
      if (N <= 0)
        return false;
      Done += static_cast<size_t>(N);
    }
    return true;
  }

  /// Reads more bytes into the buffer until \p Until; false at the end of the
  /// connection or the time.
  bool fill(double Until) {
    const double Left = Until - now();
    pollfd P{Handle, POLLIN, 0};
    if (Left <= 0 || poll(&P, 1, static_cast<int>(Left) + 1) <= 0) {
      TimedOut = true;
      return false;
    }
    char Bytes[16384];
    const ssize_t N = recv(Handle, Bytes, sizeof(Bytes), 0);
    WasReset |= N < 0;
    if (N <= 0)
      return false;
    Buffer.append(Bytes, static_cast<size_t>(N));
    return true;
  }

  bool readLine(std::string &Out, double Until) {
    size_t End = 0;
    while ((End = Buffer.find('\n')) == std::string::npos)
      if (!fill(Until))
        return false;
    Out = Buffer.substr(0, End);
    Buffer.erase(0, End + 1);
    if (!Out.empty() && Out.back() == '\r')
      Out.pop_back();
    return true;
  }

  bool readBytes(std::string &Out, size_t Count, double Until) {
    while (Buffer.size() < Count)
      if (!fill(Until))
        return false;
    Out += Buffer.substr(0, Count);
    Buffer.erase(0, Count);
    return true;
  }

  bool readFields(Fields &Out, double Until) {
    std::string Line;
    for (;;) {
      if (!readLine(Line, Until))
        return false;
      if (Line.empty())
        return true;
      const size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        return false;
      size_t Value = Colon + 1;
      while (Value < Line.size() && Line[Value] == ' ')
        ++Value;
      Out.emplace_back(Line.substr(0, Colon), Line.substr(Value));
    }
  }

  /// Reads the body that \p Head announces; \p OnPart gets its parts. Returns
  /// whether it is whole. \p ToEnd: without a length it ends with the
  /// connection.
  bool readBody(const Fields &Head, std::string &Out, bool ToEnd, double Until,
                const std::function<void()> &OnPart = {}) {
    if (lower(field(Head, "Transfer-Encoding")) == "chunked") {
      std::string Line;
      for (;;) {
        if (!readLine(Line, Until))
          return false;
        const size_t Size = std::strtoul(Line.c_str(), nullptr, 16);
        if (!readBytes(Out, Size, Until) || !readLine(Line, Until))
          return false;
        if (OnPart)
          OnPart();
        if (Size == 0)
          return true;
      }
    }
    const std::string Length = field(Head, "Content-Length");
    if (!Length.empty())
      return readBytes(Out, std::strtoul(Length.c_str(), nullptr, 10), Until);
    if (!ToEnd)
      return true;
    while (fill(Until))
      ;
    Out += Buffer;
    Buffer.clear();
    return !TimedOut && !WasReset;
  }

  /// True once the peer has closed or reset the connection.
  bool isClosed() const {
    pollfd P{Handle, POLLIN | POLLRDHUP, 0};
    if (poll(&P, 1, 0) <= 0)
      return false;
    if (P.revents & (POLLRDHUP | POLLHUP | POLLERR))
      return true;
    char Byte = 0;
    return recv(Handle, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }
  void shut() const { shutdown(Handle, SHUT_RDWR); }
  void resetOnClose() const {
    const linger L{1, 0};
    setsockopt(Handle, SOL_SOCKET, SO_LINGER, &L, sizeof(L));
  }
  bool timedOut() const { return TimedOut; }

private:
  int Handle;
  std::string Buffer;
  bool TimedOut = false;
  bool WasReset = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

struct Request {
  std::string Method = "POST";
  std::string Target = "/";
  Fields Head;
  std::string Body;
  std::string header(const std::string &Name) const {
    return field(Head, Name);
  }
  std::string path() const { return Target.substr(0, Target.find('?')); }
  std::string query(const std::string &Name) const {
    const size_t Mark = Target.find('?');
    if (Mark == std::string::npos)
      return "";
    std::stringstream Rest(Target.substr(Mark + 1));
    for (std::string Pair; std::getline(Rest, Pair, '&');)
      if (Pair.starts_with(Name + "="))
        return Pair.substr(Name.size() + 1);
    return "";
  }
};

inline std::string answerText(int Status, const Fields &Head,
                              const std::string &Body) {
  std::string Out = "HTTP/1.1 " + std::to_string(Status) + " X\r\n";
  for (const auto &[Name, Value] : Head)
    Out += Name + ": " + Value + "\r\n";
  return Out + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// Serves requests, each connection on a thread of its own. The handler answers
/// on the connection and returns whether that stays open. The threads end with
/// the process.
class HttpServer {
public:
  using Handler = std::function<bool(const Request &, Connection &)>;

  HttpServer(Address InAt, Handler InOnRequest)
      : At(std::move(InAt)), OnRequest(std::move(InOnRequest)) {
    open();
  }

  const Address &address() const { return At; }

  void open() {
    const int New = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    setsockopt(New, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    sockaddr_in A = socketAddress(At);
    if (bind(New, reinterpret_cast<sockaddr *>(&A), sizeof(A)) != 0 ||
        listen(New, 512) != 0)
      throw std::runtime_error("cannot listen on " + At.text());
    socklen_t Length = sizeof(A);
    getsockname(New, reinterpret_cast<sockaddr *>(&A), &Length);
    At.Port = ntohs(A.sin_port);
    Listener = New;
    std::thread([this, New] { accept(New); }).detach();
  }

  /// Closes the port and cuts all connections, as the end of a process does.
  void stop() {
    const int Old = Listener.exchange(-1);
    if (Old >= 0)
      shutdown(Old, SHUT_RDWR);
    cutAll();
  }

  void cutAll() {
    const std::lock_guard Lock(Guard);
    for (const auto &Weak : Open)
      if (const auto C = Weak.lock()) {
        C->resetOnClose();
        C->shut();
      }
    Open.clear();
  }

private:
  void accept(int Own) {
    for (;;) {
      const int Handle = accept4(Own, nullptr, nullptr, SOCK_CLOEXEC);
      if (Handle < 0)
        break;
      auto C = std::make_shared<Connection>(Handle);
      {
        const std::lock_guard Lock(Guard);
        std::erase_if(Open, [](const auto &Weak) { return Weak.expired(); });
        Open.push_back(C);
      }
      std::thread([this, C] { serve(*C); }).detach();
    }
    close(Own);
  }

  void serve(Connection &C) {
    const double Never = now() + 3600e3;
    for (;;) {
      Request R;
      std::string Line;
      if (!C.readLine(Line, Never))
        return;
      std::stringstream Words(Line);
      Words >> R.Method >> R.Target;
      if (!C.readFields(R.Head, Never) ||
          !C.readBody(R.Head, R.Body, false, Never) || !OnRequest(R, C))
        return;
    }
  }

  Address At;
  Handler OnRequest;
  std::atomic<int> Listener{-1};
  std::mutex Guard;
  std::vector<std::weak_ptr<Connection>> Open;
};

/// The platform's store, with lists and watches of the kinds that are used.
class StandInStore {
public:
  StandInStore()
      : Server({"127.0.0.1", 0}, [this](const Request &R, Connection &C) {
          return onRequest(R, C);
        }) {}

  Address address() const { return Server.address(); }

  void put(const std::string &Kind, const std::string &Name,
           const std::string &Spec) {
    const std::lock_guard Lock(Guard);
    ++Revision;
    Objects[Kind][Name] = {Spec, Revision};
    addChange(Kind, objectText(Name, Objects[Kind][Name], Revision), false);
  }

  void erase(const std::string &Kind, const std::string &Name) {
    const std::lock_guard Lock(Guard);
    const auto It = Objects[Kind].find(Name);
    if (It == Objects[Kind].end())
      return;
    const Object Last = It->second;
    Objects[Kind].erase(It);
    ++Revision;
    addChange(Kind, objectText(Name, Last, Revision), true);
  }

  /// Cuts off the watches that are waiting; returns how many.
  size_t cutWatches() {
    const std::lock_guard Lock(Guard);
    for (const auto &[C, Kind] : Waiting)
      C->shut();
    const size_t Count = Waiting.size();
    Waiting.clear();
    return Count;
  }

  size_t watching(const std::string &Kind) {
    const std::lock_guard Lock(Guard);
    return static_cast<size_t>(
        std::count_if(Waiting.begin(), Waiting.end(),
                      [&](const auto &W) { return W.second == Kind; }));
  }

private:
  struct Object {
    std::string Spec;
    uint64_t Revision = 0;
  };
  struct Change {
    uint64_t Revision = 0;
    std::string Kind;
    std::string Event;
  };

  static std::string objectText(const std::string &Name, const Object &O,
                                uint64_t At) {
    return R"({"metadata":{"name":")" + Name + R"(","revision":)" +
           std::to_string(At) + R"(,"created_rev":)" +
           std::to_string(O.Revision) +
           R"(,"finalizers":[],"deleting":false},"spec":)" + O.Spec +
           R"(,"status":null})";
  }

  void addChange(const std::string &Kind, const std::string &Text,
                 bool Removed) {
    Changes.push_back({Revision, Kind,
                       R"({"object":)" + Text + R"(,"tombstone":)" +
                           (Removed ? "true" : "false") + "}"});
    Changed.notify_all();
  }

  std::string eventsSince(const std::string &Kind, uint64_t Since) const {
    std::string Out;
    for (const Change &C : Changes)
      if (C.Kind == Kind && C.Revision > Since)
        Out += (Out.empty() ? "" : ",") + C.Event;
    return Out;
  }

  bool answer(Connection &C, int Status, const std::string &Body) {
    return C.write(
        answerText(Status, {{"Content-Type", "application/json"}}, Body));
  }

  bool onRequest(const Request &R, Connection &C) {
    const std::string Prefix = "/-/objects/";
    if (R.Method != "GET" || !R.Target.starts_with(Prefix))
      return answer(C, 404, "{}");
    const std::string Kind = R.path().substr(Prefix.size());
    std::unique_lock Lock(Guard);
    if (R.query("watch").empty()) {
      std::string Items;
      for (const auto &[Name, O] : Objects[Kind])
        Items += (Items.empty() ? "" : ",") + objectText(Name, O, O.Revision);
      const std::string Body = R"({"items":[)" + Items +
                               R"(],"truncated":false,"store_revision":)" +
                               std::to_string(Revision) + "}";
      Lock.unlock();
      return answer(C, 200, Body);
    }
    const uint64_t Since = std::stoull(R.query("watch"));
    const auto Until =
        Clock::now() +
        std::chrono::milliseconds(
            std::stoll(R.query("wait_ms").empty() ? "0" : R.query("wait_ms")));
    Waiting[&C] = Kind;
    std::string Events;
    while ((Events = eventsSince(Kind, Since)).empty() &&
           Changed.wait_until(Lock, Until) != std::cv_status::timeout)
      ;
    Waiting.erase(&C);
    const std::string Body = R"({"events":[)" + Events +
                             R"(],"store_revision":)" +
                             std::to_string(Revision) + "}";
    Lock.unlock();
    return answer(C, 200, Body);
  }

  std::mutex Guard;
  std::condition_variable Changed;
  uint64_t Revision = 1;
  std::map<std::string, std::map<std::string, Object>> Objects;
  std::vector<Change> Changes;
  std::map<Connection *, std::string> Waiting;
  HttpServer Server;
};

/// What a case has seen, written to its record as it happens.
class Record {
public:
  explicit Record(const std::string &File) : Out(File) {}
  void line(const std::string &Text) {
    const std::lock_guard Lock(Guard);
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%9.1f ms  ", now());
    Out << Time << Text << std::endl;
  }

private:
  std::mutex Guard;
  std::ofstream Out;
};

/// The platform: store, settings files and processes.
class Bed {
public:
  /// A case that takes longer is ended.
  static constexpr unsigned MaxSeconds = 115;

  explicit Bed(const std::string &RecordFile)
      : Log(RecordFile), FrontPort(freePort()), ReadyPort(freePort()),
        LinkPort(freePort()), MetricsPort(freePort()),
        Folder(std::filesystem::temp_directory_path() /
               ("goldcrestlink-review-" + std::to_string(getpid()))) {
    start();
    signal(SIGPIPE, SIG_IGN);
    alarm(MaxSeconds);
    // Also if the script that runs the case is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::filesystem::create_directories(Folder);
    const char *Wanted = std::getenv("TROUBLE");
    Trouble = !Wanted || std::string(Wanted) != "0";
    Log.line(Trouble ? "with the disruption" : "without the disruption");
  }
  Bed(const Bed &) = delete;
  Bed &operator=(const Bed &) = delete;

  /// Ends all processes that were started, and then this one, with \p Code. The
  /// threads of the stand-ins end with it.
  [[noreturn]] void finish(int Code, const std::string &Why) {
    for (const auto &[Name, Id] : Running) {
      kill(Id, SIGCONT);
      kill(Id, SIGKILL);
      waitpid(Id, nullptr, 0);
    }
    if (std::getenv("KEEP"))
      std::printf("kept %s\n", Folder.c_str());
    else
      std::filesystem::remove_all(Folder);
    Log.line("result " + std::to_string(Code) + ": " + Why);
    std::printf("result %d: %s\n", Code, Why.c_str());
    std::fflush(stdout);
    _exit(Code);
  }

  /// The settings are those of deploy/entry.ini for a small deployment.
  void startEntry(const std::string &Name, const std::string &Ip,
                  const std::string &Bounds = "") {
    startProcess(
        Name,
        "[process]\nrole = entry\ninstance = " + Name +
            "\ndata_center = zone-a\nlisten = " + Ip + ":" +
            std::to_string(FrontPort) + "\n\n[store]\naddress = " +
            storeAddressOf(Name).text() + "\n\n[fleet]\naddress = " + Ip +
            "\nlink_port = " + std::to_string(LinkPort) + "\nmetrics_port = " +
            std::to_string(MetricsPort) + "\nready_listen = " + Ip + ":" +
            std::to_string(ReadyPort) + "\npeers = " + Peers +
            "\n\n[bounds]\nretry_ratio = 0.2\nretry_slack = 58\n"
            "retry_window_s = 10\nstop_s = 8\ndrain_ms = 2000\n"
            "config_apply_ms = 2000\n" +
            Bounds + "\n[limits]\nmax_connections = 4100\nmemory_mb = 260\n");
  }

  /// The settings are those of deploy/side.ini.
  void startSide(const std::string &Name, const Address &Runner,
                 const std::string &Service) {
    startProcess(Name,
                 "[process]\nrole = side\ninstance = " + Name +
                     "\ndata_center = zone-a\nlisten = " + Runner.Ip +
                     ":1\n\n[store]\naddress = " + storeAddressOf(Name).text() +
                     "\n\n[fleet]\naddress = " + Runner.Ip +
                     "\nlink_port = " + std::to_string(LinkPort) +
                     "\nmetrics_port = " + std::to_string(MetricsPort) +
                     "\nengine = " + Runner.text() + "\nservice = " + Service +
                     "\n\n[bounds]\nstop_s = 8\n\n[limits]\n"
                     "memory_mb = 192\n");
  }

  void startProcess(const std::string &Name, const std::string &Settings) {
    const std::string File = (Folder / (Name + ".ini")).string();
    if (!Settings.empty())
      std::ofstream(File) << Settings;
    const std::string LogFile = (Folder / (Name + ".log")).string();
    const pid_t Id = fork();
    if (Id == 0) {
      // Also if the case itself is ended.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Output =
          open(LogFile.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
      dup2(Output, 1);
      dup2(Output, 2);
      setenv("GOLDCRESTLINK_CONFIG", File.c_str(), 1);
      // The command of deploy/system.toml.
      execl("target/goldcrestlinkd", "target/goldcrestlinkd",
            "--settings-variable", "GOLDCRESTLINK_CONFIG", nullptr);
      _exit(127);
    }
    Running[Name] = Id;
    Log.line("platform: " + Name + " starts");
  }

  void send(const std::string &Name, int Signal) {
    Log.line("platform: signal " + std::to_string(Signal) + " to " + Name);
    kill(Running.at(Name), Signal);
  }

  void killProcess(const std::string &Name) {
    send(Name, SIGKILL);
    waitpid(Running.at(Name), nullptr, 0);
    Running.erase(Name);
  }

  /// Waits for processes that were killed.
  void forgetEnded() {
    for (const auto &[Name, Id] : Running)
      waitpid(Id, nullptr, 0);
    Running.clear();
  }

  bool hasEnded(const std::string &Name) {
    return waitpid(Running.at(Name), nullptr, WNOHANG) != 0;
  }

  std::string logOf(const std::string &Name) const {
    std::ifstream File(Folder / (Name + ".log"));
    return {std::istreambuf_iterator<char>(File), {}};
  }

  Address storeAddressOf(const std::string &Name) const {
    const auto It = StoreAddresses.find(Name);
    return It == StoreAddresses.end() ? Store.address() : It->second;
  }

  Record Log;
  StandInStore Store;
  bool Trouble = true;
  int FrontPort;
  int ReadyPort;
  int LinkPort;
  int MetricsPort;
  std::string Peers = "127.0.12.1:1 127.0.12.2:1";
  /// Where a process finds the store, if not at its own address.
  std::map<std::string, Address> StoreAddresses;
  std::filesystem::path Folder;

private:
  std::map<std::string, pid_t> Running;
};

/// The configuration of a small deployment: models at "huvo11a", a plain
/// service "wuno96b".
inline std::string configText(int Version, const std::string &MoreRoutes = "",
                              const std::string &AdapterMb = "66.0") {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[)"
         R"({"name":"r-once","host":"h.example","path_prefix":"/once/",)"
         R"("kind":"non_idempotent","timeout_ms":4000,"goal_ms":300,)"
         R"("priority":2,"service":"wuno96b","max_attempts":1},)"
         R"({"name":"r-read","host":"h.example","path_prefix":"/read/",)"
         R"("kind":"idempotent","timeout_ms":4000,"goal_ms":300,)"
         R"("priority":2,"service":"wuno96b","max_attempts":2},)"
         R"({"name":"r-stream","host":"h.example","path_prefix":"/stream/",)"
         R"("kind":"streaming","timeout_ms":12000,"goal_ms":1000,)"
         R"("priority":0,"service":"huvo11a","max_attempts":1,"sticky":true,)"
         R"("can_resume":false,"gap_aim_ms":600},)"
         R"({"name":"r-resume","host":"h.example","path_prefix":"/resume/",)"
         R"("kind":"streaming","timeout_ms":12000,"goal_ms":1000,)"
         R"("priority":1,"service":"huvo11a","max_attempts":2,"sticky":true,)"
         R"("can_resume":true,"gap_aim_ms":600})" +
         MoreRoutes +
         R"(],"services":[{"name":"huvo11a","health_path":"/health",)"
         R"("max_conns":250,"protocol":"h1","tls":false,"engine":{)"
         R"("slots":32,"kv_tokens":217557,"kv_token_bytes":327680,)"
         R"("stride":5,"models":[{"name":"daka510000","weights_mb":72700.0,)"
         R"("load_time_s":2.9,"adapters":3000,"adapter_mb":)" +
         AdapterMb +
         R"(}],)"
         R"("weights_mb":75100.0,"adapter_slots":14,"loads_per_s":5.5}},)"
         R"({"name":"wuno96b","health_path":"/health","max_conns":110,)"
         R"("protocol":"h1","tls":false}],"limits":{"header_bytes":16384,)"
         R"("body_bytes":4194304,"header_ms":3000,"idle_ms":15000}})";
}

/// What a runner has begun to run.
struct Run {
  std::string Id;
  std::string Runner;
  double At = 0;
};

/// Base of the runners: registration, identity and the list of runs.
class Runner {
public:
  Runner(Bed &InPlatform, std::string InId, std::string InService,
         const std::string &Ip)
      : Platform(InPlatform), Id(std::move(InId)),
        Service(std::move(InService)),
        Server({Ip, 0},
               [this](const Request &R, Connection &C) { return on(R, C); }) {}
  virtual ~Runner() = default;

  Address address() const { return Server.address(); }

  void announce(const std::string &State = "ready") {
    Platform.Log.line("store: " + Id + " is " + State);
    Platform.Store.put(
        "servers", Id,
        R"({"service":")" + Service + R"(","address":")" + address().text() +
            R"(","zone":"zone-a","version":"v1","slots":6,"state":")" + State +
            R"(","cold_left_ms":0,"born":)" + std::to_string(Born) +
            R"(,"seq":)" + std::to_string(++Beats) + "}");
  }

  std::vector<Run> runs() {
    const std::lock_guard Lock(Guard);
    return Runs;
  }

  Bed &Platform;
  std::string Id;
  std::string Service;
  uint64_t Born = 1700000000000;

protected:
  virtual bool onRun(const Request &R, Connection &C) = 0;
  /// Calls other than requests of clients; true if answered.
  virtual bool onControl(const Request &, Connection &) { return false; }

  void noteRun(const Request &R) {
    const std::lock_guard Lock(Guard);
    Runs.push_back({R.header("Request-Id"), Id, now()});
    Platform.Log.line("runner " + Id + " runs " + R.header("Request-Id"));
  }

private:
  bool on(const Request &R, Connection &C) {
    if (R.path() == "/health")
      return C.write(answerText(200, {{"Instance-Id", Id}}, ""));
    const std::string Wanted = R.header("Expect-Instance");
    if (!Wanted.empty() && Wanted != Id)
      return C.write(answerText(421, {{"Instance-Id", Id}}, ""));
    if (onControl(R, C))
      return true;
    return onRun(R, C);
  }

  std::mutex Guard;
  std::vector<Run> Runs;
  std::atomic<uint64_t> Beats{0};

protected:
  // Last, since its threads use the rest.
  HttpServer Server;
};

/// A runner of a plain service.
class Plain : public Runner {
public:
  using Runner::Runner;
  std::atomic<double> WorkMs{60};

protected:
  bool onRun(const Request &R, Connection &C) override {
    noteRun(R);
    sleepMs(WorkMs);
    return C.write(answerText(200,
                              {{"Request-Id", R.header("Request-Id")},
                               {"Response-Seal", "seal-" + Id}},
                              "done " + R.Body));
  }
};

/// The value of a string or number in a flat JSON object; empty if absent.
inline std::string jsonField(const std::string &Text, const std::string &Name) {
  const size_t At = Text.find("\"" + Name + "\":");
  if (At == std::string::npos)
    return "";
  size_t Begin = At + Name.size() + 3;
  if (Text[Begin] != '"')
    return Text.substr(Begin, Text.find_first_of(",}", Begin) - Begin);
  ++Begin;
  return Text.substr(Begin, Text.find('"', Begin) - Begin);
}

/// A model runner with one base model, adapters, orders and streams.
class Engine : public Runner {
public:
  using Runner::Runner;

  // Set before the side starts.
  double BaseMb = 72700;
  double AdapterMb = 66;
  double WeightsMb = 75100;
  size_t AdapterSlots = 14;
  double BaseLoadMs = 400;
  double AdapterLoadMs = 100;
  double DownMs = 2000;
  // Of the streams.
  std::atomic<int> Events{5};
  std::atomic<double> GapMs{20};
  std::atomic<int> Crashes{0};

  static constexpr const char *Model = "daka510000";

  void release(const std::string &Adapter, int Version) {
    const std::lock_guard Lock(State);
    Newest[Adapter] = Version;
  }
  size_t held() {
    const std::lock_guard Lock(State);
    return Held.size();
  }

protected:
  bool onControl(const Request &R, Connection &C) override {
    if (R.path() == "/-/report")
      return C.write(answerText(200, {{"Content-Type", "application/json"}},
                                reportText()));
    if (R.path() != "/-/order")
      return false;
    const int Status = order(R.Body);
    return Status != 0 && C.write(answerText(Status, {}, ""));
  }

  bool onRun(const Request &R, Connection &C) override {
    const Fields Head = {{"Request-Id", R.header("Request-Id")}};
    const std::string Wanted = R.header("Model");
    const size_t Slash = Wanted.find('/');
    const std::string Adapter =
        Slash == std::string::npos ? "" : Wanted.substr(Slash + 1);
    int Version = 0;
    {
      const std::lock_guard Lock(State);
      const auto It = Held.find(Adapter);
      const bool Has = HasBase && (Adapter.empty() || It != Held.end());
      Version = Has && !Adapter.empty() ? It->second : 1;
      const std::string Expected = R.header("Expect-Version");
      if (!Has || (!Expected.empty() && std::stoi(Expected) != Version))
        return C.write(answerText(421, Head, ""));
      ++Uses[Adapter];
      ++RunCount;
    }
    noteRun(R);
    const bool Open = stream(R, C, Version);
    const std::lock_guard Lock(State);
    --Uses[Adapter];
    --RunCount;
    Made.erase(R.header("Request-Id"));
    return Open;
  }

private:
  bool stream(const Request &R, Connection &C, int Version) {
    bool Sent =
        C.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\nRequest-Id: " +
                R.header("Request-Id") + "\r\nResponse-Seal: seal-" + Id +
                "\r\nWeight-Versions: " + std::to_string(Version) + "\r\n\r\n");
    const std::string After = R.header("Last-Event-Id");
    const uint64_t Life = Lives;
    for (int I = After.empty() ? 1 : std::stoi(After) + 1; I <= Events && Sent;
         ++I) {
      sleepMs(GapMs);
      if (Life != Lives || C.isClosed())
        return false;
      const std::string Event =
          "id: " + std::to_string(I) + "\ndata: token\n\n";
      char Size[16];
      std::snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
      Sent = C.write(Size + Event + "\r\n");
      const std::lock_guard Lock(State);
      Made[R.header("Request-Id")] = I;
    }
    return Sent && C.write("0\r\n\r\n");
  }

  std::string reportText() {
    const std::lock_guard Lock(State);
    std::string Adapters, Incoming, Runs;
    for (const auto &[Name, Version] : Held)
      Adapters += (Adapters.empty() ? "\"" : ",\"") + Name + "@" +
                  std::to_string(Version) + "\"";
    for (const std::string &Name : Coming)
      Incoming += (Incoming.empty() ? "\"" : ",\"") + std::string(Model) + "/" +
                  Name + "@" + std::to_string(newest(Name)) + "\"";
    for (const auto &[Run, Number] : Made)
      Runs += (Runs.empty() ? "[\"" : ",[\"") + Run + "\"," +
              std::to_string(500 + Number * 5) + "," + std::to_string(Number) +
              ",0]";
    const std::string Models = HasBase ? R"({"name":")" + std::string(Model) +
                                             R"(","version":1,"adapters":[)" +
                                             Adapters + "]}"
                                       : "";
    return R"({"stage":"both","models":[)" + Models + R"(],"busy":)" +
           (Busy ? "true" : "false") + R"(,"seq":)" + std::to_string(Count) +
           R"(,"waiting":0,"running":)" + std::to_string(RunCount) +
           R"(,"kv_used":)" + std::to_string(RunCount * 600) +
           R"(,"kv_total":217557,"handles":0,"coming":[)" + Incoming +
           R"(],"runs":[)" + Runs + R"(],"born":)" + std::to_string(Born) + "}";
  }

  int newest(const std::string &Adapter) {
    const auto It = Newest.find(Adapter);
    return It == Newest.end() ? 1 : It->second;
  }

  // The status of the answer; 0 if the runner crashes.
  int order(const std::string &Body) {
    const std::lock_guard Lock(State);
    const std::string Adapter = jsonField(Body, "adapter");
    const bool Loads = jsonField(Body, "operation") == "model_load";
    const std::string Expected = jsonField(Body, "expect");
    int Status = 202;
    if (jsonField(Body, "holder").empty() ||
        jsonField(Body, "fence_token").empty())
      Status = 400;
    else if (Busy || (!Expected.empty() && std::stoull(Expected) != Count))
      Status = 409;
    else if (Adapter.empty())
      Status = loadBase(Loads);
    else if (Loads)
      Status = loadAdapter(Adapter);
    else
      Status = unload(Adapter);
    Platform.Log.line("runner " + Id + " gets the order " + Body + " -> " +
                      std::to_string(Status) + "; holds " +
                      std::to_string(Held.size()) + ", coming " +
                      std::to_string(Coming.size()));
    return Status;
  }

  int loadBase(bool Loads) {
    if (!Loads)
      return 400;
    if (HasBase)
      return 200;
    ++Count;
    Busy = true;
    later(BaseLoadMs, [this] {
      Busy = false;
      HasBase = true;
    });
    return 202;
  }

  int loadAdapter(const std::string &Adapter) {
    const auto It = Held.find(Adapter);
    if (Coming.contains(Adapter) ||
        (It != Held.end() && It->second == newest(Adapter)))
      return 200;
    if (!HasBase || Coming.size() >= 4)
      return 409;
    ++Count;
    const size_t Adapters = Held.size() + Coming.size() + 1;
    if (Adapters > AdapterSlots ||
        BaseMb + AdapterMb * static_cast<double>(Adapters) > WeightsMb) {
      crash(Adapters);
      return 0;
    }
    Coming.insert(Adapter);
    const int Version = newest(Adapter);
    later(AdapterLoadMs, [this, Adapter, Version] {
      Coming.erase(Adapter);
      Held[Adapter] = Version;
    });
    return 202;
  }

  int unload(const std::string &Adapter) {
    if (!Held.contains(Adapter))
      return 200;
    ++Count;
    Held.erase(Adapter);
    return Uses[Adapter] > 0 ? 202 : 200;
  }

  void crash(size_t Adapters) {
    Platform.Log.line("runner " + Id + " crashes: it was ordered to hold " +
                      std::to_string(Adapters) + " adapters, " +
                      std::to_string(RunCount) + " requests run");
    ++Crashes;
    ++Lives;
    Held.clear();
    Coming.clear();
    HasBase = false;
    Busy = false;
    Count = 0;
    ++Born;
    std::thread([this] {
      Server.stop();
      sleepMs(DownMs);
      Server.open();
      announce();
    }).detach();
  }

  void later(double Ms, std::function<void()> Do) {
    std::thread([this, Ms, Do = std::move(Do), Life = Lives.load()] {
      sleepMs(Ms);
      const std::lock_guard Lock(State);
      if (Life == Lives)
        Do();
    }).detach();
  }

  std::mutex State;
  std::map<std::string, int> Held;
  std::set<std::string> Coming;
  std::map<std::string, int> Newest;
  std::map<std::string, int> Uses;
  // Events of the runs that have begun.
  std::map<std::string, int> Made;
  int RunCount = 0;
  uint64_t Count = 0;
  bool HasBase = false;
  bool Busy = false;
  std::atomic<uint64_t> Lives{0};
};

/// What a client has seen of an answer.
struct Answer {
  /// 0: none.
  int Status = 0;
  Fields Head;
  std::string Body;
  bool Whole = false;
  double TookMs = 0;
};

/// A new connection; null if it is not established within a second.
inline ConnectionPtr connectTo(const Address &To) {
  const int Handle =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in A = socketAddress(To);
  auto Out = std::make_shared<Connection>(Handle);
  if (connect(Handle, reinterpret_cast<sockaddr *>(&A), sizeof(A)) != 0) {
    pollfd P{Handle, POLLOUT, 0};
    int Error = 0;
    socklen_t Length = sizeof(Error);
    if (poll(&P, 1, 1000) <= 0 ||
        getsockopt(Handle, SOL_SOCKET, SO_ERROR, &Error, &Length) != 0 || Error)
      return nullptr;
  }
  fcntl(Handle, F_SETFL, 0);
  return Out;
}

inline std::string requestText(const Request &R) {
  std::string Out = R.Method + " " + R.Target + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : R.Head)
    Out += Name + ": " + Value + "\r\n";
  if (!R.Body.empty() || R.Method == "POST")
    Out += "Content-Length: " + std::to_string(R.Body.size()) + "\r\n";
  return Out + "\r\n" + R.Body;
}

/// Sends a request on \p C and reads its answer.
inline Answer exchange(Connection &C, const Request &R, double DeadlineMs) {
  Answer Out;
  const double Begin = now();
  const double Until = Begin + DeadlineMs;
  std::string Line;
  if (C.write(requestText(R)) && C.readLine(Line, Until) && Line.size() > 12) {
    Out.Status = std::atoi(Line.c_str() + 9);
    Out.Whole = C.readFields(Out.Head, Until) &&
                C.readBody(Out.Head, Out.Body, true, Until);
  }
  Out.TookMs = now() - Begin;
  return Out;
}

inline Answer call(const Address &To, const Request &R, double DeadlineMs) {
  const ConnectionPtr C = connectTo(To);
  return C ? exchange(*C, R, DeadlineMs) : Answer();
}

inline Request plainRequest(const std::string &Id, const std::string &Target,
                            const std::string &Body, int DeadlineMs = 4000) {
  Request R;
  R.Method = Body.empty() ? "GET" : "POST";
  R.Target = Target;
  R.Head = {{"Host", "h.example"},
            {"Request-Id", Id},
            {"Request-Deadline", std::to_string(DeadlineMs)}};
  R.Body = Body;
  return R;
}

inline Request modelRequest(const std::string &Id, const std::string &Target,
                            const std::string &Adapter, int DeadlineMs = 8000) {
  Request R = plainRequest(Id, Target, "prompt", DeadlineMs);
  R.Head.emplace_back("Model", std::string(Engine::Model) + "/" + Adapter);
  R.Head.emplace_back("Token-Count", "491,25");
  R.Head.emplace_back("Prompt-Prefix",
                      "5c1e07a2:90,91bd3f06:60,e4" + Id.substr(1) + ":341");
  return R;
}

inline bool eventually(double Ms, const std::function<bool()> &Holds) {
  const double Until = now() + Ms;
  while (now() < Until) {
    if (Holds())
      return true;
    sleepMs(50);
  }
  return false;
}

inline bool isReady(const Address &At) {
  Request R;
  R.Method = "GET";
  R.Target = "/-/readiness";
  R.Head = {{"Host", At.text()}};
  return call(At, R, 1000).Status == 200;
}

} // namespace bed

#endif // GOLDCRESTLINK_REVIEW_BED_2_H
