// A whole deployment on loopback, as separate processes: platform, store,
// engines and plain services (stand-ins), sides and entries (the daemon), and
// the declarations applied with the command-line tool.
//
//   Fleet F(FleetShape{.Engines = 4}, "build", "/tmp/run");
//   F.start();
//   http::Endpoint E = F.entry(0);
#ifndef GOLDCRESTLINK_TESTING_FLEET_H
#define GOLDCRESTLINK_TESTING_FLEET_H

#include <memory>
#include <string>
#include <vector>

#include "http/message.h"
#include "testing/process.h"

namespace goldcrestlink::testing {

/// What to start. Defaults make a small fleet for tests.
struct FleetShape {
  size_t Engines = 2;
  size_t Services = 2;
  size_t Entries = 2;
  size_t Adapters = 50;
  /// Versions of each adapter, as in the declarations.
  std::string Versions = "1 2";
  size_t TrafficThreads = 1;
  size_t Slots = 8;
  size_t MaxBatch = 16;
  double StepMs = 20;
  uint64_t LoadFailsOneIn = 0;
  uint64_t CrashDownMs = 3000;
  double StoreRate = 7;
  size_t StoreBurst = 2;
  size_t StoreInFlight = 16;
  bool UseStore = true;
  bool ServicesCheckFencing = false;
  int64_t LeaseMs = 60000;
  int64_t ClockSkewMs = 20;
  /// Entries connect to sides through a relay that can silence connections;
  /// entry i then uses 127.0.0.(i+2) as its source address.
  bool Relay = false;
  /// Text of the daemon's [strategy] section.
  std::string Strategy;
  uint64_t Seed = 1;
};

/// A process and the address of its HTTP, and of its admin calls if any.
struct Member {
  std::string Name;
  std::vector<std::string> Command;
  std::unique_ptr<Process> Running;
  http::Endpoint Http;
  http::Endpoint Admin;
  /// Of a side: where it listens for entries.
  http::Endpoint Wire;
};

/// Not thread-safe. The destructor kills what still runs.
class Fleet {
public:
  /// \p Programs is the folder of the built programs, \p Work an empty folder
  /// for settings, declarations and logs.
  Fleet(FleetShape Shape, std::string Programs, std::string Work);
  /// Starts all and waits until a request could be served; throws
  /// std::runtime_error if that takes too long.
  void start();
  /// Starts one member again after it ended.
  void restart(Member &M);
  /// Writes the declarations and applies them; the tool's exit code.
  int apply();
  /// Runs the command-line tool; its exit code. Output goes to tool.log.
  int tool(const std::vector<std::string> &Arguments);
  /// True once every entry and side has this generation.
  bool generationInForce(uint64_t Generation);
  /// Sums a counter over the admin pages of all engines.
  uint64_t engineCount(const std::string &Name);
  /// Lines of /admin/runs of all engines or services.
  std::vector<std::string> runs(const std::vector<Member> &Of);
  /// The list of instances, as the platform shows it.
  void setInstances(const std::vector<std::string> &Leaving,
                    const std::vector<std::string> &Gone = {});
  /// An admin call; the body of the answer.
  std::string admin(const http::Endpoint &To, const std::string &Target,
                    const std::string &Method = "POST",
                    const std::string &Body = {});
  /// Sends SIGTERM to all sides and entries and waits; true if all exited 0.
  bool stopGracefully();

  FleetShape Shape;
  Member Platform;
  Member Store;
  Member Relay;
  std::vector<Member> Engines;
  std::vector<Member> Services;
  std::vector<Member> EngineSides;
  std::vector<Member> ServiceSides;
  std::vector<Member> Entries;
  std::string Declarations;

private:
  void plan();
  void planSides(std::vector<Member> &Sides, const std::vector<Member> &Beside,
                 const char *Prefix);
  Member makeMember(const std::string &Name);
  std::string settingsText(const Member &M, const std::string &Role) const;
  void writeFile(const std::string &Path, const std::string &Text) const;
  void writeDeclarations();
  void launch(Member &M);

  std::string Programs;
  std::string Work;
};

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_FLEET_H
