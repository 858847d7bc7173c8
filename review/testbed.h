// What the cases of this review share: small stand-ins of the platform's store,
// of runners and of clients, and a launcher for the project's programs. All of
// them use blocking sockets on loopback addresses, one thread a connection.
//
//   Testbed Bed("case 1");
//   Bed.startEntry("entry-1");
#ifndef GOLDCRESTLINK_REVIEW_TESTBED_H
#define GOLDCRESTLINK_REVIEW_TESTBED_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point startOfCase() {
  static const Clock::time_point Start = Clock::now();
  return Start;
}

/// Seconds since the start of the case.
inline double now() {
  return std::chrono::duration<double>(Clock::now() - startOfCase()).count();
}

inline void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

inline void sleepUntil(double Moment) {
  if (const double Left = Moment - now(); Left > 0)
    sleepFor(Left);
}

/// Writes record.txt and the standard output.
class Record {
public:
  explicit Record(const std::string &File) : Out(File) {}
  void add(const std::string &Line) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    char Stamp[32];
    std::snprintf(Stamp, sizeof(Stamp), "%9.3f  ", now());
    Out << Stamp << Line << "\n" << std::flush;
    std::printf("%s%s\n", Stamp, Line.c_str());
    std::fflush(stdout);
  }

private:
  std::mutex Mutex;
  std::ofstream Out;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

struct Message {
  std::string First;
  Fields Head;
  std::string Body;

  std::string field(const std::string &Name) const {
    for (const auto &[Key, Value] : Head)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return "";
  }
  /// Of a request.
  std::string method() const { return First.substr(0, First.find(' ')); }
  std::string target() const {
    const size_t Begin = First.find(' ') + 1;
    return First.substr(Begin, First.find(' ', Begin) - Begin);
  }
  /// Of a response; 0 if there was none.
  int status() const {
    return First.size() < 12 ? 0 : std::atoi(First.c_str() + 9);
  }
};

