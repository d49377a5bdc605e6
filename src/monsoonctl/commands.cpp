#include "monsoonctl/commands.h"

#include "codec/logstreams.h"
#include "codec/tablecodec.h"
#include "core/tablediff.h"
#include "engine/publisher.h"
#include "http/httplog.h"
#include "monsoonctl/statusview.h"
#include "program/exitcode.h"
#include "program/steadyclock.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <utility>

namespace monsoon {

const char CommandUsage[] =
    "check | diff | publish | status | top | history | confirm-cold POOL";

namespace {

/// Time within which an accepted version has to be in force on all entry hosts.
constexpr Milliseconds InForceTimeout{4000};
/// Pause between status queries while publish waits for the new version.
constexpr Milliseconds StatusPollInterval{100};

int reportFailure(const Failure &Reason) {
  std::fprintf(stderr, "monsoonctl: %s: %s\n",
               std::string(errorName(Reason.m_Kind)).c_str(),
               Reason.m_Message.c_str());
  return ExitFailed;
}

int reportUsageError(const std::string &Message) {
  std::fprintf(stderr, "monsoonctl: %s; see --help\n", Message.c_str());
  return ExitUsage;
}

void printLines(const std::vector<std::string> &Lines) {
  for (const std::string &Each : Lines)
    std::printf("%s\n", Each.c_str());
}

std::string newPublicationId() {
  std::random_device Source;
  return absl::StrCat(absl::Hex(Source(), absl::kZeroPad8),
                      absl::Hex(Source(), absl::kZeroPad8));
}

std::string defaultAuthor() {
  const char *User = std::getenv("USER");
  return User ? User : "operator";
}

/// One run of monsoonctl: the options, the settings and access to the log. Each
/// public function is one command and returns the exit code.
class Command {
public:
  Command(const ParsedOptions &Options, const ControlSettings &Settings)
      : m_Options(Options), m_Settings(Settings), m_Log(Settings.m_Log),
        m_Stream(m_Log), m_Publisher(m_Stream, m_Time) {}

  int diff() {
    const auto Wanted = loadWantedTables();
    if (!Wanted)
      return reportFailure(Wanted.error());
    const auto Current = m_Publisher.current();
    if (!Current)
      return reportFailure(Current.error());
    std::printf("in force: version %llu\n",
                static_cast<unsigned long long>(Current.value().version()));
    const Tables Empty;
    const Tables &Old =
        Current.value().tables() ? *Current.value().tables() : Empty;
    printLines(diffTables(Old, Wanted.value()));
    return ExitOk;
  }

  int publish() {
    const auto Wanted = loadWantedTables();
    if (!Wanted)
      return reportFailure(Wanted.error());
    Publication Change;
    Change.m_Id = newPublicationId();
    Change.m_Author = m_Options.value("author").value_or(defaultAuthor());
    Change.m_Note = m_Options.value("note").value_or("");
    Change.m_Tables = std::make_shared<const Tables>(Wanted.value());
    if (const auto BaseText = m_Options.value("base")) {
      ConfigVersion BaseVersion = 0;
      if (!absl::SimpleAtoi(*BaseText, &BaseVersion))
        return reportUsageError("--base: found \"" + *BaseText +
                                "\", expected a version number");
      Change.m_Base = BaseVersion;
    }
    const auto Accepted = m_Publisher.publish(Change);
    if (!Accepted)
      return reportRefusal(Accepted.error(), *Change.m_Tables);
    std::printf("version %llu accepted\n",
                static_cast<unsigned long long>(Accepted.value()));
    return awaitInForce(Accepted.value());
  }

  int status() {
    const auto Hosts = fetchStatus(m_Settings);
    std::printf("%s", renderStatus(Hosts).c_str());
    const bool All =
        std::all_of(Hosts.begin(), Hosts.end(), [](const HostStatus &Each) {
          return Each.m_Status.has_value();
        });
    return All ? ExitOk : ExitFailed;
  }

  int top() {
    std::printf("%s", renderTargets(fetchStatus(m_Settings)).c_str());
    return ExitOk;
  }

  int history() {
    const auto Current = m_Publisher.current();
    if (!Current)
      return reportFailure(Current.error());
    for (const ConfigChange &Each : Current.value().history())
      std::printf("version %llu  %s  by %s  %s\n",
                  static_cast<unsigned long long>(Each.m_Version),
                  Each.m_Id.c_str(), Each.m_Author.c_str(),
                  Each.m_Note.c_str());
    return ExitOk;
  }

