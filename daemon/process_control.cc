// The settings file is read again on SIGHUP and every FileCheckInterval, since
// it may change without a signal; it is parsed only if its text has changed.
#include "daemon/process_control.h"

#include <csignal>
#include <fstream>
#include <iterator>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "base/descriptor_budget.h"
#include "base/finding.h"

namespace goldcrestlink {

namespace {
constexpr Duration DrainInterval = std::chrono::milliseconds(100);
constexpr Duration FileCheckInterval = std::chrono::seconds(2);
} // namespace

ProcessControl::ProcessControl(boost::asio::io_context &InIo,
                               const Settings &InSettings, std::string InFile,
                               ControlHandlers InHandlers,
                               std::shared_ptr<MemoryBudget> Memory)
    : Io(InIo), Current(InSettings), File(std::move(InFile)),
      On(std::move(InHandlers)), Log(InSettings.LogLinesPerSecond),
      Signals(InIo, SIGTERM, SIGINT, SIGHUP), DrainTimer(InIo),
      MetricsCloses(std::make_shared<http::CloseLog>(
          "metrics",
          [this](LogClass Class, std::string Line) {
            log(Class, std::move(Line));
          })),
      MetricsServer(
          InIo,
          {InSettings.Fleet.Address,
           static_cast<uint16_t>(InSettings.Fleet.MetricsPort)},
          http::ServerOptions()
              .setMaxBodyBytes(ControlBodyBytes)
              .setMaxConnections(ControlConnections)
              .setReceiveBytes(ControlReceiveBytes)
              .setMemory(std::move(Memory))
              .setCloseLog(MetricsCloses),
          [this](http::Request Request,
                 std::shared_ptr<http::Responder> Answer) {
            if (Request.path() != "/metrics")
              return Answer->respond(404, {}, "");
            On.OnMetrics([this, Answer](std::string Page) {
              boost::asio::post(Io, [this, Answer, Page = std::move(Page)] {
                Answer->respond(200, {{"Content-Type", "text/plain"}},
                                Page + MetricsCloses->metrics());
              });
            });
          }),
      NextFileCheck(currentTime().Steady + FileCheckInterval) {
  LastText = fileText();
  log("start instance=" + InSettings.InstanceName +
      " role=" + (InSettings.ProcessRole == Role::Entry ? "entry" : "side") +
      " data_center=" + InSettings.DataCenter +
      " store=" + InSettings.Fleet.Store.text());
  awaitSignal();
  drain();
}

ProcessControl::~ProcessControl() = default;

void ProcessControl::flush() { Log.finish(currentTime().Steady); }

void ProcessControl::drain() {
  const Time Now = currentTime().Steady;
  Log.drain(Now);
  if (Now >= NextFileCheck) {
    NextFileCheck = Now + FileCheckInterval;
    reload("file_changed");
  }
  DrainTimer.expires_after(DrainInterval);
  DrainTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      drain();
  });
}

void ProcessControl::awaitSignal() {
  Signals.async_wait([this](boost::system::error_code Error, int Signal) {
    if (Error)
      return;
    log("signal number=" + std::to_string(Signal));
    if (Signal == SIGHUP)
      reload("signal");
    else
      On.OnStop();
    awaitSignal();
  });
}

std::string ProcessControl::fileText() const {
  std::ifstream Stream(File, std::ios::binary);
  return {std::istreambuf_iterator<char>(Stream),
          std::istreambuf_iterator<char>()};
}

void ProcessControl::reload(std::string_view Why) {
  std::string NewText = fileText();
  if (NewText == LastText || NewText.empty())
    return;
  LastText = std::move(NewText);
  try {
    Current = parseSettings(File, LastText);
    log("reload outcome=taken why=" + std::string(Why));
    On.OnSettings(Current);
  } catch (const FindingError &Error) {
    // The previous settings stay in force.
    log("reload outcome=refused why=" + std::string(Why) + " findings=\"" +
        Error.what() + "\"");
  }
}

} // namespace goldcrestlink