/// Owns a connected socket and what was read from it and not used yet.
class Connection {
public:
  explicit Connection(int Descriptor) : Descriptor(Descriptor) {
    const int On = 1;
    setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() { ::close(Descriptor); }

  /// Ends all reads and writes; the descriptor stays valid.
  void shutdown() const { ::shutdown(Descriptor, SHUT_RDWR); }
  int descriptor() const { return Descriptor; }

  bool write(const std::string &Bytes) const {
    size_t Done = 0;
    while (Done < Bytes.size()) {
      const ssize_t Sent = ::send(Descriptor, Bytes.data() + Done,
                                  Bytes.size() - Done, MSG_NOSIGNAL);
      if (Sent <= 0)
        return false;
      Done += static_cast<size_t>(Sent);
    }
    return true;
  }
  /// Reads more; false at the end of the stream or after \p Timeout seconds.
  bool fill(double Timeout = 60) {
    pollfd P{Descriptor, POLLIN, 0};
    if (::poll(&P, 1, static_cast<int>(Timeout * 1000)) <= 0)
      return false;
    char Bytes[65536];
    const ssize_t Got = ::recv(Descriptor, Bytes, sizeof(Bytes), 0);
    if (Got <= 0)
      return false;
    Buffer.append(Bytes, static_cast<size_t>(Got));
    return true;
  }
  /// Whether the peer has closed.
  bool closedByPeer() const {
    char Byte = 0;
    const ssize_t Got = ::recv(Descriptor, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Got == 0 || (Got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  bool readHead(Message &Out) {
    size_t End = 0;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill())
        return false;
    std::istringstream Lines(Buffer.substr(0, End));
    Buffer.erase(0, End + 4);
    std::getline(Lines, Out.First);
    strip(Out.First);
    for (std::string Line; std::getline(Lines, Line);) {
      strip(Line);
      const size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      const size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Out.Head.emplace_back(Line.substr(0, Colon), Value == std::string::npos
                                                       ? ""
                                                       : Line.substr(Value));
    }
    return true;
  }
  /// Reads a body that has a length or comes in chunks. \p OnPart is called
  /// for each part.
  bool readBody(Message &Out,
                const std::function<void(const std::string &)> &OnPart = {}) {
    if (Out.field("Transfer-Encoding") == "chunked")
      return readChunks(Out, OnPart);
    const size_t Length =
        static_cast<size_t>(std::atoll(Out.field("Content-Length").c_str()));
    while (Buffer.size() < Length)
      if (!fill())
        return false;
    Out.Body = Buffer.substr(0, Length);
    Buffer.erase(0, Length);
    return true;
  }

private:
  static void strip(std::string &Line) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
  }
  bool readChunks(Message &Out,
                  const std::function<void(const std::string &)> &OnPart) {
    for (;;) {
      size_t End = 0;
      while ((End = Buffer.find("\r\n")) == std::string::npos)
        if (!fill())
          return false;
      const size_t Length = std::stoul(Buffer.substr(0, End), nullptr, 16);
      Buffer.erase(0, End + 2);
      while (Buffer.size() < Length + 2)
        if (!fill())
          return false;
      const std::string Part = Buffer.substr(0, Length);
      Buffer.erase(0, Length + 2);
      if (Length == 0)
        return true;
      Out.Body += Part;
      if (OnPart)
        OnPart(Part);
    }
  }

  int Descriptor;
  std::string Buffer;
};

struct Address {
  std::string Ip;
  int Port = 0;
  std::string text() const { return Ip + ":" + std::to_string(Port); }
  sockaddr_in raw() const {
    sockaddr_in Out{};
    Out.sin_family = AF_INET;
    Out.sin_port = htons(static_cast<uint16_t>(Port));
    inet_pton(AF_INET, Ip.c_str(), &Out.sin_addr);
    return Out;
  }
};

/// A port that is free at \p Ip at present.
inline int freePort(const std::string &Ip) {
  const int Probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Raw = Address{Ip, 0}.raw();
  socklen_t Size = sizeof(Raw);
  if (::bind(Probe, reinterpret_cast<sockaddr *>(&Raw), Size) != 0 ||
      ::getsockname(Probe, reinterpret_cast<sockaddr *>(&Raw), &Size) != 0)
    throw std::runtime_error("no free port at " + Ip);
  ::close(Probe);
  return ntohs(Raw.sin_port);
}

/// Accepts connections and answers requests until it is stopped. The handler
/// returns whether the connection is kept.
class Server {
public:
  using Handler =
      std::function<bool(const std::shared_ptr<Connection> &, Message &)>;

  Server(Address Listen, Handler OnRequest)
      : Listen(std::move(Listen)), OnRequest(std::move(OnRequest)) {
    start();
  }
  ~Server() { stop(); }
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  const Address &address() const { return Listen; }

  /// Closes the listener and resets all connections, as the end of the process
  /// would.
  void stop() {
    if (Stopped.exchange(true))
      return;
    ::shutdown(Listener, SHUT_RDWR);
    Acceptor.join();
    ::close(Listener);
    std::unique_lock<std::mutex> Lock(Mutex);
    for (const auto &Weak : Open)
      if (const auto C = Weak.lock()) {
        const linger Reset{1, 0};
        setsockopt(C->descriptor(), SOL_SOCKET, SO_LINGER, &Reset,
                   sizeof(Reset));
        C->shutdown();
      }
    Ended.wait_for(Lock, std::chrono::seconds(5), [&] { return Threads == 0; });
  }
  bool stopped() const { return Stopped; }

private:
  void start() {
    Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    sockaddr_in Raw = Listen.raw();
    socklen_t Size = sizeof(Raw);
    if (::bind(Listener, reinterpret_cast<sockaddr *>(&Raw), Size) != 0 ||
        ::listen(Listener, 512) != 0)
      throw std::runtime_error("cannot listen on " + Listen.text());
    ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Raw), &Size);
    Listen.Port = ntohs(Raw.sin_port);
    Acceptor = std::thread([this] { accept(); });
  }
  void accept() {
    for (;;) {
      const int Peer = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Peer < 0) {
        if (Stopped)
          return;
        sleepFor(0.01);
        continue;
      }
      auto C = std::make_shared<Connection>(Peer);
      const std::lock_guard<std::mutex> Lock(Mutex);
      Open.remove_if([](const auto &Weak) { return Weak.expired(); });
      Open.push_back(C);
      ++Threads;
      std::thread([this, C] { serve(C); }).detach();
    }
  }
  void serve(std::shared_ptr<Connection> C) {
    for (bool Keep = true; Keep && !Stopped;) {
      Message Request;
      Keep = C->readHead(Request) && C->readBody(Request) && !Stopped &&
             OnRequest(C, Request);
    }
    C.reset();
    const std::lock_guard<std::mutex> Lock(Mutex);
    --Threads;
    Ended.notify_all();
  }

  Address Listen;
  Handler OnRequest;
  int Listener = -1;
  std::atomic<bool> Stopped{false};
  std::thread Acceptor;
  std::mutex Mutex;
  std::condition_variable Ended;
  std::list<std::weak_ptr<Connection>> Open;
  int Threads = 0;
};

