// Child processes for tests, examples and benchmarks: started with their
// output in a file, signalled and awaited by id.
//
//   Process P({"build/goldcrestlinkd", "--settings", "e.ini"}, "e.log");
//   P.signal(SIGTERM);
//   int Exit = P.wait();
#ifndef GOLDCRESTLINK_TESTING_PROCESS_H
#define GOLDCRESTLINK_TESTING_PROCESS_H

#include <string>
#include <vector>

#include <csignal>
#include <sys/types.h>

namespace goldcrestlink::testing {

/// Not thread-safe. The destructor kills a process that still runs.
class Process {
public:
  /// Starts it; throws std::runtime_error if it cannot be started.
  Process(const std::vector<std::string> &Command, const std::string &Output);
  Process(Process &&Other) noexcept : Id(Other.Id) { Other.Id = -1; }
  Process &operator=(Process &&) = delete;
  ~Process();
  void signal(int Number) const;
  /// Waits for the end; the exit code, or 128 and the signal.
  int wait();
  /// True while it has not ended.
  bool running();
  /// Processor time that it has used so far, in seconds.
  double processorSeconds() const;
  /// The most memory that it has had resident, in MB; 0 if it has ended.
  double peakMemoryMb() const;
  /// Files and sockets that it has open; 0 if it has ended.
  size_t openFiles() const;

private:
  pid_t Id = -1;
  int Exit = -1;
};

/// A TCP port that was free a moment ago, given to no other caller of this
/// process.
int freePort();

/// Calls \p Condition until it holds; false if it does not for \p Seconds.
template <class Condition> bool eventually(Condition Holds, double Seconds);

/// Sleeps for \p Milliseconds.
void pauseFor(int Milliseconds);

template <class Condition> bool eventually(Condition Holds, double Seconds) {
  const int Steps = static_cast<int>(Seconds * 50);
  for (int I = 0; I < Steps; ++I) {
    if (Holds())
      return true;
    pauseFor(20);
  }
  return Holds();
}

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_PROCESS_H