  int confirmCold(const std::string &Pool) {
    LogOwnershipStreams Streams(m_Log);
    const auto Appended = Streams.append(
        Pool, OwnershipRecord{ColdConfirmRecord{defaultAuthor()}});
    if (!Appended)
      return reportFailure(Appended.error());
    std::printf("cold start of pool \"%s\" confirmed\n", Pool.c_str());
    return ExitOk;
  }

private:
  Outcome<Tables> loadWantedTables() const {
    return loadTables(m_Options.value("routes").value_or("routes.json"),
                      m_Options.value("pools").value_or("pools.json"));
  }

  /// Prints why a publication was refused. When another publication came
  /// first, also prints who made it and how the wanted tables differ from it.
  int reportRefusal(const Failure &Reason, const Tables &Wanted) {
    if (Reason.m_Kind == ErrorKind::VersionLost) {
      const auto Current = m_Publisher.current();
      if (Current && Current.value().tables()) {
        const auto &History = Current.value().history();
        std::fprintf(stderr,
                     "version %llu, published by %s, is in force; your "
                     "tables differ from it as follows:\n",
                     static_cast<unsigned long long>(Current.value().version()),
                     History.empty() ? "unknown"
                                     : History.back().m_Author.c_str());
        for (const auto &Line : diffTables(*Current.value().tables(), Wanted))
          std::fprintf(stderr, "  %s\n", Line.c_str());
      }
    }
    return reportFailure(Reason);
  }

  /// Waits until every entry host reports the version or a newer one, or until
  /// the time limit. Hosts that do not answer count as behind.
  int awaitInForce(ConfigVersion Version) {
    const TimePoint End = m_Time.now() + InForceTimeout;
    size_t Behind = 0;
    do {
      Behind = 0;
      for (const HostStatus &Each : fetchStatus(m_Settings))
        Behind +=
            !Each.m_Status ||
                    Each.m_Status.value()["config_version"].asUInt64() < Version
                ? 1
                : 0;
      if (Behind == 0) {
        std::printf("in force on %zu entry hosts\n", m_Settings.m_Hosts.size());
        return ExitOk;
      }
      m_Time.sleepFor(StatusPollInterval);
    } while (m_Time.now() < End);
    std::printf("not yet seen in force on %zu of %zu entry hosts; see "
                "\"monsoonctl status\"\n",
                Behind, m_Settings.m_Hosts.size());
    return ExitOk;
  }

  const ParsedOptions &m_Options;
  const ControlSettings &m_Settings;
  SteadyClock m_Time;
  HttpLog m_Log;
  LogConfigStream m_Stream;
  Publisher m_Publisher;
};

int check(const ParsedOptions &Options) {
  const auto Loaded =
      loadTables(Options.value("routes").value_or("routes.json"),
                 Options.value("pools").value_or("pools.json"));
  if (!Loaded)
    return reportFailure(Loaded.error());
  std::printf("%zu routes, %zu pools: ok\n", Loaded.value().routes().size(),
              Loaded.value().pools().size());
  return ExitOk;
}

} // namespace

int runCommand(const ParsedOptions &Options) {
  if (Options.m_Arguments.empty())
    return reportUsageError("no command given");
  const std::string &Name = Options.m_Arguments.front();
  const size_t Expected = Name == "confirm-cold" ? 2 : 1;
  if (Options.m_Arguments.size() != Expected)
    return reportUsageError("wrong number of arguments");
  if (Name == "check")
    return check(Options);
  static constexpr std::array<std::pair<const char *, int (Command::*)()>, 5>
      Commands = {{{"diff", &Command::diff},
                   {"publish", &Command::publish},
                   {"status", &Command::status},
                   {"top", &Command::top},
                   {"history", &Command::history}}};
  const auto Known =
      std::find_if(Commands.begin(), Commands.end(),
                   [&Name](const auto &Each) { return Name == Each.first; });
  if (Known == Commands.end() && Name != "confirm-cold")
    return reportUsageError("unknown command \"" + Name + "\"");
  const auto Settings =
      loadControlSettings(Options.value("config").value_or("monsoonctl.json"));
  if (!Settings)
    return reportFailure(Settings.error());
  Command Run(Options, Settings.value());
  return Known == Commands.end() ? Run.confirmCold(Options.m_Arguments[1])
                                 : (Run.*Known->second)();
}

} // namespace monsoon