inline std::string responseText(int Status, const Fields &Head,
                                const std::string &Body) {
  std::string Out = "HTTP/1.1 " + std::to_string(Status) + " x\r\n";
  for (const auto &[Name, Value] : Head)
    Out += Name + ": " + Value + "\r\n";
  return Out + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// The platform's store: lists, watches, and the writes of this program.
class Store {
public:
  explicit Store(const std::string &Ip)
      : Http({Ip, 0}, [this](const auto &C, Message &Request) {
          return serve(C, Request);
        }) {}
  ~Store() {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Ending = true;
      Changed.notify_all();
    }
    Http.stop();
  }
  const Address &address() const { return Http.address(); }

  /// Writes an object; the return is the acknowledgement. A write that changes
  /// nothing makes no event.
  void put(const std::string &Kind, const std::string &Name, const Json &Spec) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    auto &Known = Objects[Kind];
    if (const auto It = Known.find(Name);
        It != Known.end() && It->second["spec"] == Spec)
      return;
    Json Object = {{"metadata",
                    {{"name", Name},
                     {"revision", ++Revision},
                     {"created_rev", Revision},
                     {"finalizers", Json::array()},
                     {"deleting", false}}},
                   {"spec", Spec},
                   {"status", nullptr}};
    Known[Name] = Object;
    note(Kind, Object, false);
  }
  void erase(const std::string &Kind, const std::string &Name) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    auto &Known = Objects[Kind];
    const auto It = Known.find(Name);
    if (It == Known.end())
      return;
    Json Object = It->second;
    Object["metadata"]["revision"] = ++Revision;
    Known.erase(It);
    note(Kind, Object, true);
  }
  /// Cuts off the watches of a kind that are waiting, once. Returns how many.
  int cutWatches(const std::string &Kind) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    int Out = 0;
    for (const auto &[C, WatchedKind] : Waiting)
      if (WatchedKind == Kind) {
        C->shutdown();
        ++Out;
      }
    return Out;
  }

  /// While set, calls are read and get no answer, also later.
  void setSilent(bool On) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Silent = On;
    Changed.notify_all();
  }

