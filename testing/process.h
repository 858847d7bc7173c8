// Child processes for tests, examples and benchmarks, with their output
// redirected to a file.
//
//   Process P({"build/goldcrestlinkd", "--settings", "e.ini"}, "e.log");
//   P.signal(SIGTERM);
//   int Exit = P.wait();
#ifndef GOLDCRESTLINK_TESTING_PROCESS_H
#define GOLDCRESTLINK_TESTING_PROCESS_H

#include <string>
#include <string_view>
#include <vector>

#include <csignal>
#include <sys/types.h>

#include "base/time.h"

namespace goldcrestlink::testing {

/// Not thread-safe. The destructor kills a process that still runs.
class Process {
public:
  /// Runs \p Command with standard output and error appended to the file
  /// \p Output. Throws std::runtime_error if it cannot be started.
  Process(const std::vector<std::string> &Command, const std::string &Output);
  Process(Process &&Other) noexcept : Pid(Other.Pid) { Other.Pid = -1; }
  Process &operator=(Process &&) = delete;
  ~Process();
  /// Sends a signal. Does nothing if the exit has already been observed.
  void signal(int Number) const;
  /// Waits for the process to exit. Returns its exit code, or 128 plus the
  /// number of the signal that ended it.
  int wait();
  /// True if the process has not exited.
  bool running();
  /// User and system processor time used so far, in seconds.
  double processorSeconds() const;
  /// Peak resident memory in MB (1024 * 1024 bytes); 0 if it has exited.
  double peakMemoryMb() const;
  /// Present resident memory, as peakMemoryMb().
  double memoryMb() const;
  /// Number of open files and sockets; 0 if it has exited.
  size_t openFiles() const;

private:
  double statusMb(std::string_view Field) const;

  pid_t Pid = -1;
  int ExitCode = -1;
};

/// A TCP port that was free on all addresses at the time of the call. Returns
/// different ports until it has tried all. Not thread-safe.
int freePort();

/// Calls \p Holds, with pauses of 20 ms, until it returns true; false if it
/// does not within \p Seconds and MinTries calls.
template <class Condition> bool eventually(Condition Holds, double Seconds);

void pauseFor(int Milliseconds);

/// A condition that takes long to check is tried this often at least.
inline constexpr int MinTries = 20;

template <class Condition> bool eventually(Condition Holds, double Seconds) {
  const Time Until = currentTime().Steady + fromSeconds(Seconds);
  for (int I = 0; I < MinTries || currentTime().Steady < Until; ++I) {
    if (Holds())
      return true;
    pauseFor(20);
  }
  return Holds();
}

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_PROCESS_H
