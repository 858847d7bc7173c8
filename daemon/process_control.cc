// The settings file is read again on SIGHUP and, since it may change without
// one, every FileCheckInterval; only a changed text is parsed.
#include "daemon/process_control.h"

#include <csignal>
#include <fstream>
#include <iterator>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "base/finding.h"

namespace goldcrestlink {

namespace {
constexpr Duration DrainInterval = std::chrono::milliseconds(100);
constexpr Duration FileCheckInterval = std::chrono::seconds(2);
} // namespace

ProcessControl::ProcessControl(boost::asio::io_context &InIo, const Settings &S,
                               std::string InFile, ControlHandlers Handlers)
    : Io(InIo), Present(S), File(std::move(InFile)), On(std::move(Handlers)),
      Lines(S.LogLinesPerSecond), Signals(InIo, SIGTERM, SIGINT, SIGHUP),
      DrainTimer(InIo),
      Metrics(InIo,
              {S.Fleet.Address, static_cast<uint16_t>(S.Fleet.MetricsPort)},
              http::ServerOptions(),
              [this](http::Request R, std::shared_ptr<http::Responder> A) {
                if (R.path() != "/metrics")
                  return A->whole(404, {}, "");
                On.OnMetrics([this, A](std::string Page) {
                  boost::asio::post(Io, [A, Page = std::move(Page)] {
                    A->whole(200, {{"Content-Type", "text/plain"}}, Page);
                  });
                });
              }),
      NextFileCheck(presentTime().Steady + FileCheckInterval) {
  Text = fileText();
  log("start instance=" + S.InstanceName +
      " role=" + (S.ProcessRole == Role::Entry ? "entry" : "side") +
      " data_center=" + S.DataCenter + " store=" + S.Fleet.Store.text());
  awaitSignal();
  drain();
}

ProcessControl::~ProcessControl() = default;

void ProcessControl::flush() { Lines.finish(presentTime().Steady); }

void ProcessControl::drain() {
  const Time N = presentTime().Steady;
  Lines.drain(N);
  if (N >= NextFileCheck) {
    NextFileCheck = N + FileCheckInterval;
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
  std::ifstream In(File, std::ios::binary);
  return {std::istreambuf_iterator<char>(In), std::istreambuf_iterator<char>()};
}

void ProcessControl::reload(std::string_view Why) {
  std::string New = fileText();
  if (New == Text || New.empty())
    return;
  Text = std::move(New);
  try {
    Present = parseSettings(File, Text);
    log("reload outcome=taken why=" + std::string(Why));
    On.OnSettings(Present);
  } catch (const FindingError &Bad) {
    // The settings in force stay in force.
    log("reload outcome=refused why=" + std::string(Why) + " findings=\"" +
        Bad.what() + "\"");
  }
}

} // namespace goldcrestlink