private:
  void note(const std::string &Kind, const Json &Object, bool Removed) {
    Events.push_back(
        {Revision, Kind, {{"object", Object}, {"tombstone", Removed}}});
    Changed.notify_all();
  }
  static std::string query(const std::string &Target, const std::string &Name) {
    const size_t At = Target.find(Name + "=");
    if (At == std::string::npos)
      return "";
    const size_t Begin = At + Name.size() + 1;
    return Target.substr(Begin, Target.find('&', Begin) - Begin);
  }
  bool serve(const std::shared_ptr<Connection> &C, const Message &Request) {
    sleepFor(0.004);
    if (isSilent())
      return holdUntilClosed(C);
    const std::string Target = Request.target();
    const std::string Prefix = "/-/objects/";
    if (Request.method() != "GET" || Target.compare(0, Prefix.size(), Prefix))
      return C->write(responseText(404, {}, ""));
    const std::string Kind =
        Target.substr(Prefix.size(), Target.find('?') - Prefix.size());
    const std::string Since = query(Target, "watch");
    Json Out;
    {
      std::unique_lock<std::mutex> Lock(Mutex);
      if (Since.empty()) {
        Out["items"] = Json::array();
        for (const auto &[Name, Object] : Objects[Kind])
          Out["items"].push_back(Object);
        Out["truncated"] = false;
      } else {
        const uint64_t From = std::stoull(Since);
        const auto Until =
            Clock::now() + std::chrono::milliseconds(
                               std::atol(query(Target, "wait_ms").c_str()));
        Waiting[C] = Kind;
        const auto HasNews = [&] {
          return Ending || Silent || C->closedByPeer() ||
                 !since(Kind, From).empty();
        };
        while (!HasNews() && Clock::now() < Until)
          Changed.wait_for(Lock, std::chrono::milliseconds(20));
        Waiting.erase(C);
        Out["events"] = since(Kind, From);
      }
      Out["store_revision"] = Revision;
    }
    if (isSilent())
      return holdUntilClosed(C);
    return C->write(
        responseText(200, {{"Content-Type", "application/json"}}, Out.dump()));
  }
  bool isSilent() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Silent;
  }
  bool holdUntilClosed(const std::shared_ptr<Connection> &C) {
    for (;;) {
      {
        const std::lock_guard<std::mutex> Lock(Mutex);
        if (Ending || C->closedByPeer())
          return false;
      }
      sleepFor(0.02);
    }
  }
  Json since(const std::string &Kind, uint64_t From) const {
    Json Out = Json::array();
    for (const Event &E : Events)
      if (E.Revision > From && E.Kind == Kind)
        Out.push_back(E.Body);
    return Out;
  }

  struct Event {
    uint64_t Revision;
    std::string Kind;
    Json Body;
  };
  std::mutex Mutex;
  std::condition_variable Changed;
  uint64_t Revision = 1;
  bool Ending = false;
  bool Silent = false;
  std::map<std::string, std::map<std::string, Json>> Objects;
  std::vector<Event> Events;
  std::map<std::shared_ptr<Connection>, std::string> Waiting;
  Server Http;
};

/// One process of the project.
class Process {
public:
  Process(std::vector<std::string> Command, const std::string &Settings,
          const std::string &LogFile, int MaxDescriptors = 0)
      : Command(std::move(Command)), Settings(Settings), LogFile(LogFile),
        MaxDescriptors(MaxDescriptors) {
    start();
  }
  ~Process() { kill(); }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void start() {
    Exit = -1;
    const pid_t Parent = ::getpid();
    Id = ::fork();
    if (Id != 0)
      return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != Parent)
      ::_exit(127);
    if (MaxDescriptors > 0) {
      const rlimit Limit{static_cast<rlim_t>(MaxDescriptors),
                         static_cast<rlim_t>(MaxDescriptors)};
      setrlimit(RLIMIT_NOFILE, &Limit);
    }
    const int Out =
        ::open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Out, 1);
    ::dup2(Out, 2);
    ::setenv("GOLDCRESTLINK_CONFIG", Settings.c_str(), 1);
    std::vector<char *> Words;
    Words.reserve(Command.size() + 1);
    for (std::string &Word : Command)
      Words.push_back(Word.data());
    Words.push_back(nullptr);
    ::execv(Words[0], Words.data());
    ::_exit(127);
  }
  void signal(int Number) const {
    if (Id > 0)
      ::kill(Id, Number);
  }
  void kill() {
    signal(SIGKILL);
    signal(SIGCONT);
    wait();
  }
  void wait() {
    if (Id <= 0)
      return;
    ::waitpid(Id, &Exit, 0);
    Id = 0;
  }
  pid_t id() const { return Id; }
  /// Whether the process runs; if not, exitText() says how it ended.
  bool running() {
    if (Id > 0 && ::waitpid(Id, &Exit, WNOHANG) == Id)
      Id = 0;
    return Id > 0;
  }
  std::string exitText() const {
    if (WIFSIGNALED(Exit))
      return "signal " + std::to_string(WTERMSIG(Exit));
    return "exit code " + std::to_string(WEXITSTATUS(Exit));
  }

