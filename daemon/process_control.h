// The tasks that the control threads of entries and sides share if their
// deployment is declared in the platform's store: writing the decision log,
// serving metrics, handling signals, and reloading the settings file.
//
//   ProcessControl P(Io, Settings, File, {OnStop, OnSettings, OnMetrics});
//   P.log("store state=lost ...");     // any thread
#ifndef GOLDCRESTLINK_DAEMON_PROCESS_CONTROL_H
#define GOLDCRESTLINK_DAEMON_PROCESS_CONTROL_H

#include <functional>
#include <string>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "config/settings.h"
#include "daemon/decision_log.h"
#include "http/server.h"

namespace goldcrestlink {

/// All are called on the control thread.
struct ControlHandlers {
  /// SIGTERM or SIGINT was received.
  std::function<void()> OnStop;
  /// The settings file has changed and is valid.
  std::function<void(const Settings &)> OnSettings;
  /// Produces the metrics page and passes it to the given callback, before or
  /// after returning. The callback may be called on any thread.
  std::function<void(std::function<void(std::string)>)> OnMetrics;
};

/// log() is thread-safe; the rest is for the control thread.
class ProcessControl {
public:
  ProcessControl(boost::asio::io_context &Io, const Settings &InSettings,
                 std::string File, ControlHandlers On,
                 std::shared_ptr<MemoryBudget> Memory = nullptr);
  ~ProcessControl();
  void log(LogClass Class, std::string Line) {
    Log.push(Class, std::move(Line));
  }
  void log(std::string Line) { log(LogClass::Kept, std::move(Line)); }
  /// Writes the queued lines; to be called when the process ends.
  void flush();

private:
  void drain();
  void awaitSignal();
  void reload(std::string_view Why);
  std::string fileText() const;

  boost::asio::io_context &Io;
  Settings Current;
  std::string File;
  std::string LastText;
  ControlHandlers On;
  DecisionLog Log;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer DrainTimer;
  std::shared_ptr<http::CloseLog> MetricsCloses;
  http::Server MetricsServer;
  Time NextFileCheck{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_PROCESS_CONTROL_H
