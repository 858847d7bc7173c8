// Free ports are tried one after another, from a number that depends on the
// process, below those that the kernel gives to outgoing connections.
#include "testing/process.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace goldcrestlink::testing {

namespace {
constexpr int SignalExitBase = 128;
} // namespace

Process::Process(const std::vector<std::string> &Command,
                 const std::string &Output) {
  std::vector<char *> Arguments;
  for (const std::string &Word : Command)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  Arguments.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, Output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  // A child that inherited the sockets of this process would keep them open
  // after this process has closed them.
  posix_spawn_file_actions_addclosefrom_np(&Actions, STDERR_FILENO + 1);
  const int Error = posix_spawn(&Pid, Arguments[0], &Actions, nullptr,
                                Arguments.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0) {
    Pid = -1;
    throw std::runtime_error("cannot start " + Command[0]);
  }
}

Process::~Process() {
  if (!running())
    return;
  ::kill(Pid, SIGKILL);
  wait();
}

void Process::signal(int Number) const {
  if (Pid > 0)
    ::kill(Pid, Number);
}

int Process::wait() {
  if (Pid <= 0)
    return ExitCode;
  int Status = 0;
  ::waitpid(Pid, &Status, 0);
  Pid = -1;
  ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status)
                               : SignalExitBase + WTERMSIG(Status);
  return ExitCode;
}

bool Process::running() {
  if (Pid <= 0)
    return false;
  int Status = 0;
  if (::waitpid(Pid, &Status, WNOHANG) != Pid)
    return true;
  Pid = -1;
  ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status)
                               : SignalExitBase + WTERMSIG(Status);
  return false;
}

double Process::processorSeconds() const {
  constexpr int UserTicksField = 14;
  constexpr int SystemTicksField = 15;
  std::ifstream In("/proc/" + std::to_string(Pid) + "/stat");
  double Ticks = 0;
  std::string Word;
  for (int Field = 1; In >> Word; ++Field)
    if (Field == UserTicksField || Field == SystemTicksField)
      Ticks += std::stod(Word);
  return Ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double Process::peakMemoryMb() const { return statusMb("VmHWM:"); }

double Process::memoryMb() const { return statusMb("VmRSS:"); }

double Process::statusMb(std::string_view Field) const {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/status");
  std::string Word;
  while (In >> Word)
    if (Word == Field) {
      double Kilobytes = 0;
      In >> Kilobytes;
      return Kilobytes / 1024;
    }
  return 0;
}

size_t Process::openFiles() const {
  std::error_code Ended;
  const std::filesystem::directory_iterator Files(
      "/proc/" + std::to_string(Pid) + "/fd", Ended);
  return Ended ? 0
               : static_cast<size_t>(std::distance(begin(Files), end(Files)));
}

namespace {

// Ports that the kernel gives to outgoing connections begin here by default.
constexpr int FirstEphemeralPort = 32768;
constexpr int FirstPort = 10240;

// Whether nothing listens on the port at any address of this machine.
bool isFree(int Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  // Another process may be about to use the port that is only tried here.
  const int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_ANY);
  Address.sin_port = htons(static_cast<uint16_t>(Port));
  const bool Bound = ::bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                            sizeof(Address)) == 0;
  ::close(Socket);
  return Bound;
}

} // namespace

int freePort() {
  constexpr int Count = FirstEphemeralPort - FirstPort;
  // Spreads the test programs that run at the same time.
  constexpr int PidStride = 257;
  static int Next =
      static_cast<int>(static_cast<int64_t>(::getpid()) * PidStride % Count);
  for (int Tries = 0; Tries < Count; ++Tries) {
    const int Port = FirstPort + Next;
    Next = (Next + 1) % Count;
    if (isFree(Port))
      return Port;
  }
  throw std::runtime_error("no free port");
}

void pauseFor(int Milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
}

} // namespace goldcrestlink::testing