private:
  std::vector<std::string> Command;
  std::string Settings;
  std::string LogFile;
  int MaxDescriptors;
  pid_t Id = 0;
  int Exit = -1;
};

/// A client's connection to \p To; null if it was not established in a second.
inline std::shared_ptr<Connection> connectTo(const Address &To,
                                             int ReceiveBytes = 0) {
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (ReceiveBytes > 0) {
    // As over an Ethernet; the loopback interface has far larger packets.
    const int Segment = 1400;
    setsockopt(Descriptor, IPPROTO_TCP, TCP_MAXSEG, &Segment, sizeof(Segment));
    setsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
               sizeof(ReceiveBytes));
  }
  const sockaddr_in Raw = To.raw();
  const timeval Second{1, 0};
  setsockopt(Descriptor, SOL_SOCKET, SO_SNDTIMEO, &Second, sizeof(Second));
  auto Out = std::make_shared<Connection>(Descriptor);
  if (::connect(Descriptor, reinterpret_cast<const sockaddr *>(&Raw),
                sizeof(Raw)) != 0)
    return nullptr;
  return Out;
}

inline std::string requestText(const std::string &Method,
                               const std::string &Target, const Fields &Head,
                               const std::string &Body) {
  std::string Out = Method + " " + Target + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Head)
    Out += Name + ": " + Value + "\r\n";
  return Out + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

struct Answer {
  int Status = 0;
  bool Complete = false;
  std::string Body;
  std::string Version;
};

/// Sends a request on \p C, and reads the whole answer.
inline Answer ask(Connection &C, const std::string &Request,
                  const std::function<void(const std::string &)> &OnPart = {}) {
  Answer Out;
  Message Response;
  if (!C.write(Request) || !C.readHead(Response))
    return Out;
  Out.Status = Response.status();
  Out.Version = Response.field("Weight-Versions");
  Out.Complete = C.readBody(Response, OnPart);
  Out.Body = Response.Body;
  return Out;
}

inline Answer call(const Address &To, const std::string &Request) {
  const auto C = connectTo(To);
  return C ? ask(*C, Request) : Answer();
}

/// A deployment: the store, one folder for settings and logs, and processes
/// that run the commands of the deploy file with its templates.
class Testbed {
public:
  /// A case that takes longer is ended.
  static constexpr unsigned MaxSeconds = 110;

  explicit Testbed(const std::string &CaseFolder)
      : Log(CaseFolder + "/record.txt"),
        Net("127." + std::to_string(64 + ::getpid() % 128) + "." +
            std::to_string(::getpid() / 128 % 256) + "."),
        Platform(ip(250)), LinkPort(freePort(ip(250))) {
    std::signal(SIGPIPE, SIG_IGN);
    // The case ends with its script, and its processes with the case.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::alarm(MaxSeconds);
    const char *Given = std::getenv("REVIEW_FOLDER");
    if (!Given)
      throw std::runtime_error("to be started by run.sh");
    Folder = Given;
    const char *Wanted = std::getenv("TROUBLE");
    Trouble = !Wanted || std::string(Wanted) != "0";
    Log.add(std::string("trouble ") + (Trouble ? "on" : "off"));
  }
  ~Testbed() { Processes.clear(); }

  /// The address with this last number, of the network of this case.
  std::string ip(int Last) const { return Net + std::to_string(Last); }

