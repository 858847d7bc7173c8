// What the control threads of entry and side on the platform share: the log,
// the metrics address, signals, and settings files that change.
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
  std::function<void()> OnStop;
  /// The settings file has changed and is valid.
  std::function<void(const Settings &)> OnSettings;
  /// Answers a question for the metrics page, now or later.
  std::function<void(std::function<void(std::string)>)> OnMetrics;
};

/// log() is thread-safe; the rest is for the control thread.
class ProcessControl {
public:
  ProcessControl(boost::asio::io_context &Io, const Settings &S,
                 std::string File, ControlHandlers On);
  ~ProcessControl();
  void log(LineClass Class, std::string Line) {
    Lines.push(Class, std::move(Line));
  }
  void log(std::string Line) { log(LineClass::Kept, std::move(Line)); }
  /// Writes what is queued, at the end of the process.
  void flush();

private:
  void drain();
  void awaitSignal();
  void reload(std::string_view Why);
  std::string fileText() const;

  boost::asio::io_context &Io;
  Settings Present;
  std::string File;
  std::string Text;
  ControlHandlers On;
  DecisionLog Lines;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer DrainTimer;
  http::Server Metrics;
  Time NextFileCheck{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_PROCESS_CONTROL_H
