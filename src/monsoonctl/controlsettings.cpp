#include "monsoonctl/controlsettings.h"

#include "codec/jsonreader.h"
#include "codec/jsontext.h"
#include "codec/settingscodec.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace monsoon {

Outcome<ControlSettings> loadControlSettings(const std::string &Path) {
  const auto File = parseJsonFile(Path, ErrorKind::SettingsInvalid);
  if (!File)
    return File.error();
  JsonFaults Faults;
  JsonReader Reader(File.value(), Path, Faults);
  ControlSettings Result;
  Result.m_Log = readEndpoint(Reader, "log", Faults);
  Result.m_Hosts = readPeers(Reader, "hosts", "admin", Faults);
  Reader.rejectUnknown();
  if (!Faults.empty())
    return Failure{ErrorKind::SettingsInvalid, absl::StrJoin(Faults, "\n")};
  return Result;
}

} // namespace monsoon