  /// Starts an entry at ip(\p Last).
  void startEntry(const std::string &Name, int Last, int MaxDescriptors = 0) {
    const Address Front{ip(Last), freePort(ip(Last))};
    const Address Ready{ip(Last), freePort(ip(Last))};
    Fronts[Name] = Front;
    ReadyAddresses[Name] = Ready;
    std::map<std::string, std::string> Values = common(Name, Last);
    Values["listen.front"] = Front.text();
    Values["listen.ready"] = Ready.text();
    Values["limits.max_fds"] =
        std::to_string(MaxDescriptors > 0 ? MaxDescriptors : 4100);
    start(Name, "deploy/entry.ini", Values, MaxDescriptors);
  }
  /// Starts a side at ip(\p Last), beside the runner \p App.
  void startSide(const std::string &Name, int Last, const Address &App,
                 const std::string &Service) {
    std::map<std::string, std::string> Values = common(Name, Last);
    Values["app"] = App.text();
    Values["service"] = Service;
    Values["port_range.1"] = std::to_string(LinkPort + 1);
    start(Name, "deploy/side.ini", Values, 0);
  }
  bool isReady(const std::string &Entry) {
    return call(ReadyAddresses.at(Entry),
                requestText("GET", "/-/readiness", {{"Host", "x"}}, ""))
               .Status == 200;
  }
  /// Waits until \p Check holds; ends the case with code 2 if it does not.
  void require(const std::string &What, const std::function<bool()> &Check,
               double Seconds = 20) {
    const double Until = now() + Seconds;
    while (!Check()) {
      if (now() > Until) {
        Log.add("could not run: " + What);
        for (auto &[Name, P] : Processes)
          Log.add(Name + (P->running() ? " runs" : " ended: " + P->exitText()) +
                  "\n" + logOf(Name));
        Processes.clear();
        std::_Exit(2);
      }
      sleepFor(0.05);
    }
    Log.add("ok: " + What);
  }
  std::string logOf(const std::string &Name) const {
    std::ifstream File(Folder + "/" + Name + ".log");
    return {std::istreambuf_iterator<char>(File), {}};
  }

  Record Log;
  bool Trouble = true;

private:
  std::string Net;

public:
  Store Platform;
  std::map<std::string, Address> Fronts;
  std::map<std::string, Address> ReadyAddresses;
  std::map<std::string, std::unique_ptr<Process>> Processes;

private:
  std::map<std::string, std::string> common(const std::string &Name, int Last) {
    return {{"node", Name},
            {"zone", "zone-a"},
            {"ip", ip(Last)},
            {"platform.address", Platform.address().text()},
            {"port_range.0", std::to_string(LinkPort)},
            {"bounds.retry_budget_ratio", "0.2"},
            {"bounds.budget_slack", "56"},
            {"bounds.budget_window_s", "10"},
            {"bounds.grace_s", "8"},
            {"bounds.drain_ms", "2000"}};
  }
  void start(const std::string &Name, const std::string &Template,
             const std::map<std::string, std::string> &Values,
             int MaxDescriptors) {
    std::ifstream File(Template);
    std::string Text{std::istreambuf_iterator<char>(File), {}};
    // The control addresses of two entries; they may be down.
    const std::string Control = ":" + std::to_string(LinkPort + 2);
    if (const size_t Seeds = Text.find("{{#seeds}}");
        Seeds != std::string::npos)
      Text.replace(Seeds, Text.find("{{/seeds}}") + 10 - Seeds,
                   " " + ip(11) + Control + " " + ip(12) + Control);
    for (const auto &[Key, Value] : Values) {
      const std::string Mark = "{{" + Key + "}}";
      for (size_t At = 0; (At = Text.find(Mark)) != std::string::npos;)
        Text.replace(At, Mark.size(), Value);
    }
    const std::string Settings = Folder + "/" + Name + ".ini";
    std::ofstream(Settings) << Text;
    Processes[Name] =
        std::make_unique<Process>(commandOf(Template), Settings,
                                  Folder + "/" + Name + ".log", MaxDescriptors);
    Log.add("start " + Name + ": " + Template);
  }
  /// The command of the role with this template in the deploy file.
  static std::vector<std::string> commandOf(const std::string &Template) {
    std::ifstream File("deploy/system.toml");
    std::string Run;
    for (std::string Line; std::getline(File, Line);) {
      if (Line.compare(0, 7, "run = \"") == 0)
        Run = Line.substr(7, Line.rfind('"') - 7);
      if (Line.find("\"" + Template + "\"") != std::string::npos)
        break;
    }
    std::istringstream Words(Run);
    std::vector<std::string> Out;
    for (std::string Word; Words >> Word;)
      Out.push_back(Word);
    if (Out.empty())
      throw std::runtime_error("no command in the deploy file");
    return Out;
  }

  int LinkPort;
  std::string Folder;
};

} // namespace review

#endif // GOLDCRESTLINK_REVIEW_TESTBED_H
